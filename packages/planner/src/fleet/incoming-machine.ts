/**
 * Machines that are booting or about to be requested. Demand assigned to them is not scaled out for again.
 *
 * @module
 */

import { fitsMachineType } from '@spurbridge/model';
import type { MachineType } from '@spurbridge/wire';
import type { UnplacedDemand } from '../scheduling/index.js';
import { countFittingTasks } from './machine-fit.js';
import type { FleetMachine } from './types.js';

/** A machine that is expected to be up soon, with its resources that are not assigned to any demand. */
export interface IncomingMachine {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** Estimated seconds until it is up. */
  readonly readyInS: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Lower bound of the time until a booting machine is expected to be up, as a share of its boot time. */
const MIN_BOOT_SHARE = 0.1;

/** The machines of the fleet that are booting. */
export function bootingMachines(machines: readonly FleetMachine[]): IncomingMachine[] {
  return machines
    .filter((machine) => machine.isBooting)
    .map((machine) => ({
      type: machine.type,
      zone: machine.zone,
      spot: machine.spot,
      readyInS: Math.max(machine.type.bootS * MIN_BOOT_SHARE, machine.type.bootS - machine.idleS),
      // After a failover, machines that have sent no heartbeat yet are full of the tasks that the records
      // place there. Treating them as empty booting machines suppressed the scale-out for a burst for half a
      // minute.
      cpus: machine.type.cpus - machine.usedCpus,
      gpus: machine.type.gpus - machine.usedGpus,
      memoryGb: machine.type.memoryGb - machine.usedMemoryGb,
    }));
}

/** A machine that this plan requests. */
export function requestedMachine(type: MachineType, zone: string, spot: boolean): IncomingMachine {
  const { bootS, cpus, gpus, memoryGb } = type;
  return { type, zone, spot, readyInS: bootS, cpus, gpus, memoryGb };
}

/**
 * The zone in which most tasks of a zone-bound job fit on the incoming machines; null if no task fits. The
 * zones are counted separately. When they were counted together, half of a gang fitted in each of two zones,
 * and no machine was requested.
 */
export function zoneWithMostCapacity(
  demand: UnplacedDemand,
  incoming: readonly IncomingMachine[],
): string | null {
  const { spec } = demand.job;
  const fittingByZone = new Map<string, number>();
  for (const machine of incoming) {
    if ((machine.spot && !spec.spot) || !fitsMachineType(spec, machine.type)) continue;
    const fitting = countFittingTasks(spec, machine);
    if (fitting > 0) fittingByZone.set(machine.zone, (fittingByZone.get(machine.zone) ?? 0) + fitting);
  }
  let bestZone: string | null = null;
  let mostTasks = 0;
  for (const [zone, fitting] of fittingByZone) {
    const tasks = Math.min(fitting, demand.taskCount);
    if (bestZone !== null && tasks <= mostTasks) continue;
    bestZone = zone;
    mostTasks = tasks;
  }
  return bestZone;
}
