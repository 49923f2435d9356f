/**
 * Machines that may run unrecorded tasks, because they have not been confirmed by a heartbeat yet.
 *
 * @module
 */
import type { Job, Machine } from '@spurbridge/model';
import type { MachineId } from '@spurbridge/wire';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { ResourceUsage } from '../placement/resource-usage.js';
import { addTaskUsage, noUsage, usageOf } from '../placement/resource-usage.js';

/** The attributes that decide whether a job's task may run on a machine. */
export interface MachineShape {
  /** Empty if only the machine's id is known. */
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

interface UnconfirmedMachine {
  readonly shape: MachineShape;
  readonly shapeKey: string;
  readonly capacity: ResourceUsage;
  /** Usage of the recorded placements on the machine, by team. */
  readonly recordedByTeam: ReadonlyMap<string, ResourceUsage>;
}

interface ShapeCount {
  readonly shape: MachineShape;
  count: number;
}

/**
 * A set of machines with the sums over them that decisions depend on. Each of a thousand heartbeats removes one
 * machine. Recomputing the sums each time used up the processor time that a new leader needed to process these
 * heartbeats.
 */
export class UnconfirmedMachines {
  private readonly machines = new Map<MachineId, UnconfirmedMachine>();
  private readonly shapeCounts = new Map<string, ShapeCount>();
  private readonly knownCapacity = noUsage();
  private readonly recordedByTeam = new Map<string, ResourceUsage>();
  /** Machines of an unknown type, which may be as large as any. */
  private unknownTypeCount = 0;

  constructor(private readonly cluster: ClusterState) {}

  get count(): number {
    return this.machines.size;
  }

  machineIds(): Iterable<MachineId> {
    return this.machines.keys();
  }

  /** Total resources of the machines; infinite while one of them is of an unknown type. */
  get capacity(): Readonly<ResourceUsage> {
    return this.unknownTypeCount > 0 ? { cpus: Infinity, gpus: Infinity } : this.knownCapacity;
  }

  /** A team's usage by the recorded placements on the machines. */
  recordedUsage(team: string): Readonly<ResourceUsage> {
    return this.recordedByTeam.get(team) ?? noUsage();
  }

  /** Whether a task of the job may run on any of the machines. */
  couldRun(job: Job): boolean {
    for (const { shape } of this.shapeCounts.values()) if (couldRunOn(shape, job)) return true;
    return false;
  }

  add(machine: Machine): void {
    if (this.machines.has(machine.id)) return;
    const unconfirmed = this.describe(machine);
    this.machines.set(machine.id, unconfirmed);
    const { shape, shapeKey } = unconfirmed;
    const counted = this.shapeCounts.get(shapeKey);
    if (counted === undefined) this.shapeCounts.set(shapeKey, { shape, count: 1 });
    else counted.count += 1;
    this.updateSums(unconfirmed, 1);
  }

  private describe({ id, type, zone, spot }: Machine): UnconfirmedMachine {
    const machineType = this.cluster.machineType(type);
    const recordedByTeam = new Map<string, ResourceUsage>();
    for (const { job } of this.cluster.tasksOn(id))
      addTaskUsage(usageOf(recordedByTeam, job.spec.team), job.spec, 1);
    return {
      shape: { type, zone, spot },
      shapeKey: `${type}/${zone}/${spot}`,
      capacity: { cpus: machineType?.cpus ?? Infinity, gpus: machineType?.gpus ?? Infinity },
      recordedByTeam,
    };
  }

  remove(id: MachineId): void {
    const unconfirmed = this.machines.get(id);
    if (unconfirmed === undefined) return;
    this.machines.delete(id);
    const counted = this.shapeCounts.get(unconfirmed.shapeKey);
    if (counted !== undefined) {
      counted.count -= 1;
      if (counted.count === 0) this.shapeCounts.delete(unconfirmed.shapeKey);
    }
    this.updateSums(unconfirmed, -1);
  }

  clear(): void {
    for (const id of [...this.machines.keys()]) this.remove(id);
  }

  private updateSums({ capacity, recordedByTeam }: UnconfirmedMachine, sign: 1 | -1): void {
    if (capacity.cpus === Infinity) this.unknownTypeCount += sign;
    else addUsage(this.knownCapacity, capacity, sign);
    for (const [team, usage] of recordedByTeam) addUsage(usageOf(this.recordedByTeam, team), usage, sign);
  }
}

function addUsage(sum: ResourceUsage, usage: Readonly<ResourceUsage>, sign: 1 | -1): void {
  sum.cpus += sign * usage.cpus;
  sum.gpus += sign * usage.gpus;
}

/** Whether an earlier leader may have placed a task of the job on a machine of this shape. */
function couldRunOn(shape: MachineShape, { spec }: Job): boolean {
  if (shape.type === '') return true;
  return (
    (spec.types === null || spec.types.includes(shape.type)) &&
    (spec.zone === null || spec.zone === shape.zone) &&
    (spec.spot || !shape.spot)
  );
}
