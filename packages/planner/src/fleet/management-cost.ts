/**
 * The cost of managing many machines, as a surcharge on their price.
 *
 * @module
 */

import type { MachineType } from '@spurbridge/wire';

/**
 * The cost of managing one more machine in a large fleet, as the price of this many CPUs. Every machine sends
 * heartbeats, is part of every plan and has to be reconciled after a failover, regardless of its size.
 */
const MANAGEMENT_CPUS = 6;
/** Up to this share of `manageableMachines`, there is no surcharge. */
const FREE_MANAGEMENT_SHARE = 0.5;

/** The median spot price of a CPU over the machine types; 0 if there are no types. */
function medianCpuPrice(types: readonly MachineType[]): number {
  const prices = types.map((type) => type.spotPrice / Math.max(1, type.cpus));
  prices.sort((first, second) => first - second);
  return prices[Math.floor(prices.length / 2)] ?? 0;
}

/** Computes the surcharge per additional machine from the size of the fleet. */
export class ManagementCost {
  private readonly fullSurcharge: number;

  constructor(
    types: readonly MachineType[],
    private readonly manageableMachines: number,
  ) {
    this.fullSurcharge = medianCpuPrice(types) * MANAGEMENT_CPUS;
  }

  /** The surcharge on the price of one more machine in a fleet of `machineCount` machines. */
  perMachine(machineCount: number): number {
    return Math.max(0, machineCount / this.manageableMachines - FREE_MANAGEMENT_SHARE) * this.fullSurcharge;
  }
}
