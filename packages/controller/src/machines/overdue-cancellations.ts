/**
 * Enforces cancellations in time: the last means is the release of the machine.
 *
 * @module
 */
import type { Job, Machine, Placement } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import { startCommandKey } from '../heartbeats/command-dispatcher.js';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { Settings } from '../settings.js';
import type { FleetController } from './fleet-controller.js';
import { lateHeartbeatMs } from './heartbeat-lateness.js';

/** This share of the time between a lease's length and `cancel_s` is left for the release that proves a machine gone. */
const RELEASE_TIME_SHARE = 0.3;

/**
 * Releases the machines of cancelled tasks that are not proven to be gone as `cancel_s` runs out, whatever explains a
 * machine's silence. The end of its lease is no proof: a machine that hangs does not end its tasks, and may go on later
 * (docs/incidents/hung-past-its-lease.md). By then a machine that is alive and cut off has ended them by itself.
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
      this.fleet.releaseMachine(machine, 'a cancelled task does not end', true);
  }

  /**
   * Whether the machine is heard of, has never shown the task, and is not renewed any more: its agent epoch ends in time
   * (see `CommandDispatcher`, which sends no response that renews its lease).
   */
  private isLeftToLeaseExpiry(machine: Machine, job: Job, placement: Placement, now: MonotonicMs): boolean {
    const { lastHeartbeatAt, unconfirmedStarts } = machine;
    const { task, attempt, state } = placement;
    return (
      lastHeartbeatAt !== null &&
      now - lastHeartbeatAt < lateHeartbeatMs(this.settings) &&
      state === 'starting' &&
      unconfirmedStarts.has(startCommandKey(job.spec.id, task, attempt))
    );
  }
}
