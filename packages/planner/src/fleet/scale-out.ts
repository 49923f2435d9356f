/**
 * Scales out for demand that no existing machine can take soon.
 *
 * @module
 */

import { fitsMachineType, maxTasksPerZone } from '@spurbridge/model';
import type { JobSpec, MachineType } from '@spurbridge/wire';
import type { UnplacedDemand } from '../scheduling/index.js';
import { countSequentialTasks, deadlineSlackS, needsOnDemand } from './demand-outlook.js';
import type { IncomingMachine } from './incoming-machine.js';
import { bootingMachines, requestedMachine, zoneWithMostCapacity } from './incoming-machine.js';
import { countFittingTasks } from './machine-fit.js';
import type { ManagementCost } from './management-cost.js';
import type { ScaleOutRequests } from './scale-out-requests.js';
import type { FleetInput } from './types.js';

/** The surcharge on a machine's score for each CPU already in its zone; it balances the zones. */
const ZONE_CROWDING_PER_CPU = 1e-5;
/** A boot time of this many seconds doubles a machine's score. */
const BOOT_TIME_SCALE_S = 400;

const SPOT_AND_ON_DEMAND: readonly boolean[] = [true, false];
const ON_DEMAND_ONLY: readonly boolean[] = [false];

/** The values of `spot` allowed for the job's machines, in order of preference. */
export function purchaseOptions(spec: JobSpec): readonly boolean[] {
  return spec.spot ? SPOT_AND_ON_DEMAND : ON_DEMAND_ONLY;
}

/** A machine that could be requested, with its score: the adjusted price per task; the lowest score wins. */
interface Candidate {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly score: number;
}

/** The part of one job's demand that scale-out has not assigned to machines yet. */
interface RemainingDemand {
  readonly demand: UnplacedDemand;
  /** Tasks not yet assigned to an incoming machine. */
  tasksLeft: number;
  /** The zone that the job is bound to; null if it is bound to none yet. */
  zone: string | null;
  readonly tasksByZone: Map<string, number>;
  readonly maxPerZone: number;
}

/** Scales out for unplaced demand, one job after another. */
export class DemandScaleOut {
  private readonly incoming: IncomingMachine[];
  private readonly cpusByZone = new Map<string, number>();

  constructor(
    private readonly input: FleetInput,
    private readonly requests: ScaleOutRequests,
    private readonly managementCost: ManagementCost,
  ) {
    this.incoming = bootingMachines(input.machines);
    for (const { zone, type } of input.machines) this.addCpus(zone, type.cpus);
  }

  /**
   * Assigns the demand to incoming machines, and requests additional machines for the rest while they are
   * worth their price.
   */
  scaleOutFor(demand: UnplacedDemand): void {
    const remaining = this.remainingDemandOf(demand);
    for (const machine of this.incoming) {
      if (remaining.tasksLeft === 0) return;
      if (isAllowed(remaining, machine.type, machine.zone, machine.spot)) assignTasks(remaining, machine);
    }
    const slackS = deadlineSlackS(demand);
    while (remaining.tasksLeft > 0) {
      const candidate = this.cheapestCandidate(remaining, slackS);
      if (candidate === null) return;
      const tasksBefore = remaining.tasksLeft;
      this.request(remaining, candidate);
      if (remaining.tasksLeft === tasksBefore) return;
    }
  }

  private remainingDemandOf(demand: UnplacedDemand): RemainingDemand {
    const { spec, placedZones, pendingTasks } = demand.job;
    let zone = spec.zone;
    if (zone === null && spec.oneZone)
      zone = placedZones[0] ?? demand.zone ?? zoneWithMostCapacity(demand, this.incoming);
    let tasksLeft = demand.taskCount;
    const canChangeZone = spec.zone === null && zone !== null && placedZones.length === 0;
    if (canChangeZone && zone !== null && !this.canScaleOut(spec, zone)) {
      // The job is bound to one zone, and this zone has no capacity for the remaining tasks. All of its tasks
      // are planned again in another zone.
      zone = null;
      tasksLeft = Math.max(tasksLeft, pendingTasks.length);
    }
    const tasksByZone = new Map<string, number>();
    for (const placed of placedZones) tasksByZone.set(placed, (tasksByZone.get(placed) ?? 0) + 1);
    const maxPerZone = maxTasksPerZone(spec);
    return { demand, tasksLeft, zone, tasksByZone, maxPerZone };
  }

  /** Whether some suitable machine may be available in the zone. */
  private canScaleOut(spec: JobSpec, zone: string): boolean {
    const { types, hasCapacity } = this.input;
    return types.some(
      (type) =>
        fitsMachineType(spec, type) &&
        (type.zones.length === 0 || type.zones.includes(zone)) &&
        (hasCapacity(type.name, zone, false) || (spec.spot && hasCapacity(type.name, zone, true))),
    );
  }

