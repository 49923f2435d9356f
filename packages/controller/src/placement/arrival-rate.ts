import type { Team } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { JobId, JobSpec } from '@spurbridge/wire';
import type { RuntimeEstimator } from './runtime-estimator.js';

/** Long enough for some jobs to arrive on a usual minute, short against the time that a machine takes to boot. */
const WINDOW_MS = 10_000;
/** What is usual goes by this long before. Of less than `LEAST_MS` nothing is concluded: a start is no burst. */
const USUAL_MS = 120_000;
const LEAST_MS = 30_000;
/** So many more than usual hardly come by chance: these deviations, and some jobs where few come. */
const DEVIATIONS = 4;
const SOME = 4;

interface Arrival {
  readonly at: MonotonicMs;
  readonly team: string;
  /** CPU seconds. */
  readonly work: number;
}

/** Work of arrays that came lately, as a rate: a burst is met while it comes, not once its backlog is there. */
export class ArrivalRate {
  /** In the order in which they were learned. */
  private readonly known = new Map<JobId, Arrival>();
  private firstAt: MonotonicMs | null = null;

  constructor(
    private readonly estimates: RuntimeEstimator,
    private readonly teams: () => readonly Team[],
    private readonly now: () => MonotonicMs,
  ) {}

  /** A job's record, also of one that is over: after a takeover the records say what was usual. */
  recordArrival(spec: JobSpec, submittedAt: MonotonicMs): void {
    if (spec.kind !== 'array' || this.known.has(spec.id)) return;
    this.firstAt = Math.min(this.firstAt ?? submittedAt, submittedAt) as MonotonicMs;
    if (this.now() > addMs(submittedAt, USUAL_MS + WINDOW_MS)) return;
    const work = spec.tasks * spec.cpus * this.estimates.expectedRuntimeS(spec);
    this.known.set(spec.id, { at: submittedAt, team: spec.team, work });
  }

  /** In a burst, the CPUs that would keep up with what arrives, of each team no more than its limit; 0: as usual. */
  burstCpus(): number {
    const now = this.now();
    const since = addMs(now, -WINDOW_MS);
    const usualSince = addMs(now, -WINDOW_MS - USUAL_MS);
    const work = new Map<string, number>();
    let lately = 0;
    let before = 0;
    for (const [id, a] of this.known) {
      if (a.at < usualSince) this.known.delete(id);
      else if (a.at < since) before += 1;
      else {
        lately += 1;
        work.set(a.team, (work.get(a.team) ?? 0) + a.work);
      }
    }
    const spanMs = Math.min(USUAL_MS, this.firstAt === null ? 0 : since - this.firstAt);
    if (spanMs < LEAST_MS) return 0;
    const usual = (before * WINDOW_MS) / spanMs;
    if (lately <= usual + DEVIATIONS * Math.sqrt(usual) + SOME) return 0;
    let cpus = 0;
    for (const [team, sum] of work) {
      const limit = this.teams().find((t) => t.name === team)?.cpusMax ?? 0;
      cpus += Math.min(limit, sum / (WINDOW_MS / 1000));
    }
    return cpus;
  }
}
