/**
 * The cost of managing many machines, as a surcharge on their price.
 *
 * @module
 */

import type { MachineType } from '@spurbridge/wire';

/**
 * What managing one more machine costs, in the price of so many CPUs, once there are many: every machine sends heartbeats, is
 * planned for and has to be reconciled after a failover, whatever its size.
 */
const MANAGEMENT_CPUS = 6;
/** Managing machines is free up to this share of what the controller can manage easily. */
const FREE_SHARE = 0.5;

/** The median spot price of a CPU over the machine types; 0 without types. */
function medianCpuPrice(types: readonly MachineType[]): number {
  const prices = types.map((type) => type.spotPrice / Math.max(1, type.cpus));
  prices.sort((first, second) => first - second);
  return prices[Math.floor(prices.length / 2)] ?? 0;
}

/** The surcharge for each further machine in a fleet of some size. */
export class ManagementCost {
  private readonly fullSurcharge: number;

  constructor(
    types: readonly MachineType[],
    private readonly manageableMachines: number,
  ) {
    this.fullSurcharge = medianCpuPrice(types) * MANAGEMENT_CPUS;
  }

  /** The surcharge on the price of one more machine beside `machineCount` others. */
  perMachine(machineCount: number): number {
    return Math.max(0, machineCount / this.manageableMachines - FREE_SHARE) * this.fullSurcharge;
  }
}
