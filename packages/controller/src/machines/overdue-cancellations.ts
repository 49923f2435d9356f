/**
 * Enforces `cancel_s` for cancelled tasks, if necessary by releasing their machine.
 *
 * @module
 */
import type { Job, Machine, Placement } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import { formatAttemptName } from '@spurbridge/wire';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { Settings } from '../settings.js';
import type { FleetController } from './fleet-controller.js';
import { lateHeartbeatMs } from './heartbeat-lateness.js';

/** Share of the time between a lease's length and `cancel_s` that is reserved for releasing the machine. */
const RELEASE_TIME_SHARE = 0.3;

/**
 * Releases the machines of cancelled tasks that are not proven to be gone shortly before `cancel_s` is over, regardless
 * of why a machine is silent. Expiry of its lease is no proof, because a machine that hangs does not end its tasks and
 * may resume later (docs/incidents/hung-past-its-lease.md). A machine that is alive but unreachable has ended them by
 * itself by then.
 */
export class OverdueCancellations {
  /** Time from a cancellation until the machine is released, in milliseconds. */
  private readonly timeoutMs: number;

  constructor(
    private readonly cluster: ClusterState,
    private readonly fleet: FleetController,
    private readonly settings: Settings,
  ) {
    const { cancelS, leaseS } = settings.workers;
    this.timeoutMs = (cancelS - (cancelS - leaseS) * RELEASE_TIME_SHARE) * 1000;
  }

  /** Called at regular intervals. */
  check(now: MonotonicMs): void {
    for (const job of this.cluster.jobs.values()) {
      if (job.state !== 'cancelled') continue;
      for (const placement of job.placements.values())
        if (this.isOverdue(job, placement, now)) this.releaseMachineOf(job, placement, now);
    }
  }

  private isOverdue(job: Job, { stopRequest }: Placement, now: MonotonicMs): boolean {
    const cancelledAt = job.cancelledAt ?? stopRequest?.at ?? now;
    return now >= addMs(cancelledAt, this.timeoutMs);
  }

  private releaseMachineOf(job: Job, placement: Placement, now: MonotonicMs): void {
    const machine = this.cluster.machines.get(placement.machine);
    if (machine === undefined || machine.state === 'gone') return;
    if (!this.isLeftToLeaseExpiry(machine, job, placement, now))
      this.fleet.releaseMachine(machine, 'cancelled task not confirmed as ended in time', true);
  }

  /**
   * Whether the machine sends heartbeats, has never reported the task, and its lease is not renewed any more, so that
   * its agent epoch ends in time (see `CommandDispatcher`, which sends it no response that would renew the lease).
   */
  private isLeftToLeaseExpiry(machine: Machine, job: Job, placement: Placement, now: MonotonicMs): boolean {
    const { lastHeartbeatAt, directStarts } = machine;
    const { task, attempt, state } = placement;
    return (
      lastHeartbeatAt !== null &&
      now - lastHeartbeatAt < lateHeartbeatMs(this.settings) &&
      state === 'starting' &&
      directStarts.isUnanswered(formatAttemptName(job.spec.id, task, attempt))
    );
  }
}
