/**
 * A stand-in of the cloud provider: rentals by name, lists that lag, and machines that boot.
 *
 * @module
 */
import type { RentalOutcome } from '@spurbridge/cloud';
import type { Timeline } from '@spurbridge/simulated-worker';
import type { ListedMachine, MachineId, MachineType, RentalRequest } from '@spurbridge/wire';

/** Lists of machines are this late, and up to twice as late, in milliseconds. */
export const LIST_LAG_MS = 4000;
/** A machine that failed by itself is listed as running for this long. */
const FAILURE_DETECTION_MS = 30_000;
const ID_DIGITS = 6;

/** What a cloud is made of, and whom it tells of its machines. */
export interface SimCloudOptions {
  readonly types: readonly MachineType[];
  /** How many machines there are of each type, zone and kind (spot or not). */
  readonly capacity: number;
  /** Lists are this late, and up to twice as late, in milliseconds. */
  readonly listLagMs: number;
  /** A random whole number from 0 up to `below`, without it. */
  readonly random: (below: number) => number;
  /** How long a machine of the type boots, in milliseconds. */
  readonly bootMs: (type: MachineType) => number;
  /** A machine is up from now on. */
  readonly onMachineUp: (id: MachineId, type: MachineType, zone: string, spot: boolean) => void;
  /** A machine is gone with everything on it. */
  readonly onMachineEnded: (id: MachineId) => void;
  readonly isMachineUp: (id: MachineId) => boolean;
}

interface RentedMachine {
  readonly atMs: number;
  readonly id: MachineId;
  readonly machine: Omit<ListedMachine, 'ageS' | 'phase'>;
}

interface FulfilledRequest {
  readonly requester: string;
  readonly machines: readonly MachineId[];
}

/** The cloud itself; controllers reach it through a cloud client. */
export class SimCloud {
  /** Names of rental requests that one process took after another had used them. */
  readonly reusedRequestNames: string[] = [];
  private readonly requests = new Map<string, FulfilledRequest>();
  private readonly rented: RentedMachine[] = [];
  private readonly goneAt = new Map<MachineId, number>();
  private readonly failedAt = new Map<MachineId, number>();
  private machineCount = 0;

  constructor(
    private readonly time: Timeline,
    private readonly options: SimCloudOptions,
  ) {}

  /** The machine types that can be rented. */
  get types(): readonly MachineType[] {
    return this.options.types;
  }

  /** Adds a machine of the initial fleet, up at once. */
  addRunningMachine(type: MachineType, zone: string): MachineId {
    const id = this.addMachine(type, zone, false);
    this.options.onMachineUp(id, type, zone, false);
    return id;
  }

  /** Carries a rental request out; a repeated one gets the machines of the first. */
  rent(request: RentalRequest, requester: string): RentalOutcome {
    const fulfilled = this.requests.get(request.request);
    if (fulfilled !== undefined) {
      if (fulfilled.requester !== requester) this.reusedRequestNames.push(request.request);
      return { outcome: 'rented', machines: fulfilled.machines };
    }
    const type = this.types.find((candidate) => candidate.name === request.type);
    if (type === undefined) return { outcome: 'no_capacity' };
    const count = Math.min(request.count, this.options.capacity - this.countInUse(request));
    if (count <= 0) return { outcome: 'no_capacity' };
    const machines = Array.from({ length: count }, () => this.bootMachine(type, request.zone, request.spot));
    this.requests.set(request.request, { requester, machines });
    return { outcome: 'rented', machines };
  }

  /** The machines and everything on them are gone from now on; unknown names are ignored. */
  release(ids: readonly MachineId[]): true {
    for (const id of ids) {
      if (!this.goneAt.has(id)) this.goneAt.set(id, this.time.now);
      this.options.onMachineEnded(id);
    }
    return true;
  }

  /** A machine stops by itself: the list shows it only later. */
  failMachine(id: MachineId): void {
    if (!this.failedAt.has(id)) this.failedAt.set(id, this.time.now);
    this.options.onMachineEnded(id);
  }

  /** All machines as they were when the list was made, some time ago. */
  list(): ListedMachine[] {
    const { listLagMs, random } = this.options;
    const asOfMs = this.time.now - listLagMs - random(listLagMs);
    return this.rented
      .filter(({ atMs, id }) => atMs <= asOfMs && (this.goneAt.get(id) ?? Infinity) > asOfMs)
      .map(({ atMs, id, machine }) => ({
        ...machine,
        phase: this.phaseOf(id, asOfMs),
        ageS: (asOfMs - atMs) / 1000,
      }));
  }

  private addMachine(type: MachineType, zone: string, spot: boolean): MachineId {
    const id = `n-${String(this.machineCount).padStart(ID_DIGITS, '0')}` as MachineId;
    this.machineCount += 1;
    this.rented.push({
      atMs: this.time.now,
      id,
      machine: { id, address: id, type: type.name, zone, spot },
    });
    return id;
  }

  private bootMachine(type: MachineType, zone: string, spot: boolean): MachineId {
    const id = this.addMachine(type, zone, spot);
    this.time.after(this.options.bootMs(type), () => {
      if (!this.goneAt.has(id)) this.options.onMachineUp(id, type, zone, spot);
    });
    return id;
  }

  private countInUse({ type, zone, spot }: RentalRequest): number {
    return this.rented.filter(
      ({ id, machine }) =>
        !this.goneAt.has(id) &&
        !this.failedAt.has(id) &&
        machine.type === type &&
        machine.zone === zone &&
        machine.spot === spot,
    ).length;
  }

  private phaseOf(id: MachineId, asOfMs: number): ListedMachine['phase'] {
    const failedAt = this.failedAt.get(id);
    if (failedAt !== undefined && failedAt + FAILURE_DETECTION_MS <= asOfMs) return 'failed';
    return this.options.isMachineUp(id) || failedAt !== undefined ? 'running' : 'booting';
  }
}
