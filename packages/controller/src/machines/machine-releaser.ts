/**
 * Releases machines to the cloud.
 *
 * @module
 */
import { MAX_MACHINES_PER_RELEASE } from '@spurbridge/cloud';
import type { Machine } from '@spurbridge/model';
import type { RequestPriority } from '@spurbridge/net';
import type { MachineId } from '@spurbridge/wire';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

const BATCH_INTERVAL_MS = 100;
const RETRY_DELAY_MS = 400;
const RELEASE_PRIORITY: RequestPriority = 0;

/** Collects machines that are to be released and releases them in batches. */
export class MachineReleaser {
  private pending: MachineId[] = [];

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
  ) {}

  /** Queues the machine for release. An urgent one is moved ahead of all others, even if it was queued already. */
  release(machine: Machine, reason: string, isUrgent = false): void {
    const { id, type, spot, state } = machine;
    if (state === 'releasing') {
      if (isUrgent) this.pending = [id, ...this.pending.filter((other) => other !== id)];
      return;
    }
    if (state === 'gone') return;
    this.term.context.log.info({ machine: id, type, spot, reason }, 'machine release queued');
    machine.transitionTo('releasing');
    if (isUrgent) this.pending.unshift(id);
    else this.pending.push(id);
  }

  /** Releases machines until the leader's term ends. */
  async run(): Promise<void> {
    const { cloud, clock, leadership } = this.term.context;
    while (this.term.isActive) {
      await clock.sleep(BATCH_INTERVAL_MS);
      if (this.pending.length === 0 || !leadership.holdsValidLease()) continue;
      const batch = this.pending.slice(0, MAX_MACHINES_PER_RELEASE);
      const isReleased = await cloud.release(batch, RELEASE_PRIORITY);
      if (!this.term.isActive) return;
      if (!isReleased) {
        await clock.sleep(RETRY_DELAY_MS);
        continue;
      }
      this.pending = this.pending.filter((id) => !batch.includes(id));
      for (const id of batch) this.onReleased(id);
      this.cluster.emit('replanNeeded');
    }
  }

  /** Handles the cloud's confirmation of a release, which proves that no task runs on the machine any more. */
  private onReleased(id: MachineId): void {
    const machine = this.cluster.machines.get(id);
    this.cluster.removePlacementsOn(id, 'machine released');
    if (machine === undefined) return;
    machine.transitionTo('gone');
    if (machine.address !== '') this.term.context.workerClient.closeConnection(machine.address);
  }
}
