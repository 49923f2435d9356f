/**
 * The rate at which jobs of kind `array` arrive, and bursts of them.
 *
 * @module
 */
import type { Team } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { JobId, JobSpec } from '@spurbridge/wire';
import type { RuntimeEstimator } from './runtime-estimator.js';

/**
 * Window of recent arrivals: long enough to contain several jobs normally, but short compared to the boot time of a
 * machine.
 */
const RECENT_WINDOW_MS = 10_000;
/**
 * The window for the baseline rate precedes the recent one. Until it has the minimum length, no burst is detected,
 * because the first arrivals after a start are not a burst.
 */
const BASELINE_WINDOW_MS = 120_000;
const MIN_BASELINE_MS = 30_000;
/** A burst exceeds the expected number of arrivals by this many standard deviations, and by at least this many jobs. */
const BURST_DEVIATIONS = 4;
const MIN_BURST_JOBS = 4;

interface Arrival {
  readonly at: MonotonicMs;
  readonly team: string;
  /** The job's expected work in CPU seconds. */
  readonly cpuSeconds: number;
}

/** The arrivals within both windows. */
interface WindowCounts {
  readonly recentJobs: number;
  readonly baselineJobs: number;
  readonly recentCpuSecondsByTeam: ReadonlyMap<string, number>;
}

/** Detects bursts, so that the fleet is scaled out while the work arrives instead of after a backlog has formed. */
export class ArrivalRate {
  /** In the order in which the records were read. */
  private readonly arrivals = new Map<JobId, Arrival>();
  private firstArrivalAt: MonotonicMs | null = null;

  constructor(
    private readonly estimator: RuntimeEstimator,
    private readonly teams: () => readonly Team[],
    private readonly now: () => MonotonicMs,
  ) {}

  /**
   * Records a job's arrival once, even if its record is read several times. Records of ended jobs count as well,
   * because after a failover they provide the baseline.
   */
  recordArrival(spec: JobSpec, submittedAt: MonotonicMs): void {
    if (spec.kind !== 'array' || this.arrivals.has(spec.id)) return;
    this.firstArrivalAt = Math.min(this.firstArrivalAt ?? submittedAt, submittedAt) as MonotonicMs;
    if (this.now() > addMs(submittedAt, BASELINE_WINDOW_MS + RECENT_WINDOW_MS)) return;
    const cpuSeconds = spec.tasks * spec.cpus * this.estimator.expectedRuntimeS(spec);
    this.arrivals.set(spec.id, { at: submittedAt, team: spec.team, cpuSeconds });
  }

  /** The CPUs needed to keep up with a burst, for each team at most its limit; 0 without a burst. */
  burstCpus(): number {
    const now = this.now();
    const recentFrom = addMs(now, -RECENT_WINDOW_MS);
    const baselineFrom = addMs(now, -RECENT_WINDOW_MS - BASELINE_WINDOW_MS);
    const counts = this.countWindows(baselineFrom, recentFrom);
    if (!this.isBurst(counts, recentFrom)) return 0;
    let cpus = 0;
    for (const [team, cpuSeconds] of counts.recentCpuSecondsByTeam) {
      const limit = this.teams().find(({ name }) => name === team)?.cpusMax ?? 0;
      cpus += Math.min(limit, cpuSeconds / (RECENT_WINDOW_MS / 1000));
    }
    return cpus;
  }

  /** Counts arrivals and forgets those that are older than both windows. */
  private countWindows(baselineFrom: MonotonicMs, recentFrom: MonotonicMs): WindowCounts {
    const recentCpuSecondsByTeam = new Map<string, number>();
    let recentJobs = 0;
    let baselineJobs = 0;
    for (const [id, { at, team, cpuSeconds }] of this.arrivals) {
      if (at < baselineFrom) this.arrivals.delete(id);
      else if (at < recentFrom) baselineJobs += 1;
      else {
        recentJobs += 1;
        recentCpuSecondsByTeam.set(team, (recentCpuSecondsByTeam.get(team) ?? 0) + cpuSeconds);
      }
    }
    return { recentJobs, baselineJobs, recentCpuSecondsByTeam };
  }

  private isBurst({ recentJobs, baselineJobs }: WindowCounts, recentFrom: MonotonicMs): boolean {
    const observedMs = this.firstArrivalAt === null ? 0 : recentFrom - this.firstArrivalAt;
    const baselineMs = Math.min(BASELINE_WINDOW_MS, observedMs);
    if (baselineMs < MIN_BASELINE_MS) return false;
    const usualJobs = (baselineJobs * RECENT_WINDOW_MS) / baselineMs;
    return recentJobs > usualJobs + BURST_DEVIATIONS * Math.sqrt(usualJobs) + MIN_BURST_JOBS;
  }
}
