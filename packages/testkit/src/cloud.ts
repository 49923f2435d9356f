/**
 * A stand-in for the cloud provider: idempotent rentals, delayed lists of machines, and boot times.
 *
 * @module
 */
import type { RentalOutcome } from '@spurbridge/cloud';
import type { Timeline } from '@spurbridge/simulated-worker';
import type { ListedMachine, MachineId, MachineType, RentalRequest } from '@spurbridge/wire';

/** Minimum delay of lists of machines in milliseconds; the maximum is twice as much. */
export const LIST_LAG_MS = 4000;
/** A failed machine is still listed as running for this long, in milliseconds. */
const FAILURE_DETECTION_MS = 30_000;
const ID_DIGITS = 6;

/** Configuration of a cloud, and its callbacks. */
export interface SimCloudOptions {
  readonly types: readonly MachineType[];
  /** The number of machines of each type, zone and purchase option (spot or not). */
  readonly capacity: number;
  /** Minimum delay of lists in milliseconds; the maximum is twice as much. */
  readonly listLagMs: number;
  /** A random integer from 0 to `below` - 1. */
  readonly random: (below: number) => number;
  /** The boot time of a machine of the type, in milliseconds. */
  readonly bootMs: (type: MachineType) => number;
  /** A machine came up. */
  readonly onMachineUp: (id: MachineId, type: MachineType, zone: string, spot: boolean) => void;
  /** A machine ended, including all tasks on it. */
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
  /** Names of rental requests that one process used after another process had used them. */
  readonly reusedRequestNames: string[] = [];
  private readonly requests = new Map<string, FulfilledRequest>();
  private readonly rented: RentedMachine[] = [];
  private readonly releasedAt = new Map<MachineId, number>();
  private readonly failedAt = new Map<MachineId, number>();
  private machineCount = 0;

  constructor(
    private readonly time: Timeline,
    private readonly options: SimCloudOptions,
  ) {}

  /** The machine types on offer. */
  get types(): readonly MachineType[] {
    return this.options.types;
  }

  /** Adds a machine of the initial fleet, which is up at once. */
  addRunningMachine(type: MachineType, zone: string): MachineId {
    const id = this.addMachine(type, zone, false);
    this.options.onMachineUp(id, type, zone, false);
    return id;
  }

  /** Executes a rental request; a repeated one returns the machines of the first. */
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

  /** Releases the machines and ends all tasks on them; unknown ids are ignored. */
  release(ids: readonly MachineId[]): true {
    for (const id of ids) {
      if (!this.releasedAt.has(id)) this.releasedAt.set(id, this.time.now);
      this.options.onMachineEnded(id);
    }
    return true;
  }

  /** Fails a machine; lists show it only later. */
  failMachine(id: MachineId): void {
    if (!this.failedAt.has(id)) this.failedAt.set(id, this.time.now);
    this.options.onMachineEnded(id);
  }

  /** Whether the machine is neither released nor failed. */
  isRented(id: MachineId): boolean {
    return !this.releasedAt.has(id) && !this.failedAt.has(id);
  }

  /** All machines, as of the time when the delayed list was made. */
  list(): ListedMachine[] {
    const { listLagMs, random } = this.options;
    const asOfMs = this.time.now - listLagMs - random(listLagMs);
    return this.rented
      .filter(({ atMs, id }) => atMs <= asOfMs && (this.releasedAt.get(id) ?? Infinity) > asOfMs)
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
      if (!this.releasedAt.has(id)) this.options.onMachineUp(id, type, zone, spot);
    });
    return id;
  }

  private countInUse({ type, zone, spot }: RentalRequest): number {
    return this.rented.filter(
      ({ id, machine }) =>
        !this.releasedAt.has(id) &&
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
