/**
 * Scales in machines that have been empty for a while.
 *
 * @module
 */

import { fitsMachineType } from '@spurbridge/model';
import type { MachineId } from '@spurbridge/wire';
import type { SpareCapacity } from './spare-capacity.js';
import type { FleetInput, FleetMachine } from './types.js';

/** Spot machines are cheap to keep: they are kept empty for so many times as long. */
const SPOT_IDLE_FACTOR = 2;

/** The empty machines that are not needed, the most expensive first; they are counted as removed from the spare capacity. */
export function findScaleIn(input: FleetInput, spareCapacity: SpareCapacity): MachineId[] {
  const { machines, policy } = input;
  let totalCpus = 0;
  for (const machine of machines)
    if (machine.isSchedulable || machine.isBooting) totalCpus += machine.type.cpus;
  const idleMachines = machines.filter((machine) => isIdle(machine, input) && !isWanted(machine, input));
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

/** Whether unplaced work may use the machine; work that waits for other kinds of machines is no reason to keep this one. */
function isWanted(machine: FleetMachine, { unplacedDemand }: FleetInput): boolean {
  return unplacedDemand.some(
    ({ isWithinLimit, job: { spec } }) =>
      isWithinLimit && (!machine.spot || spec.spot) && fitsMachineType(spec, machine.type),
  );
}

function pricePerCpu({ spot, type }: FleetMachine): number {
  return (spot ? type.spotPrice : type.price) / type.cpus;
}