  private cheapestCandidate(remaining: RemainingDemand, slackS: number): Candidate | null {
    const { spec } = remaining.demand.job;
    const surcharge = this.managementCost.perMachine(this.input.machines.length + this.requests.machineCount);
    let best: Candidate | null = null;
    for (const type of this.input.types) {
      if (!this.isWorthBooting(remaining.demand, type, slackS)) continue;
      const zones = type.zones.length > 0 ? type.zones : [...this.cpusByZone.keys()];
      for (const zone of zones)
        for (const spot of purchaseOptions(spec)) {
          if (!this.isCandidate(remaining, type, zone, spot)) continue;
          const score = this.score(remaining, type, zone, spot, surcharge);
          if (score !== null && (best === null || score < best.score)) best = { type, zone, spot, score };
        }
    }
    return best;
  }

  /**
   * Whether a machine is worth its price. It is not if the work starts in the queues within
   * `minQueueBootShare` of the boot time, or if the job's slack exceeds the boot time.
   */
  private isWorthBooting(demand: UnplacedDemand, type: MachineType, slackS: number): boolean {
    if (demand.startsInS < type.bootS * this.input.policy.minQueueBootShare) return false;
    return slackS <= type.bootS;
  }

  private isCandidate(remaining: RemainingDemand, type: MachineType, zone: string, spot: boolean): boolean {
    const { policy, hasCapacity } = this.input;
    if (!isAllowed(remaining, type, zone, spot) || !hasCapacity(type.name, zone, spot)) return false;
    const isFallback = policy.isCostAware && remaining.demand.job.spec.spot && !spot;
    return !isFallback || needsOnDemand(remaining.demand, type, policy.burstCpus > 0);
  }

  /**
   * The price per task that the machine can run, adjusted for boot time and zone; null if it can run none.
   */
  private score(
    remaining: RemainingDemand,
    type: MachineType,
    zone: string,
    spot: boolean,
    surcharge: number,
  ): number | null {
    const slots = countFittingTasks(remaining.demand.job.spec, type);
    const tasks = Math.min(remaining.tasksLeft, slots * countSequentialTasks(remaining.demand, type.bootS));
    if (tasks < 1) return null;
    const price = spot ? type.spotPrice : type.price;
    const crowding = (this.cpusByZone.get(zone) ?? 0) * ZONE_CROWDING_PER_CPU;
    return ((price + surcharge) / tasks) * (1 + type.bootS / BOOT_TIME_SCALE_S) + crowding;
  }

  private request(remaining: RemainingDemand, { type, zone, spot }: Candidate): void {
    if (remaining.demand.job.spec.oneZone) remaining.zone = zone;
    this.requests.add(type, zone, spot, 1);
    this.addCpus(zone, type.cpus);
    const machine = requestedMachine(type, zone, spot);
    this.incoming.push(machine);
    assignTasks(remaining, machine);
  }

  private addCpus(zone: string, cpus: number): void {
    this.cpusByZone.set(zone, (this.cpusByZone.get(zone) ?? 0) + cpus);
  }
}

/** Whether the job's placement constraints allow one more task on a machine of this kind. */
function isAllowed(remaining: RemainingDemand, type: MachineType, zone: string, spot: boolean): boolean {
  const { spec } = remaining.demand.job;
  return (
    fitsMachineType(spec, type) &&
    (remaining.zone === null || zone === remaining.zone) &&
    (!spot || spec.spot) &&
    !isZoneFull(remaining, zone)
  );
}

function isZoneFull(remaining: RemainingDemand, zone: string): boolean {
  return (remaining.tasksByZone.get(zone) ?? 0) >= remaining.maxPerZone;
}

/** Assigns to an incoming machine as many of the tasks as it can run in time. */
function assignTasks(remaining: RemainingDemand, machine: IncomingMachine): void {
  const { cpus, gpus, memoryGb } = remaining.demand.job.spec;
  const { zone } = machine;
  const share = 1 / countSequentialTasks(remaining.demand, machine.readyInS);
  while (
    remaining.tasksLeft > 0 &&
    machine.cpus >= cpus &&
    machine.gpus >= gpus &&
    machine.memoryGb >= memoryGb &&
    !isZoneFull(remaining, zone)
  ) {
    machine.cpus -= cpus * share;
    machine.gpus -= gpus * share;
    machine.memoryGb -= memoryGb * share;
    remaining.tasksByZone.set(zone, (remaining.tasksByZone.get(zone) ?? 0) + 1);
    remaining.tasksLeft -= 1;
  }
}
