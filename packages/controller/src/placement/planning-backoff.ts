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

/** How long a job is left out after its first failure; each further failure doubles the time. */
const FIRST_BACKOFF_MS = 1000;
/** Less than the time for which a job may wait although a machine has room for it. */
const MAX_BACKOFF_MS = 60_000;

interface Backoff {
  readonly failures: number;
  readonly until: MonotonicMs;
}

/**
 * Exponential backoff of the jobs on which a plan failed. All other jobs are planned without them, so that one job cannot
 * end a leader's term.
 */
export class PlanningBackoff {
  private readonly backoffs = new Map<JobId, Backoff>();

  constructor(
    private readonly term: LeaderTerm,
    cluster: ClusterState,
  ) {
    cluster.on('jobReleased', ({ spec }) => {
      this.backoffs.delete(spec.id);
    });
  }

  /** Whether the job is left out of plans now. */
  isBackingOff(id: JobId): boolean {
    const backoff = this.backoffs.get(id);
    return backoff !== undefined && this.term.context.clock.now() < backoff.until;
  }

  /** Leaves the job out of the plans for a while, and logs the reason. */
  recordFailure(id: JobId, reason: string): void {
    const { clock, log } = this.term.context;
    const now = clock.now();
    const failures = this.recentFailures(id, now) + 1;
    const backoffMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (failures - 1));
    this.backoffs.set(id, { failures, until: addMs(now, backoffMs) });
    this.term.metrics.planningFailures += 1;
    log.error({ job: id, reason, failures, backoffMs }, 'planning of a job failed; backing off');
  }

  /** A job that was planned without a failure for as long as the longest backoff begins anew. */
  private recentFailures(id: JobId, now: MonotonicMs): number {
    const backoff = this.backoffs.get(id);
    return backoff === undefined || now > addMs(backoff.until, MAX_BACKOFF_MS) ? 0 : backoff.failures;
  }
}
