/**
 * Jobs that are left out of the plans for a while, because planning or placing them failed.
 *
 * @module
 */
import type { MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { JobId } from '@spurbridge/wire';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

/** How long a job is set aside after its first failure; each further failure doubles the time. */
const FIRST_PAUSE_MS = 1000;
/** Less than the time for which a job may wait although a machine has room for it. */
const MAX_PAUSE_MS = 60_000;

interface Pause {
  readonly failures: number;
  readonly until: MonotonicMs;
}

/** The jobs that are set aside. All other jobs are planned without them, so that one job cannot end a leader's term. */
export class SetAsideJobs {
  private readonly pauses = new Map<JobId, Pause>();

  constructor(
    private readonly term: LeaderTerm,
    cluster: ClusterState,
  ) {
    cluster.on('jobReleased', ({ spec }) => {
      this.pauses.delete(spec.id);
    });
  }

  /** Whether the job is set aside now. */
  has(id: JobId): boolean {
    const pause = this.pauses.get(id);
    return pause !== undefined && this.term.context.clock.now() < pause.until;
  }

  /** Sets the job aside, and logs the reason. */
  add(id: JobId, reason: string): void {
    const { clock, log } = this.term.context;
    const now = clock.now();
    const failures = this.recentFailures(id, now) + 1;
    const pauseMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (failures - 1));
    this.pauses.set(id, { failures, until: addMs(now, pauseMs) });
    this.term.metrics.setAsideJobs += 1;
    log.error({ job: id, reason, failures, pauseMs }, 'job set aside');
  }

  /** A job that was planned without a failure for as long as the longest pause begins anew. */
  private recentFailures(id: JobId, now: MonotonicMs): number {
    const pause = this.pauses.get(id);
    return pause === undefined || now > addMs(pause.until, MAX_PAUSE_MS) ? 0 : pause.failures;
  }
}
