/**
 * Scales in machines that have been empty long enough.
 *
 * @module
 */

import { fitsMachineType } from '@spurbridge/model';
import type { MachineId } from '@spurbridge/wire';
import type { SpareCapacity } from './spare-capacity.js';
import type { FleetInput, FleetMachine } from './types.js';

/** Spot machines are cheap, so empty ones are kept this many times longer than on-demand ones. */
const SPOT_IDLE_FACTOR = 2;

/**
 * The empty machines that are not needed, most expensive first; they are subtracted from the spare capacity.
 */
export function findScaleIn(input: FleetInput, spareCapacity: SpareCapacity): MachineId[] {
  const { machines, policy } = input;
  let totalCpus = 0;
  for (const machine of machines)
    if (machine.isSchedulable || machine.isBooting) totalCpus += machine.type.cpus;
  const idleMachines = machines.filter(
    (machine) => isIdle(machine, input) && !isUsableByDemand(machine, input),
  );
  idleMachines.sort((first, second) => pricePerCpu(second) - pricePerCpu(first));
  const scaledIn: MachineId[] = [];
  for (const machine of idleMachines) {
    if (totalCpus - machine.type.cpus < policy.targetCpus) continue;
    if (!machine.spot && !spareCapacity.canRemove(machine)) continue;
    totalCpus -= machine.type.cpus;
    if (!machine.spot) spareCapacity.remove(machine);
    scaledIn.push(machine.id);
  }
  return scaledIn;
}

function isIdle(machine: FleetMachine, { policy }: FleetInput): boolean {
  return (
    machine.canScaleIn &&
    machine.usedCpus === 0 &&
    machine.isSchedulable &&
    machine.idleS >= policy.scaleInIdleS * (machine.spot ? SPOT_IDLE_FACTOR : 1)
  );
}

/**
 * Whether unplaced demand can use the machine. Demand that needs other kinds of machines does not justify
 * keeping it.
 */
function isUsableByDemand(machine: FleetMachine, { unplacedDemand }: FleetInput): boolean {
  return unplacedDemand.some(
    ({ isWithinLimit, job: { spec } }) =>
      isWithinLimit && (!machine.spot || spec.spot) && fitsMachineType(spec, machine.type),
  );
}

function pricePerCpu({ spot, type }: FleetMachine): number {
  return (spot ? type.spotPrice : type.price) / type.cpus;
}
