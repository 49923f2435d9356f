import type { MachineView } from '../cluster-snapshot.js';
import { EPSILON } from '@spurbridge/model';

/** What bounds when a job can be done, beside memory. */
export type ResourceDimension = 'cpus' | 'gpus';

interface ResourceHold {
  cpus: number;
  gpus: number;
  memoryGb: number;
  endS: number;
}

export interface ResourceRequest {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/**
 * The queue of one machine as the plan sees it: what occupies it and until when. Tasks start in the
 * order of the queue, so nothing is placed to start before `lastStartS`. What ends before that is
 * forgotten, and what is free then is kept summed up.
 */
export class MachineQueue {
  lastStartS = 0;
  cpus: number;
  gpus: number;
  private memoryGb: number;
  private serviceCpus = 0;
  private serviceGpus = 0;
  private serviceMemoryGb = 0;

  private constructor(
    readonly machine: MachineView,
    private readonly holds: ResourceHold[],
  ) {
    this.cpus = machine.type.cpus;
    this.gpus = machine.type.gpus;
    this.memoryGb = machine.type.memoryGb;
  }

  static of(machine: MachineView): MachineQueue {
    const loads = machine.occupants.map((o) => ({
      cpus: o.cpus,
      gpus: o.gpus,
      memoryGb: o.memoryGb,
      // What is there is there until proven gone, however late it is.
      endS: Math.max(o.remainingS, 0.2),
    }));
    loads.sort((a, b) => a.endS - b.endS);
    const queue = new MachineQueue(machine, loads);
    for (const l of loads) queue.occupy(l, l.endS);
    return queue;
  }

  private occupy(need: ResourceRequest, endS: number): void {
    this.cpus -= need.cpus;
    this.gpus -= need.gpus;
    this.memoryGb -= need.memoryGb;
    if (endS < Infinity) return;
    this.serviceCpus += need.cpus;
    this.serviceGpus += need.gpus;
    this.serviceMemoryGb += need.memoryGb;
  }

  copy(): MachineQueue {
    const copy = new MachineQueue(this.machine, [...this.holds]);
    copy.lastStartS = this.lastStartS;
    copy.cpus = this.cpus;
    copy.gpus = this.gpus;
    copy.memoryGb = this.memoryGb;
    copy.serviceCpus = this.serviceCpus;
    copy.serviceGpus = this.serviceGpus;
    copy.serviceMemoryGb = this.serviceMemoryGb;
    return copy;
  }

  /** Earliest start of a task of this size, or Infinity. */
  earliestStart(need: ResourceRequest): number {
    const t = this.machine.type;
    if (need.cpus > t.cpus + EPSILON || need.gpus > t.gpus + EPSILON || need.memoryGb > t.memoryGb + EPSILON)
      return Infinity;
    let cpus = this.cpus - need.cpus;
    let gpus = this.gpus - need.gpus;
    let memory = this.memoryGb - need.memoryGb;
    if (cpus >= -EPSILON && gpus >= -EPSILON && memory >= -EPSILON) return this.lastStartS;
    for (const l of this.holds) {
      cpus += l.cpus;
      gpus += l.gpus;
      memory += l.memoryGb;
      if (cpus >= -EPSILON && gpus >= -EPSILON && memory >= -EPSILON) return l.endS;
    }
    return Infinity;
  }

  add(need: ResourceRequest, startS: number, endS: number): void {
    if (startS > this.lastStartS) {
      this.lastStartS = startS;
      let over = 0;
      for (const l of this.holds) {
        if (l.endS > startS) break;
        over += 1;
        this.cpus += l.cpus;
        this.gpus += l.gpus;
        this.memoryGb += l.memoryGb;
      }
      if (over > 0) this.holds.splice(0, over);
    }
    this.occupy(need, endS);
    let at = this.holds.length;
    while (at > 0 && (this.holds[at - 1] as ResourceHold).endS > endS) at -= 1;
    this.holds.splice(at, 0, { cpus: need.cpus, gpus: need.gpus, memoryGb: need.memoryGb, endS });
  }

  /** What comes free of a resource, by time: what is free at the queue's end counts from there. */
  addReleasesTo(of: ResourceDimension, into: Float64Array, grainS: number): void {
    if (this[of] > 0) addToBucket(into, this.lastStartS / grainS, this[of]);
    for (const l of this.holds) if (l.endS < Infinity && l[of] > 0) addToBucket(into, l.endS / grainS, l[of]);
  }

  /** How many tasks of a size fit beside services alone, now and with one more service. */
  slotsLost(service: ResourceRequest, task: ResourceRequest): number {
    const cpus = this.machine.type.cpus - this.serviceCpus;
    const gpus = this.machine.type.gpus - this.serviceGpus;
    const memory = this.machine.type.memoryGb - this.serviceMemoryGb;
    const before = countTaskSlots(task, cpus, gpus, memory);
    return before - countTaskSlots(task, cpus - service.cpus, gpus - service.gpus, memory - service.memoryGb);
  }
}

/** Adds an amount at a place, rounded down; what is beyond the last one is counted there. */
function addToBucket(into: Float64Array, at: number, amount: number): void {
  const i = Math.min(into.length - 1, Math.floor(at));
  into[i] = (into[i] as number) + amount;
}

function countTaskSlots(task: ResourceRequest, cpus: number, gpus: number, memoryGb: number): number {
  const byGpus = task.gpus > 0 ? gpus / task.gpus : Infinity;
  const least = Math.min(cpus / task.cpus, byGpus, memoryGb / Math.max(task.memoryGb, EPSILON));
  return Math.max(0, Math.floor(least + EPSILON));
}

/** A resource that is pooled: the scarcer of the two bounds what a job can get. */
