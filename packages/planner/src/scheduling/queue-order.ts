/**
 * The fixed order of the queues within one scheduling pass: by zone, and by preference among queues of equal
 * cost.
 *
 * @module
 */

import type { MachineView } from '../cluster-snapshot.js';
import type { MachineQueue } from './machine-queue.js';

/** The weight of a CPU's price in the preference score. */
const PRICE_WEIGHT = 10;
/** The used share of a machine is divided by this in the preference score. */
const USED_SHARE_DIVISOR = 10;

/** The order of the queues, which are identified by their index in the pass. */
export class QueueOrder {
  /** The names of the zones, by zone index. */
  readonly zones: string[] = [];
  /** The zone index of each queue. */
  readonly zoneIndexes: Int32Array;
  /** All queues, the preferred ones first. */
  readonly queuesByPreference: readonly number[];
  /** The position of each queue in `queuesByPreference`. */
  readonly preferenceRanks: Int32Array;
  private readonly queuesByZone = new Map<string | null, readonly number[]>();

  constructor(queues: readonly MachineQueue[]) {
    const scores = new Float64Array(queues.length);
    this.zoneIndexes = new Int32Array(queues.length);
    for (const [index, { machine }] of queues.entries()) {
      scores[index] = preferenceScore(machine);
      this.zoneIndexes[index] = this.zoneIndexOf(machine.zone);
    }
    this.queuesByPreference = queues
      .map((_, index) => index)
      .sort((first, second) => (scores[first] as number) - (scores[second] as number) || first - second);
    this.preferenceRanks = new Int32Array(queues.length);
    for (const [rank, index] of this.queuesByPreference.entries()) this.preferenceRanks[index] = rank;
    this.queuesByZone.set(null, this.queuesByPreference);
    for (const [zoneIndex, zone] of this.zones.entries())
      this.queuesByZone.set(
        zone,
        this.queuesByPreference.filter((index) => this.zoneIndexes[index] === zoneIndex),
      );
  }

  /** The queues of one zone, or of all zones for null, the preferred ones first. */
  inZone(zone: string | null): readonly number[] {
    return this.queuesByZone.get(zone) ?? [];
  }

  /** The name of a queue's zone. */
  zoneOf(queueIndex: number): string {
    return this.zones[this.zoneIndexes[queueIndex] as number] as string;
  }

  private zoneIndexOf(zone: string): number {
    const known = this.zones.indexOf(zone);
    return known >= 0 ? known : this.zones.push(zone) - 1;
  }
}

/** Prefers cheaper machines, then fuller ones, so that others become empty and can be scaled in. */
function preferenceScore({ type, spot, occupants }: MachineView): number {
  const price = (spot ? type.spotPrice : type.price) / Math.max(type.cpus, 1);
  let cpus = 0;
  let gpus = 0;
  for (const occupant of occupants) {
    cpus += occupant.cpus;
    gpus += occupant.gpus;
  }
  // The resource that runs out first determines how full a machine is.
  const usedShare = Math.max(cpus / Math.max(type.cpus, 1), type.gpus > 0 ? gpus / type.gpus : 0);
  return price * PRICE_WEIGHT - usedShare / USED_SHARE_DIVISOR;
}
