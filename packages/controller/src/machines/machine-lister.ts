/**
 * Follows the cloud's list of machines.
 *
 * @module
 */
import type { MonotonicMs, RequestPriority } from '@spurbridge/net';
import type { ListedMachine } from '@spurbridge/wire';
import { KEY_ABSENT, read } from '@spurbridge/wire';
import type { ClusterState } from '../jobs/cluster-state.js';
import { compareMachineIds } from './machine-registry.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { MachineReleaser } from './machine-releaser.js';

/** Key of the record that identifies the machines of the initial fleet. */
export const FLEET_KEY = 'fleet';
const FLEET_RECORD_PRIORITY: RequestPriority = 1;

const LIST_INTERVAL_MS = 3000;
const LIST_RETRY_DELAY_MS = 1000;

/** Reads the cloud's list at regular intervals and registers its machines in the cluster state. */
export class MachineLister {
  private requestedAt: MonotonicMs | null = null;

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    private readonly releaser: MachineReleaser,
  ) {}

  /** When the last list was requested; null before the first one. */
  get listedAt(): MonotonicMs | null {
    return this.requestedAt;
  }

  /** Lists machines until the leader's term ends. */
  async run(): Promise<void> {
    const { cloud, clock } = this.term.context;
    while (this.term.isActive) {
      const requestedAt = clock.now();
      const listed = await cloud.listMachines();
      if (!this.term.isActive) return;
      if (listed === null) {
        await clock.sleep(LIST_RETRY_DELAY_MS);
        continue;
      }
      if (this.cluster.lastInitialMachineId === null) await this.determineInitialFleet(listed);
      for (const machine of listed) this.register(machine);
      this.requestedAt = requestedAt;
      await clock.sleep(LIST_INTERVAL_MS);
    }
  }

  /**
   * Reads which machines are part of the initial fleet; at the very first start, records that all listed ones are.
   * Machine ids are in order of creation, so that the last id is enough.
   */
  private async determineInitialFleet(listed: readonly ListedMachine[]): Promise<void> {
    const { store, leadership } = this.term.context;
    const found = await store.read(FLEET_KEY, FLEET_RECORD_PRIORITY);
    if (found.outcome === 'found') {
      const record = read.asObject(found.item.value, FLEET_KEY);
      this.cluster.setInitialFleet(read.string(record, 'standingUpTo'));
    } else if (found.outcome === 'absent') {
      const ids = [...listed.map((machine) => machine.id as string), ...this.cluster.machines.keys()];
      const last = ids.reduce((left, right) => (compareMachineIds(left, right) >= 0 ? left : right), '');
      const written = await store.commit(
        [leadership.leadershipCompare(), { key: FLEET_KEY, version: KEY_ABSENT }],
        [{ put: FLEET_KEY, value: { standingUpTo: last } }],
        FLEET_RECORD_PRIORITY,
      );
      if (written.outcome === 'committed') this.cluster.setInitialFleet(last);
    }
  }

  private register(listed: ListedMachine): void {
    const machine = this.cluster.registerMachine(listed.id, listed.type, listed.zone, listed.spot);
    machine.isProvisioned = this.cluster.isScaledOut(listed.id);
    machine.isListedRunning = listed.phase === 'running';
    if (machine.address === '') machine.address = listed.address;
    if (listed.phase !== 'failed' || machine.state === 'gone' || machine.state === 'releasing') return;
    // A failed machine has stopped, so no task runs there any more.
    this.cluster.removePlacementsOn(listed.id, 'machine failed');
    this.releaser.release(machine, 'failed');
  }
}
