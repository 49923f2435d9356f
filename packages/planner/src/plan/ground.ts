import type { JobId, JobSpec } from '@spurbridge/wire';
import type { JobView, Occupant, Snapshot } from '../snapshot.js';
import { PRIORITY_ORDER } from '../snapshot.js';
import { withinGuarantee } from './guarantees.js';
import type { Pool } from './pool.js';
import type { Sites } from './preempt.js';
import type { Pooled } from './queue.js';
import { Queue } from './queue.js';
import { Sized, sizeClass } from './sized.js';
import type { Choice, Evaluation, Kind, PlanOptions, Start, Stop, Unmet } from './types.js';

/** Differences in completion below this are no reason to prefer one machine to another. */
export const SAME_S = 0.5;

/** What the steps of one plan share: the queues as they fill, what the teams have left, and what was decided. */
export class Ground {
  readonly queues: Queue[];
  readonly room: Map<string, { cpus: number; gpus: number }>;
  readonly starts: Start[] = [];
  readonly heads: Start[] = [];
  readonly stops: Stop[] = [];
  /** What these stop. */
  readonly stopped = new Set<Occupant>();
  readonly sites: Sites = new Map();
  readonly unmet: Unmet[] = [];
  readonly guaranteed: Set<JobView>;
  readonly beyond: ReadonlySet<JobId>;
  /** Lowest priority of what may be stopped: of all, and of what each team runs beyond its guarantee. */
  lowest = -1;
  readonly lowestBeyond = new Map<string, number>();
  readonly kinds = new Map<string, Kind>();
  readonly kindOf = new Map<JobView, Kind>();
  readonly pools = new Map<Pooled, Pool>();
  epoch = 0;
  /** A job whose tasks have waited for longer on average goes first. */
  starvationS: number;
  /** Queues looked at: what a plan costs, whatever the machine it runs on. */
  steps = 0;
  // Scratch of one evaluation, by queue index.
  readonly startS: Float64Array;
  readonly endS: Float64Array;
  readonly bucket: Float64Array;
  readonly uses: Int32Array;
  /** Place of each queue in the order of preference among equals, and the queue at each place. */
  readonly place: Int32Array;
  readonly atPlace: number[];
  readonly zoneOf: Int32Array;
  readonly zones: string[] = [];
  /** The fastest that any machine was seen to be. */
  readonly leastSlowness: number;
  private readonly orders = new Map<string, Sized>();
  private readonly inZone = new Map<string | null, readonly number[]>();

  constructor(
    readonly s: Snapshot,
    readonly options: PlanOptions,
  ) {
    this.starvationS = s.starvationS;
    this.queues = s.machines.filter((m) => m.takesTasks).map((m) => Queue.of(m));
    const n = this.queues.length;
    this.startS = new Float64Array(n);
    this.endS = new Float64Array(n);
    this.bucket = new Float64Array(n);
    this.uses = new Int32Array(n);
    const rank = new Float64Array(n);
    this.zoneOf = new Int32Array(n);
    this.queues.forEach((q, i) => {
      const m = q.machine;
      const price = (m.spot ? m.type.spotPrice : m.type.price) / Math.max(m.type.cpus, 1);
      // Among equals the cheaper machine, then the fuller one, so that others empty and can go back.
      let cpus = 0;
      let gpus = 0;
      for (const o of m.occupants) {
        cpus += o.cpus;
        gpus += o.gpus;
      }
      // How full a machine is goes by what runs out first.
      const used = Math.max(cpus / Math.max(m.type.cpus, 1), m.type.gpus > 0 ? gpus / m.type.gpus : 0);
      rank[i] = price * 10 - used / 10;
      let zone = this.zones.indexOf(m.zone);
      if (zone < 0) zone = this.zones.push(m.zone) - 1;
      this.zoneOf[i] = zone;
    });
    this.leastSlowness = this.queues.reduce((least, q) => Math.min(least, q.machine.slowness), 1);
    this.atPlace = this.queues.map((_, i) => i);
    this.atPlace.sort((a, b) => (rank[a] as number) - (rank[b] as number) || a - b);
    this.place = new Int32Array(n);
    this.atPlace.forEach((at, p) => (this.place[at] = p));
    this.inZone.set(null, this.atPlace);
    for (const [z, name] of this.zones.entries())
      this.inZone.set(
        name,
        this.atPlace.filter((i) => this.zoneOf[i] === z),
      );
    this.room = new Map(s.teams.map((t) => [t.name, { cpus: t.cpusMax, gpus: t.gpusMax }]));
    this.guaranteed = withinGuarantee(s);
    this.beyond = new Set(s.jobs.filter((j) => !this.guaranteed.has(j)).map((j) => j.spec.id));
    for (const m of s.machines)
      for (const o of m.occupants) {
        const room = this.room.get(o.team);
        if (room !== undefined) {
          room.cpus -= o.cpus;
          room.gpus -= o.gpus;
        }
        if (!o.movable || o.stopping) continue;
        const order = PRIORITY_ORDER[o.priority];
        this.lowest = Math.max(this.lowest, order);
        if (this.beyond.has(o.job))
          this.lowestBeyond.set(o.team, Math.max(this.lowestBeyond.get(o.team) ?? -1, order));
      }
  }

  /** Queues, of one zone or of all, in the order of when a task as small as any of this class could start. */
  sized(spec: JobSpec, zone: string | null): Sized {
    const { key, cpus, gpus } = sizeClass(spec);
    const name = zone === null ? key : `${key}/${zone}`;
    let order = this.orders.get(name);
    if (order === undefined || order.isStale) {
      order = new Sized(this.queues, cpus, gpus, this.inZone.get(zone) ?? [], SAME_S);
      this.orders.set(name, order);
    }
    return order;
  }

  waits(
    job: JobView,
    tasks: number,
    startsInS: number,
    withinLimit: boolean,
    zone: string | null = null,
  ): void {
    const guaranteed = this.guaranteed.has(job);
    if (tasks > 0) this.unmet.push({ job, tasks, startsInS, withinLimit, guaranteed, zone });
  }

  zoneAt(at: number): string {
    return this.zones[this.zoneOf[at] as number] as string;
  }

  /**
   * Within this a replica may be placed ahead of its room. A gang's tasks all start at once. Tasks of arrays took the room that
   * was being freed for a service, were stopped for it and took it again; and placed ahead by estimates they waited behind
   * longer ones while others found room (docs/results.md).
   */
  headS(job: JobView): number {
    return job.spec.kind === 'service' ? this.s.headS : 0;
  }

  start(job: JobView, c: Choice, room: { cpus: number; gpus: number }): void {
    room.cpus -= job.spec.cpus;
    room.gpus -= job.spec.gpus;
    (c.startS <= 0 ? this.starts : this.heads).push({
      job: job.spec.id,
      task: c.task,
      machine: (this.queues[c.at] as Queue).machine.id,
    });
  }

  stop(o: Occupant, inFavourOf: JobId): void {
    this.stopped.add(o);
    this.stops.push({ job: o.job, task: o.task, inFavourOf });
  }

  adopt(e: Evaluation): void {
    this.epoch += 1;
    for (const [at, q] of e.changed) this.queues[at] = q.after;
  }

  adoptStarted(e: Evaluation, limited: number): void {
    this.epoch += 1;
    for (const c of e.choices.slice(0, e.choices.length - limited)) {
      // A copy, so that evaluations made from the queue before can be told to be old.
      const q = (this.queues[c.at] as Queue).copy();
      q.add(e.job.spec, c.startS, e.job.spec.kind === 'service' ? Infinity : c.endS);
      this.queues[c.at] = q;
    }
  }
}
