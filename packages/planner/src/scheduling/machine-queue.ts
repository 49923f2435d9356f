/**
 * The queue of one machine, to which the scheduling pass adds tasks.
 *
 * @module
 */

import { EPSILON } from '@spurbridge/model';
import type { MachineView } from '../cluster-snapshot.js';
import type { ResourceDimension, ResourceRequest } from './resources.js';

/**
 * Lower bound of a task's remaining time in seconds. An overdue task occupies its machine until proven gone.
 */
const MIN_REMAINING_S = 0.2;

/** Resources in use until a certain time. */
interface ResourceAllocation {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly endS: number;
}

/**
 * The queue of one machine: what uses its resources, and until when. Tasks start in queue order, so no task
 * is placed to start before `lastStartS`. Allocations that end by then are dropped, and only the sum of the
 * free resources is kept.
 */
export class MachineQueue {
  /** The start of the last task of the queue, in seconds from now. */
  private lastStartS = 0;
  /** The resources free at `lastStartS`; negative if more is placed than the machine has. */
  private cpus: number;
  private gpus: number;
  private memoryGb: number;
  /** The resources used by services, which never become free. */
  private serviceCpus = 0;
  private serviceGpus = 0;
  private serviceMemoryGb = 0;

  private constructor(
    readonly machine: MachineView,
    /** The allocations, ordered by their ends. */
    private readonly allocations: ResourceAllocation[],
  ) {
    this.cpus = machine.type.cpus;
    this.gpus = machine.type.gpus;
    this.memoryGb = machine.type.memoryGb;
  }

  /** The queue of a machine with its present occupants. */
  static of(machine: MachineView): MachineQueue {
    const allocations = machine.occupants.map((occupant) => ({
      cpus: occupant.cpus,
      gpus: occupant.gpus,
      memoryGb: occupant.memoryGb,
      endS: Math.max(occupant.remainingS, MIN_REMAINING_S),
    }));
    allocations.sort((first, second) => first.endS - second.endS);
    const queue = new MachineQueue(machine, allocations);
    for (const allocation of allocations) queue.occupy(allocation, allocation.endS);
    return queue;
  }

  /** An independent copy. */
  copy(): MachineQueue {
    const copy = new MachineQueue(this.machine, [...this.allocations]);
    copy.lastStartS = this.lastStartS;
    copy.cpus = this.cpus;
    copy.gpus = this.gpus;
    copy.memoryGb = this.memoryGb;
    copy.serviceCpus = this.serviceCpus;
    copy.serviceGpus = this.serviceGpus;
    copy.serviceMemoryGb = this.serviceMemoryGb;
    return copy;
  }

  /** The earliest start of a task of this size, in seconds from now; Infinity if it never fits. */
  earliestStart(request: ResourceRequest): number {
    const { type } = this.machine;
    if (
      request.cpus > type.cpus + EPSILON ||
      request.gpus > type.gpus + EPSILON ||
      request.memoryGb > type.memoryGb + EPSILON
    )
      return Infinity;
    let cpus = this.cpus - request.cpus;
    let gpus = this.gpus - request.gpus;
    let memoryGb = this.memoryGb - request.memoryGb;
    if (cpus >= -EPSILON && gpus >= -EPSILON && memoryGb >= -EPSILON) return this.lastStartS;
    for (const allocation of this.allocations) {
      cpus += allocation.cpus;
      gpus += allocation.gpus;
      memoryGb += allocation.memoryGb;
      if (cpus >= -EPSILON && gpus >= -EPSILON && memoryGb >= -EPSILON) return allocation.endS;
    }
    return Infinity;
  }

  /** Appends a task. */
  add(request: ResourceRequest, startS: number, endS: number): void {
    if (startS > this.lastStartS) {
      this.lastStartS = startS;
      this.dropEnded(startS);
    }
    this.occupy(request, endS);
    let position = this.allocations.length;
    while (position > 0 && (this.allocations[position - 1] as ResourceAllocation).endS > endS) position -= 1;
    const { cpus, gpus, memoryGb } = request;
    this.allocations.splice(position, 0, { cpus, gpus, memoryGb, endS });
  }

  /**
   * Adds the amounts of a resource that become free to buckets of time, each `bucketS` seconds long. What is
   * free at the end of the queue counts from that time; what becomes free after the last bucket is counted in
   * the last one.
   */
  addReleasesTo(buckets: Float64Array, dimension: ResourceDimension, bucketS: number): void {
    const free = this[dimension];
    if (free > 0) addToBucket(buckets, this.lastStartS / bucketS, free);
    for (const allocation of this.allocations)
      if (allocation.endS < Infinity && allocation[dimension] > 0)
        addToBucket(buckets, allocation.endS / bucketS, allocation[dimension]);
  }

  /**
   * The number of slots for tasks of this size that one more service would take away. Only the resources used
   * by services count as used.
   */
  slotsLost(service: ResourceRequest, task: ResourceRequest): number {
    const { type } = this.machine;
    const cpus = type.cpus - this.serviceCpus;
    const gpus = type.gpus - this.serviceGpus;
    const memoryGb = type.memoryGb - this.serviceMemoryGb;
    const slotsBefore = countTaskSlots(task, cpus, gpus, memoryGb);
    return (
      slotsBefore -
      countTaskSlots(task, cpus - service.cpus, gpus - service.gpus, memoryGb - service.memoryGb)
    );
  }

  private occupy(request: ResourceRequest, endS: number): void {
    this.cpus -= request.cpus;
    this.gpus -= request.gpus;
    this.memoryGb -= request.memoryGb;
    if (endS < Infinity) return;
    this.serviceCpus += request.cpus;
    this.serviceGpus += request.gpus;
    this.serviceMemoryGb += request.memoryGb;
  }

  /** Drops the allocations that end by this time and counts their resources as free. */
  private dropEnded(atS: number): void {
    let ended = 0;
    for (const allocation of this.allocations) {
      if (allocation.endS > atS) break;
      ended += 1;
      this.cpus += allocation.cpus;
      this.gpus += allocation.gpus;
      this.memoryGb += allocation.memoryGb;
    }
    if (ended > 0) this.allocations.splice(0, ended);
  }
}

function addToBucket(buckets: Float64Array, position: number, amount: number): void {
  const bucket = Math.min(buckets.length - 1, Math.floor(position));
  buckets[bucket] = (buckets[bucket] as number) + amount;
}

function countTaskSlots(task: ResourceRequest, cpus: number, gpus: number, memoryGb: number): number {
  const slotsByGpus = task.gpus > 0 ? gpus / task.gpus : Infinity;
  const slots = Math.min(cpus / task.cpus, slotsByGpus, memoryGb / Math.max(task.memoryGb, EPSILON));
  return Math.max(0, Math.floor(slots + EPSILON));
}
