import type { RentalOutcome } from '@spurbridge/cloud';
import type { Timeline } from '@spurbridge/simulated-worker';
import type { ListedMachine, MachineId, MachineType, RentalRequest } from '@spurbridge/wire';

/** Lists of machines are this late, and up to twice as late, in milliseconds. */
export const LIST_LAG_MS = 4000;
/** A machine that failed by itself goes on being listed as running for so long, in milliseconds. */
const FAILURE_SEEN_MS = 30_000;

export interface SimCloudOptions {
  readonly types: readonly MachineType[];
  /** Machines of each type, zone and kind. */
  readonly capacity: number;
  /** Lists are this late, and up to twice as late, in milliseconds. */
  readonly listLagMs: number;
  readonly random: (below: number) => number;
  /** How long a machine of the type boots, in milliseconds. */
  readonly bootMs: (type: MachineType) => number;
  /** A machine is up from now on. */
  readonly onMachineUp: (id: MachineId, type: MachineType, zone: string, spot: boolean) => void;
  /** A machine is gone with everything on it. */
  readonly onMachineEnded: (id: MachineId) => void;
  readonly isMachineUp: (id: MachineId) => boolean;
}

interface Rented {
  readonly at: number;
  readonly id: MachineId;
  readonly machine: Omit<ListedMachine, 'ageS' | 'phase'>;
}

/** Stand-in of the cloud: rentals by name, lists that lag, and machines that boot. */
export class SimCloud {
  private readonly requests = new Map<string, readonly MachineId[]>();
  private readonly requesters = new Map<string, string>();
  /** Names of rental requests that one process took after another had used them. */
  readonly reusedRequestNames: string[] = [];
  private readonly rented: Rented[] = [];
  private readonly goneAt = new Map<MachineId, number>();
  private readonly failedAt = new Map<MachineId, number>();
  private machines = 0;

  constructor(
    private readonly time: Timeline,
    private readonly o: SimCloudOptions,
  ) {}

  get types(): readonly MachineType[] {
    return this.o.types;
  }

  private add(type: MachineType, zone: string, spot: boolean): MachineId {
    const id = `n-${String(this.machines++).padStart(6, '0')}` as MachineId;
    this.rented.push({
      at: this.time.now,
      id,
      machine: { id, address: id, type: type.name, zone, spot },
    });
    return id;
  }

  /** A machine that stands there from the start, up at once. */
  addRunningMachine(type: MachineType, zone: string): MachineId {
    const id = this.add(type, zone, false);
    this.o.onMachineUp(id, type, zone, false);
    return id;
  }

  /** Carries out a rental request of the process called `by`. */
  rent(q: RentalRequest, by: string): RentalOutcome {
    const before = this.requests.get(q.request);
    if (before !== undefined) {
      if (this.requesters.get(q.request) !== by) this.reusedRequestNames.push(q.request);
      return { outcome: 'rented', machines: before };
    }
    const type = this.o.types.find((t) => t.name === q.type);
    if (type === undefined) return { outcome: 'no_capacity' };
    const held = this.rented.filter(
      (r) =>
        !this.goneAt.has(r.id) &&
        !this.failedAt.has(r.id) &&
        r.machine.type === q.type &&
        r.machine.zone === q.zone &&
        r.machine.spot === q.spot,
    ).length;
    const count = Math.min(q.count, this.o.capacity - held);
    if (count <= 0) return { outcome: 'no_capacity' };
    const machines: MachineId[] = [];
    for (let i = 0; i < count; i += 1) {
      const id = this.add(type, q.zone, q.spot);
      machines.push(id);
      this.time.after(this.o.bootMs(type), () => {
        if (!this.goneAt.has(id)) this.o.onMachineUp(id, type, q.zone, q.spot);
      });
    }
    this.requests.set(q.request, machines);
    this.requesters.set(q.request, by);
    return { outcome: 'rented', machines };
  }

  /** The machines and everything on them are gone from now on; unknown names are ignored. */
  release(ids: readonly MachineId[]): true {
    for (const id of ids) {
      if (!this.goneAt.has(id)) this.goneAt.set(id, this.time.now);
      this.o.onMachineEnded(id);
    }
    return true;
  }

  /** A machine stops by itself: the list shows it only later. */
  failMachine(id: MachineId): void {
    if (!this.failedAt.has(id)) this.failedAt.set(id, this.time.now);
    this.o.onMachineEnded(id);
  }

  /** All machines as they were when the list was made, some time ago. */
  list(): ListedMachine[] {
    const seen = this.time.now - this.o.listLagMs - this.o.random(this.o.listLagMs);
    return this.rented
      .filter((r) => r.at <= seen && (this.goneAt.get(r.id) ?? Infinity) > seen)
      .map((r) => ({ ...r.machine, phase: this.phaseOf(r.id, seen), ageS: (seen - r.at) / 1000 }));
  }

  private phaseOf(id: MachineId, seen: number): ListedMachine['phase'] {
    const failedAt = this.failedAt.get(id);
    if (failedAt !== undefined && failedAt + FAILURE_SEEN_MS <= seen) return 'failed';
    return this.o.isMachineUp(id) || failedAt !== undefined ? 'running' : 'booting';
  }
}
