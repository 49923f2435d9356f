import type { JobId, JobSpec, MachineId } from '@spurbridge/wire';
import { Heap, NumberHeap } from './heap.js';
import type { JobView, MachineView, Occupant, Snapshot } from './snapshot.js';
import { PRIORITY_ORDER } from './snapshot.js';

export interface Start {
  readonly job: JobId;
  readonly task: number;
  readonly machine: MachineId;
}

export interface Stop {
  readonly job: JobId;
  readonly task: number;
  /** The job that room is made for. */
  readonly inFavourOf: JobId;
}

/** Work that no machine can take at once: the fleet is sized by it. */
export interface Unmet {
  readonly job: JobView;
  readonly tasks: number;
  /** Seconds until the last of these tasks would start on the machines there are. */
  readonly startsInS: number;
  /** Whether the team's limit lets it start at all now. */
  readonly withinLimit: boolean;
  readonly guaranteed: boolean;
  /** Where the rest of a job bound to one zone has its places, or null. */
  readonly zone: string | null;
}

export interface Plan {
  readonly starts: readonly Start[];
  readonly stops: readonly Stop[];
  readonly unmet: readonly Unmet[];
  /** How many times a queue was looked at. */
  readonly steps: number;
}

/** Differences in completion below this are no reason to prefer one machine to another. */
const SAME_S = 0.5;
/** Stopping a task and starting another in its place takes about this long. */
const STOP_S = 0.3;
/** Less than this gained is not worth stopping a task for. */
const PREEMPT_GAIN_S = 0.7;
/** A service that takes a whole task's place on a machine is worth waiting this long to avoid. */
const FRAGMENT_S = 2;
/** A job past its last milestone by this factor is no longer put behind the others. */
const PATIENT = 5;
/** A service that would serve later than its aim rather takes a whole task's place. */
const MISS_S = 3;
/** Where money counts, work that may use spot machines takes them even if it ends this much later. */
const DEAR_S = 4;
/**
 * Room for a gang is taken to come free later than estimated, the more so the longer it has waited: gangs
 * had waited 50 to 100 s for machines that hold their image, always about to be free, beside empty ones.
 */
const GANG_DOUBT_S = 5;
const GANG_DOUBT_AGE_S = 15;
const EPSILON = 1e-6;
/** Beyond this, when something starts is as good as never. */
const HORIZON_S = 4096;
/** More than the tasks of one job that a plan puts on one machine. */
const USES = 1024;

interface Load {
  cpus: number;
  gpus: number;
  memoryGb: number;
  endS: number;
}

interface Need {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/**
 * The queue of one machine as the plan sees it: what occupies it and until when. Tasks start in the
 * order of the queue, so nothing is placed to start before `lastStartS`. What ends before that is
 * forgotten, and what is free then is kept summed up.
 */
class Queue {
  lastStartS = 0;
  cpus: number;
  gpus: number;
  private memoryGb: number;
  private serviceCpus = 0;
  private serviceGpus = 0;
  private serviceMemoryGb = 0;

  private constructor(
    readonly machine: MachineView,
    private readonly loads: Load[],
  ) {
    this.cpus = machine.type.cpus;
    this.gpus = machine.type.gpus;
    this.memoryGb = machine.type.memoryGb;
  }

  static of(machine: MachineView): Queue {
    const loads = machine.occupants.map((o) => ({
      cpus: o.cpus,
      gpus: o.gpus,
      memoryGb: o.memoryGb,
      // What is there is there until proven gone, however late it is.
      endS: Math.max(o.remainingS, 0.2),
    }));
    loads.sort((a, b) => a.endS - b.endS);
    const queue = new Queue(machine, loads);
    for (const l of loads) queue.take(l, l.endS);
    return queue;
  }

  private take(need: Need, endS: number): void {
    this.cpus -= need.cpus;
    this.gpus -= need.gpus;
    this.memoryGb -= need.memoryGb;
    if (endS < Infinity) return;
    this.serviceCpus += need.cpus;
    this.serviceGpus += need.gpus;
    this.serviceMemoryGb += need.memoryGb;
  }

  copy(): Queue {
    const copy = new Queue(this.machine, [...this.loads]);
    copy.lastStartS = this.lastStartS;
    copy.cpus = this.cpus;
    copy.gpus = this.gpus;
    copy.memoryGb = this.memoryGb;
    copy.serviceCpus = this.serviceCpus;
    copy.serviceGpus = this.serviceGpus;
    copy.serviceMemoryGb = this.serviceMemoryGb;
    return copy;
  }

  /** Whether a task of this size could start at once. */
  fitsNow(need: Need): boolean {
    return (
      this.lastStartS <= 0 &&
      need.cpus <= this.cpus + EPSILON &&
      need.memoryGb <= this.memoryGb + EPSILON &&
      need.gpus <= this.gpus + EPSILON
    );
  }

  /** Earliest start of a task of this size, or Infinity. */
  earliestStart(need: Need): number {
    const t = this.machine.type;
    if (need.cpus > t.cpus + EPSILON || need.gpus > t.gpus + EPSILON || need.memoryGb > t.memoryGb + EPSILON)
      return Infinity;
    let cpus = this.cpus - need.cpus;
    let gpus = this.gpus - need.gpus;
    let memory = this.memoryGb - need.memoryGb;
    if (cpus >= -EPSILON && gpus >= -EPSILON && memory >= -EPSILON) return this.lastStartS;
    for (const l of this.loads) {
      cpus += l.cpus;
      gpus += l.gpus;
      memory += l.memoryGb;
      if (cpus >= -EPSILON && gpus >= -EPSILON && memory >= -EPSILON) return l.endS;
    }
    return Infinity;
  }

  add(need: Need, startS: number, endS: number): void {
    if (startS > this.lastStartS) {
      this.lastStartS = startS;
      let over = 0;
      for (const l of this.loads) {
        if (l.endS > startS) break;
        over += 1;
        this.cpus += l.cpus;
        this.gpus += l.gpus;
        this.memoryGb += l.memoryGb;
      }
      if (over > 0) this.loads.splice(0, over);
    }
    this.take(need, endS);
    let at = this.loads.length;
    while (at > 0 && (this.loads[at - 1] as Load).endS > endS) at -= 1;
    this.loads.splice(at, 0, { cpus: need.cpus, gpus: need.gpus, memoryGb: need.memoryGb, endS });
  }

  /** What comes free of a resource, and when: what is free at the queue's end counts from there. */
  releases(of: Pooled, into: { atS: number; amount: number }[]): void {
    if (this[of] > 0) into.push({ atS: this.lastStartS, amount: this[of] });
    for (const l of this.loads) if (l.endS < Infinity && l[of] > 0) into.push({ atS: l.endS, amount: l[of] });
  }

  /** How many tasks of a size fit beside services alone, now and with one more service. */
  slotsLost(service: Need, task: Need): number {
    const cpus = this.machine.type.cpus - this.serviceCpus;
    const gpus = this.machine.type.gpus - this.serviceGpus;
    const memory = this.machine.type.memoryGb - this.serviceMemoryGb;
    const slots = (c: number, g: number, m: number): number => {
      const byGpus = task.gpus > 0 ? g / task.gpus : Infinity;
      const least = Math.min(c / task.cpus, byGpus, m / Math.max(task.memoryGb, EPSILON));
      return Math.max(0, Math.floor(least + EPSILON));
    };
    return (
      slots(cpus, gpus, memory) - slots(cpus - service.cpus, gpus - service.gpus, memory - service.memoryGb)
    );
  }
}

/** A resource that is pooled: the scarcer of the two bounds what a job can get. */
type Pooled = 'cpus' | 'gpus';

/** A resource coming free over time, as one pool: what no queue can beat. */
class Pool {
  private readonly atS: number[] = [0];
  private readonly amount: number[] = [0];
  /** How much of it, times seconds, the pool has given by each of these times. */
  private readonly given: number[] = [0];

  constructor(queues: readonly Queue[], of: Pooled) {
    const releases: { atS: number; amount: number }[] = [];
    for (const q of queues) q.releases(of, releases);
    releases.sort((a, b) => a.atS - b.atS);
    let last = 0;
    for (const r of releases) {
      if (r.atS > (this.atS[last] as number)) {
        const span = r.atS - (this.atS[last] as number);
        this.given.push((this.given[last] as number) + span * (this.amount[last] as number));
        this.amount.push((this.amount[last] as number) + r.amount);
        this.atS.push(r.atS);
        last += 1;
      } else this.amount[last] = (this.amount[last] as number) + r.amount;
    }
  }

  /** When this much is free together at first, if nothing takes any. */
  freeAt(amount: number): number {
    const i = firstAtLeast(this.amount, amount - EPSILON);
    return this.atS[i] ?? Infinity;
  }

  /**
   * When this much can have been started, each part of it held for `runS`: what comes free may be taken
   * again after that. The bound by work alone let tasks start before anything was free for them, and a
   * burst was rented for a minute late.
   */
  startedAt(amount: number, runS: number): number {
    const started = (atS: number): number => {
      let sum = 0;
      for (let t = atS; t >= 0 && sum < amount; t -= Math.max(runS, 0.5)) sum += this.amountAt(t);
      return sum;
    };
    const wanted = amount - EPSILON;
    if (started(0) >= wanted) return 0;
    let late = 1;
    while (started(late) < wanted) {
      late *= 2;
      if (late > HORIZON_S) return Infinity;
    }
    let early = late / 2;
    for (let i = 0; i < 8; i += 1) {
      const middle = (early + late) / 2;
      if (started(middle) < wanted) early = middle;
      else late = middle;
    }
    return late;
  }

  private amountAt(t: number): number {
    const i = firstAtLeast(this.atS, t + EPSILON);
    return i === 0 ? 0 : (this.amount[i - 1] as number);
  }

  /** When the pool can have given this much work at the earliest. */
  doneAt(work: number): number {
    const i = firstAtLeast(this.given, work);
    const from = Math.max(0, i - 1);
    const amount = this.amount[from] as number;
    const rest = work - (this.given[from] as number);
    if (rest <= 0) return this.atS[from] as number;
    return amount <= 0 ? Infinity : (this.atS[from] as number) + rest / amount;
  }
}

/** Index of the first of these rising values that is no less; their number when there is none. */
function firstAtLeast(values: readonly number[], wanted: number): number {
  let low = 0;
  let high = values.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((values[middle] as number) < wanted) low = middle + 1;
    else high = middle;
  }
  return low;
}

export function fetchSeconds(job: JobView, machine: MachineView): number {
  return machine.images.has(job.spec.image) ? 0 : job.spec.imageGb / machine.type.fetchGbPerS;
}

export function allows(job: JobView, m: MachineView): boolean {
  const s = job.spec;
  return (
    (s.types === null || s.types.includes(m.type.name)) &&
    (s.zone === null || s.zone === m.zone) &&
    (!m.spot || s.spot)
  );
}

interface Rest {
  readonly bound: number;
  readonly job: JobView;
  /** The evaluation that the bound comes from, or null when the bound is only a bound. */
  readonly known: Evaluation | null;
}

interface Choice {
  readonly task: number;
  /** Index of the machine's queue. */
  readonly at: number;
  readonly startS: number;
  readonly endS: number;
}

interface Evaluation {
  readonly job: JobView;
  readonly completionS: number;
  readonly choices: readonly Choice[];
  /** The queues as they would become, by index, and what they were made from. */
  readonly changed: ReadonlyMap<number, { readonly before: Queue; readonly after: Queue }>;
  readonly unplaced: number;
  /** How many placements the plan had made. */
  readonly epoch: number;
}

/** Waiting jobs that are alike in what decides whether any of their tasks could start now. */
interface Kind {
  readonly sample: JobView;
  /** Jobs of the kind that are still to be settled. */
  left: number;
  /** Every queue before this one is known not to take such a task now. */
  cursor: number;
  readonly mayPreempt: boolean;
}

export interface PlanOptions {
  /**
   * Recompute every job's completion after every placement, as the paper does, instead of only those
   * that can have changed. The result is the same; tests compare the two.
   */
  readonly exhaustive?: boolean;
}

class Planner {
  private readonly queues: Queue[];
  private readonly room: Map<string, { cpus: number; gpus: number }>;
  private readonly starts: Start[] = [];
  private readonly stops: Stop[] = [];
  private readonly unmet: Unmet[] = [];
  private readonly guaranteed: Set<JobView>;
  private readonly beyond: ReadonlySet<JobId>;
  /** Lowest priority of what may be stopped: of all, and of what each team runs beyond its guarantee. */
  private lowest = -1;
  private readonly lowestBeyond = new Map<string, number>();
  private readonly kinds = new Map<string, Kind>();
  private readonly kindOf = new Map<JobView, Kind>();
  private readonly pools = new Map<Pooled, Pool>();
  private epoch = 0;
  /** Queues looked at: what a plan costs, whatever the machine it runs on. */
  private steps = 0;
  // Scratch of one evaluation, by queue index.
  private readonly startS: Float64Array;
  private readonly endS: Float64Array;
  private readonly bucket: Float64Array;
  private readonly uses: Int32Array;
  /** Place of each queue in the order of preference among equals, and the queue at each place. */
  private readonly place: Int32Array;
  private readonly atPlace: number[];
  private readonly zoneOf: Int32Array;
  private readonly zones: string[] = [];

  constructor(
    private readonly s: Snapshot,
    private readonly options: PlanOptions,
  ) {
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
    this.atPlace = this.queues.map((_, i) => i);
    this.atPlace.sort((a, b) => (rank[a] as number) - (rank[b] as number) || a - b);
    this.place = new Int32Array(n);
    this.atPlace.forEach((at, p) => (this.place[at] = p));
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

  plan(): Plan {
    const waiting = this.s.jobs.filter((j) => j.startable && j.pending.length > 0);
    for (const j of waiting) this.classify(j);
    // Services before the order, then by priority; what a team is guaranteed goes before what it borrows.
    const tier = (j: JobView): number =>
      (j.spec.kind === 'service' ? 0 : 10) +
      PRIORITY_ORDER[j.spec.priority] * 2 +
      (this.guaranteed.has(j) ? 0 : 1);
    const tiers = new Map<number, JobView[]>();
    for (const j of waiting) {
      const list = tiers.get(tier(j));
      if (list === undefined) tiers.set(tier(j), [j]);
      else list.push(j);
    }
    for (const t of [...tiers.keys()].sort((a, b) => a - b)) this.planTier(tiers.get(t) ?? []);
    return { starts: this.starts, stops: this.stops, unmet: this.unmet, steps: this.steps };
  }

  private classify(job: JobView): void {
    const { spec } = job;
    const guaranteed = this.guaranteed.has(job);
    const types = spec.types === null ? '' : spec.types.join(',');
    const key = `${spec.kind}|${spec.team}|${spec.priority}|${spec.cpus}|${spec.gpus}|${spec.memoryGb}|${spec.spot}|${spec.zone ?? ''}|${types}|${guaranteed}`;
    let kind = this.kinds.get(key);
    if (kind === undefined) {
      kind = { sample: job, left: 0, cursor: 0, mayPreempt: this.mayPreempt(job, guaranteed) };
      this.kinds.set(key, kind);
    }
    kind.left += 1;
    this.kindOf.set(job, kind);
  }

  /** Whether anything runs that this job might be made room from. */
  private mayPreempt(job: JobView, guaranteed: boolean): boolean {
    const order = PRIORITY_ORDER[job.spec.priority];
    if (this.lowest > order) return true;
    if (!guaranteed) return false;
    for (const [team, lowest] of this.lowestBeyond)
      if (team !== job.spec.team && lowest >= order) return true;
    return false;
  }

  /**
   * Whether nothing that still waits could start now or be made room for. Room only shrinks while
   * planning, so the rest of the order changes nothing any more.
   */
  private exhausted(): boolean {
    if (this.options.exhaustive === true) return false;
    for (const [key, k] of this.kinds) {
      const { spec } = k.sample;
      const room = this.room.get(spec.team);
      const within =
        room !== undefined && spec.cpus <= room.cpus + EPSILON && spec.gpus <= room.gpus + EPSILON;
      if (k.left > 0 && within && (k.mayPreempt || this.startsNow(k))) return false;
      // Neither room nor limits grow again.
      if (k.left === 0 || !within || !k.mayPreempt) this.kinds.delete(key);
    }
    return true;
  }

  private startsNow(k: Kind): boolean {
    for (; k.cursor < this.queues.length; k.cursor += 1) {
      const q = this.queues[k.cursor] as Queue;
      this.steps += 1;
      if (q.fitsNow(k.sample.spec) && allows(k.sample, q.machine)) return true;
    }
    return false;
  }

  /**
   * Under overload the paper's order alone makes every job late in turn. A job that would miss its next
   * milestone goes behind those that can still meet it, and so on to its last; it comes back to the
   * front once it has waited several times as long, so that nothing waits for ever.
   */
  private planTier(jobs: readonly JobView[]): void {
    let group: readonly JobView[] = jobs;
    for (let level = 0; group.length > 0; level += 1) group = this.planGroup(group, level);
  }

  private misses(job: JobView, completionS: number, level: number): boolean {
    const milestoneS = job.milestonesS[level];
    const last = job.milestonesS.at(-1);
    if (milestoneS === undefined || last === undefined || job.ageS > last * PATIENT) return false;
    if (job.ageS + completionS <= milestoneS) return false;
    // A job too long to be complete in time may still start in time: put behind all others, long gangs
    // missed that as well.
    const startS = job.startMilestonesS[level];
    return startS === undefined || job.ageS + completionS - job.estimateS > startS;
  }

  private isStarved(job: JobView): boolean {
    return meanWait(job) > this.s.starvationS;
  }

  /** The paper's loop: starved first, otherwise the smallest estimated completion first. */
  private planGroup(group: readonly JobView[], level: number): JobView[] {
    // What cannot meet its milestone at the very best need not be looked at among those that may.
    const hopeless = (j: JobView): boolean =>
      this.options.exhaustive !== true && this.misses(j, this.bound(j), level);
    const later: JobView[] = group.filter(hopeless);
    const jobs = later.length === 0 ? group : group.filter((j) => !hopeless(j));
    const settle = (e: Evaluation): void => {
      if (this.misses(e.job, e.completionS, level)) later.push(e.job);
      else {
        this.settle(e);
        const kind = this.kindOf.get(e.job);
        if (kind !== undefined) kind.left -= 1;
      }
    };
    const starved = jobs.filter((j) => this.isStarved(j));
    starved.sort((a, b) => meanWait(b) - meanWait(a) || a.order - b.order);
    for (const [i, j] of starved.entries()) {
      if (this.exhausted()) {
        this.leave([...starved.slice(i), ...jobs.filter((x) => !this.isStarved(x)), ...later]);
        return [];
      }
      settle(this.evaluate(j));
    }
    // Placing only ever delays the others, so an old estimate, or what the pool of all machines could
    // do at best, is a lower bound: the smallest is recomputed until it stays the smallest, which
    // picks as the paper's full recomputation would.
    if (this.options.exhaustive === true) {
      this.planPlainly(
        jobs.filter((j) => !this.isStarved(j)),
        settle,
      );
      return later;
    }
    const rest = new Heap<Rest>((a, b) => a.bound - b.bound || a.job.order - b.job.order);
    for (const job of jobs) if (!this.isStarved(job)) rest.push({ bound: this.bound(job), job, known: null });
    for (let first = rest.pop(); first !== undefined; first = rest.pop()) {
      if (this.exhausted()) {
        const left = [first.job];
        for (let r = rest.pop(); r !== undefined; r = rest.pop()) left.push(r.job);
        this.leave([...left, ...later]);
        return [];
      }
      if (first.known !== null && this.holds(first.known)) {
        settle(first.known);
        continue;
      }
      const known = this.evaluate(first.job);
      const again = { bound: known.completionS, job: first.job, known };
      const next = rest.peek();
      if (next === undefined || rest.before(again, next)) settle(known);
      else rest.push(again);
    }
    return later;
  }

  /** The paper's words: every waiting cotask's completion anew after each placement. */
  private planPlainly(jobs: readonly JobView[], settle: (e: Evaluation) => void): void {
    const rest = new Set(jobs);
    while (rest.size > 0) {
      let best: Evaluation | null = null;
      for (const e of [...rest].map((j) => this.evaluate(j)))
        if (
          best === null ||
          e.completionS < best.completionS ||
          (e.completionS === best.completionS && e.job.order < best.job.order)
        )
          best = e;
      if (best === null) return;
      rest.delete(best.job);
      settle(best);
    }
  }

  /** No sooner than this can the job complete. */
  private bound(job: JobView): number {
    if (job.spec.kind === 'service') return 0;
    const { spec } = job;
    const runS = Math.max(job.estimateS, 0.5);
    let completionS = 0;
    for (const of of pooled(spec)) {
      let pool = this.pools.get(of);
      if (pool === undefined) {
        pool = new Pool(this.queues, of);
        this.pools.set(of, pool);
      }
      const work = spec[of] * job.pending.length * runS;
      completionS = Math.max(completionS, pool.freeAt(spec[of]) + runS, pool.doneAt(work));
    }
    completionS -= EPSILON;
    return completionS * Math.max(1, job.pendingCount / job.pending.length);
  }

  /** Whether an evaluation would come out the same now: no queue that it chose has changed since. */
  private holds(e: Evaluation): boolean {
    if (e.epoch === this.epoch) return true;
    if (e.job.spec.kind === 'service') return false;
    for (const [at, q] of e.changed) if (this.queues[at] !== q.before) return false;
    return true;
  }

  /** Jobs of which nothing can start now: when they would is estimated from the pool of all machines. */
  private leave(jobs: readonly JobView[]): void {
    const pools = { cpus: new Pool(this.queues, 'cpus'), gpus: new Pool(this.queues, 'gpus') };
    const taken = { cpus: 0, gpus: 0 };
    const work = { cpus: 0, gpus: 0 };
    for (const job of jobs) {
      const { spec } = job;
      const kind = this.kindOf.get(job);
      if (kind !== undefined) kind.left -= 1;
      // What only some machines may take is no matter of the pool.
      if (isBound(spec)) {
        this.settle(this.evaluate(job));
        continue;
      }
      const room = this.room.get(spec.team) ?? { cpus: 0, gpus: 0 };
      const runS = Math.max(job.estimateS, 0.5);
      let within = job.pendingCount;
      for (const of of pooled(spec))
        if (spec[of] > 0) within = Math.min(within, Math.floor(room[of] / spec[of] + EPSILON));
      within = Math.max(0, within);
      let startsInS = this.queues.length === 0 ? Infinity : 0;
      for (const of of pooled(spec)) {
        room[of] -= within * spec[of];
        taken[of] += within * spec[of];
        work[of] += within * spec[of] * runS;
        if (taken[of] <= 0) continue;
        const meanS = work[of] / taken[of];
        startsInS = Math.max(startsInS, pools[of].freeAt(spec[of]), pools[of].startedAt(taken[of], meanS));
      }
      if (within > 0) {
        this.waits(job, within, startsInS, true);
      }
      const limited = job.pendingCount - within;
      if (limited > 0) this.waits(job, limited, Infinity, false);
    }
  }

  /** Where each task would go, and when the job would complete; changes nothing. */
  private evaluate(job: JobView): Evaluation {
    const spec = job.spec;
    if (spec.oneZone) {
      let best: Evaluation | null = null;
      const held = job.zones[0];
      const zones = held !== undefined ? [held] : [...new Set(this.s.machines.map((m) => m.zone))];
      for (const zone of zones) {
        const e = this.evaluateIn(job, zone);
        if (best === null || e.unplaced < best.unplaced || e.completionS < best.completionS) best = e;
      }
      if (best !== null) return best;
    }
    return this.evaluateIn(job, null);
  }

  /** Estimates the start and end of a task in a queue; false when it never fits there. */
  private estimate(job: JobView, at: number, q: Queue): boolean {
    const { spec } = job;
    const m = q.machine;
    this.steps += 1;
    const startS = q.earliestStart(spec);
    if (startS === Infinity) return false;
    const service = spec.kind === 'service';
    const busy = startS + fetchSeconds(job, m);
    // A service never completes: what counts for it is when it serves.
    const endS = service ? busy : busy + Math.max(job.estimateS, 0.5) * m.slowness;
    let costS = endS + (this.s.frugal && spec.spot && !m.spot ? DEAR_S : 0);
    if (spec.kind === 'gang') {
      // A gang waits for the slowest of its places, and estimates of what runs there are off.
      if (startS > 0) costS += GANG_DOUBT_S + startS * (1 + job.ageS / GANG_DOUBT_AGE_S);
    }
    if (service) {
      if (this.s.typicalTask !== null) costS += q.slotsLost(spec, this.s.typicalTask) * FRAGMENT_S;
      if (endS > job.patienceS) costS += MISS_S;
    }
    this.startS[at] = startS;
    this.endS[at] = endS;
    this.bucket[at] = Math.floor(costS / SAME_S);
    return true;
  }

  private evaluateIn(job: JobView, zone: string | null): Evaluation {
    const spec = job.spec;
    const service = spec.kind === 'service';
    const balanced = spec.spread || service;
    const changed = new Map<number, { before: Queue; after: Queue }>();
    const perZone = new Int32Array(this.zones.length);
    for (const z of job.zones) {
      const i = this.zones.indexOf(z);
      if (i >= 0) perZone[i] = (perZone[i] as number) + 1;
    }
    const zoneMost = spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;
    const n = this.queues.length;
    const { uses, place } = this;
    // Cost, use and rank in one number, so that comparing machines is comparing numbers.
    const key = (at: number): number =>
      ((this.bucket[at] as number) * USES + (balanced ? (uses[at] as number) : 0)) * n +
      (place[at] as number);
    // One heap of machines for each zone where the zones are to be balanced, otherwise one for all.
    const heaps = Array.from({ length: balanced ? this.zones.length : 1 }, () => new NumberHeap());
    const heapOf = (at: number): NumberHeap =>
      heaps[balanced ? (this.zoneOf[at] as number) : 0] as NumberHeap;
    for (let at = 0; at < n; at += 1) {
      const q = this.queues[at] as Queue;
      const m = q.machine;
      if (
        (zone !== null && m.zone !== zone) ||
        !allows(job, m) ||
        (job.avoid.size > 0 && job.avoid.has(m.id))
      )
        continue;
      uses[at] = 0;
      if (this.estimate(job, at, q)) heapOf(at).append(key(at));
    }
    for (const h of heaps) h.arrange();
    const choices: Choice[] = [];
    let completionS = 0;
    for (const task of job.pending) {
      let best = -1;
      let least = Infinity;
      for (const h of heaps) {
        const top = h.peek();
        if (top === undefined) continue;
        const at = this.atPlace[top % n] as number;
        const inZone = perZone[this.zoneOf[at] as number] as number;
        if (inZone >= zoneMost) continue;
        if (best >= 0 && balanced) {
          const costs = Math.floor(top / (USES * n)) - Math.floor(least / (USES * n));
          const byZone = inZone - (perZone[this.zoneOf[best] as number] as number);
          if ((costs || byZone || top - least) >= 0) continue;
        }
        best = at;
        least = top;
      }
      if (best < 0) break;
      let q = changed.get(best);
      if (q === undefined) {
        const before = this.queues[best] as Queue;
        q = { before, after: before.copy() };
        changed.set(best, q);
      }
      const startS = this.startS[best] as number;
      const endS = this.endS[best] as number;
      choices.push({ task, at: best, startS, endS });
      completionS = Math.max(completionS, endS);
      q.after.add(spec, startS, service ? Infinity : endS);
      uses[best] = (uses[best] as number) + 1;
      const z = this.zoneOf[best] as number;
      perZone[z] = (perZone[z] as number) + 1;
      if (this.estimate(job, best, q.after)) heapOf(best).replaceTop(key(best));
      else heapOf(best).pop();
    }
    const unplaced = job.pending.length - choices.length;
    if (unplaced > 0) completionS = Infinity;
    else if (job.pendingCount > job.pending.length) completionS *= job.pendingCount / job.pending.length;
    return { job, completionS, choices, changed, unplaced, epoch: this.epoch };
  }

  /** Takes the evaluation over into the queues, and starts what can start now. */
  private settle(e: Evaluation): void {
    const { job } = e;
    const spec = job.spec;
    const room = this.room.get(spec.team) ?? { cpus: 0, gpus: 0 };
    const fits = (n: number): boolean =>
      spec.cpus * n <= room.cpus + EPSILON && spec.gpus * n <= room.gpus + EPSILON;
    const guaranteed = this.guaranteed.has(job);
    if (spec.kind === 'gang') {
      const whole = job.pending.length === job.pendingCount && e.unplaced === 0;
      const now = whole && fits(job.pending.length) && e.choices.every((c) => c.startS <= 0);
      if (now) {
        for (const c of e.choices) this.start(job, c, room);
        this.adopt(e);
      } else {
        // It keeps its places in the queues, as any cotask: when only starved gangs did, all that waited
        // counted on the same room, and nothing was rented for the others until they were late.
        const first = e.choices[0];
        const zone = spec.oneZone && first !== undefined ? this.zoneAt(first.at) : null;
        if (whole && fits(job.pending.length)) {
          this.adopt(e);
          const late = (c: Choice): boolean => c.startS > 0 && c.endS - job.estimateS > job.patienceS;
          const waits = e.choices.filter(late).map((c) => c.endS);
          if (waits.length > 0) this.preempt(job, waits, guaranteed, zone);
        }
        // Only what has no room now is rented for, beside the tasks that have.
        this.waits(
          job,
          e.unplaced + e.choices.filter((c) => c.startS > 0).length,
          e.unplaced > 0 ? Infinity : Math.max(...e.choices.map((c) => c.startS)),
          fits(job.pending.length),
          zone,
        );
      }
      return;
    }
    // A service that would fetch its image past its aim waits a moment for room where the image is.
    const tooSlow =
      spec.kind === 'service' && job.ageS < job.patienceS
        ? e.choices.filter((c) => c.startS <= 0 && c.endS > job.patienceS)
        : [];
    const deferred = new Set<Choice>();
    if (tooSlow.length > 0) {
      const ends = tooSlow.map((c) => c.endS);
      const made = this.preempt(job, ends, guaranteed);
      const slowest = [...tooSlow].sort((a, b) => b.endS - a.endS);
      for (const c of slowest.slice(0, made)) deferred.add(c);
    }
    let late = 0;
    let limited = 0;
    let startsInS = 0;
    const delayed: Choice[] = [];
    for (const c of e.choices) {
      if (!fits(1)) {
        limited += 1;
      } else if (deferred.has(c)) {
        room.cpus -= spec.cpus;
        room.gpus -= spec.gpus;
      } else if (c.startS <= 0) {
        this.start(job, c, room);
      } else {
        // Room within the limit is taken in the order of the plan, also by what starts later.
        room.cpus -= spec.cpus;
        room.gpus -= spec.gpus;
        late += 1;
        startsInS = Math.max(startsInS, c.startS);
        delayed.push(c);
      }
    }
    // What the limit keeps back must not hold a place in any queue.
    if (limited === 0) this.adopt(e);
    else this.adoptStarted(e, limited);
    const more = Math.max(0, e.unplaced + (limited === 0 ? job.pendingCount - job.pending.length : 0));
    if (e.unplaced > 0) startsInS = Infinity;
    if (late + more > 0) this.waits(job, late + more, startsInS, true);
    if (limited > 0) this.waits(job, limited, Infinity, false);
    if (limited > 0) return;
    const waits = delayed.filter((c) => c.startS > job.patienceS).map((c) => c.endS);
    for (let i = 0; i < e.unplaced; i += 1) waits.push(Infinity);
    if (waits.length > 0) this.preempt(job, waits, guaranteed);
  }

  private waits(
    job: JobView,
    tasks: number,
    startsInS: number,
    withinLimit: boolean,
    zone: string | null = null,
  ): void {
    const guaranteed = this.guaranteed.has(job);
    if (tasks > 0) this.unmet.push({ job, tasks, startsInS, withinLimit, guaranteed, zone });
  }

  private zoneAt(at: number): string {
    return this.zones[this.zoneOf[at] as number] as string;
  }

  private start(job: JobView, c: Choice, room: { cpus: number; gpus: number }): void {
    room.cpus -= job.spec.cpus;
    room.gpus -= job.spec.gpus;
    this.starts.push({ job: job.spec.id, task: c.task, machine: (this.queues[c.at] as Queue).machine.id });
  }

  private adopt(e: Evaluation): void {
    this.epoch += 1;
    for (const [at, q] of e.changed) this.queues[at] = q.after;
  }

  private adoptStarted(e: Evaluation, limited: number): void {
    this.epoch += 1;
    for (const c of e.choices.slice(0, e.choices.length - limited)) {
      // A copy, so that evaluations made from the queue before can be told to be old.
      const q = (this.queues[c.at] as Queue).copy();
      q.add(e.job.spec, c.startS, e.job.spec.kind === 'service' ? Infinity : c.endS);
      this.queues[c.at] = q;
    }
  }

  /**
   * Makes room by stopping what the rules of preemption allow, the least lost work first, and only
   * where it lets a task end sooner than by waiting: room freed elsewhere would be filled by others
   * and freed again, over and over. For a gang room is made for all that wait, or for none. Returns for
   * how many tasks room is being made.
   */
  private preempt(
    job: JobView,
    ends: readonly number[],
    guaranteed: boolean,
    zone: string | null = null,
  ): number {
    const spec = job.spec;
    const rank = PRIORITY_ORDER[spec.priority];
    const mayStop = (o: Occupant): boolean =>
      o.movable &&
      !o.stopping &&
      (PRIORITY_ORDER[o.priority] > rank ||
        (guaranteed && o.team !== spec.team && this.beyond.has(o.job) && PRIORITY_ORDER[o.priority] >= rank));
    const taken = new Set<string>(this.stops.map((s) => `${s.job}/${s.task}`));
    // Room that stops under way will free counts already.
    const waits = [...ends].sort((a, b) => b - a);
    let next = 0;
    const perZone = new Map<string, number>();
    for (const z of job.zones) perZone.set(z, (perZone.get(z) ?? 0) + 1);
    const zoneMost = spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;
    const options: { stops: Occupant[]; lostS: number; endS: number; zone: string }[] = [];
    const runS = spec.kind === 'service' ? 0 : job.estimateS;
    for (const m of this.s.machines) {
      this.steps += 1;
      if (!m.takesTasks || !allows(job, m) || job.avoid.has(m.id)) continue;
      if (zone !== null && m.zone !== zone) continue;
      let cpus = m.type.cpus;
      let gpus = m.type.gpus;
      let memory = m.type.memoryGb;
      for (const o of m.occupants) {
        if (o.stopping) continue;
        cpus -= o.cpus;
        gpus -= o.gpus;
        memory -= o.memoryGb;
      }
      const victims = m.occupants
        .filter((o) => mayStop(o) && !taken.has(`${o.job}/${o.task}`))
        .sort((a, b) => a.lostS - b.lostS);
      const stopping = m.occupants.some((o) => o.stopping);
      if (stopping && cpus >= spec.cpus && gpus >= spec.gpus && memory >= spec.memoryGb) {
        const byGpus = spec.gpus > 0 ? Math.floor(gpus / spec.gpus) : Infinity;
        next += Math.max(1, Math.min(byGpus, Math.floor(cpus / Math.max(spec.cpus, 0.01))));
        continue;
      }
      let chosen: Occupant[] = [];
      let lostS = 0;
      for (const v of victims) {
        chosen.push(v);
        lostS += v.lostS * v.cpus;
        cpus += v.cpus;
        gpus += v.gpus;
        memory += v.memoryGb;
        if (cpus + EPSILON < spec.cpus || gpus + EPSILON < spec.gpus || memory + EPSILON < spec.memoryGb)
          continue;
        const fetchS = fetchSeconds(job, m);
        const endS = STOP_S + fetchS + runS * m.slowness;
        options.push({ stops: chosen, lostS: lostS + fetchS * 4, endS, zone: m.zone });
        chosen = [];
        lostS = 0;
        cpus -= spec.cpus;
        gpus -= spec.gpus;
        memory -= spec.memoryGb;
      }
    }
    options.sort((a, b) => a.lostS - b.lostS);
    const stops: Stop[] = [];
    for (const option of options) {
      const waitS = waits[next];
      if (waitS === undefined) break;
      if (option.endS + PREEMPT_GAIN_S > waitS) continue;
      if ((perZone.get(option.zone) ?? 0) >= zoneMost) continue;
      perZone.set(option.zone, (perZone.get(option.zone) ?? 0) + 1);
      for (const o of option.stops) stops.push({ job: o.job, task: o.task, inFavourOf: spec.id });
      next += 1;
    }
    if (spec.kind === 'gang' && next < waits.length) return 0;
    this.stops.push(...stops);
    return Math.min(next, waits.length);
  }
}

/** The resources that bound when a job can be done. */
function pooled(s: JobSpec): readonly Pooled[] {
  return s.gpus > 0 ? ['cpus', 'gpus'] : ['cpus'];
}

/** Whether it depends on which machines come free, not only on how much of them. */
function isBound(s: JobSpec): boolean {
  return s.kind !== 'array' || !s.spot || s.zone !== null || s.types !== null || s.oneZone || s.spread;
}

/**
 * The paper sums the waiting of a cotask's tasks, which lets a huge array pass the threshold within
 * seconds and go ahead of every small job; the mean does not depend on the size.
 */
function meanWait(job: JobView): number {
  return job.summedWaitS / Math.max(1, job.pendingCount);
}

/** How many of its milestones a job cannot meet any more, even if all of it started now. */
function lateness(j: JobView): number {
  const last = j.milestonesS.at(-1);
  if (last === undefined || j.pending.length === 0 || j.ageS > last * PATIENT) return 0;
  return j.milestonesS.filter((m, i) => j.ageS + j.estimateS > m && j.ageS > (j.startMilestonesS[i] ?? -1))
    .length;
}

/**
 * Jobs that fit in their team's guarantee along with the team's earlier unfinished jobs. Among a team's
 * own jobs it is not for the late ones: its oldest jobs, all late already in a burst, went ahead of every
 * job that could still be in time.
 */
export function withinGuarantee(s: Snapshot): Set<JobView> {
  const used = new Map<string, { cpus: number; gpus: number }>();
  const inside = new Set<JobView>();
  const ranked = s.jobs.map((job) => ({ job, late: lateness(job) }));
  ranked.sort((a, b) => a.late - b.late || a.job.order - b.job.order);
  for (const { job: j } of ranked) {
    const team = s.teams.find((t) => t.name === j.spec.team);
    if (team === undefined) continue;
    const sum = used.get(team.name) ?? { cpus: 0, gpus: 0 };
    sum.cpus += j.spec.cpus * j.unfinished;
    sum.gpus += j.spec.gpus * j.unfinished;
    used.set(team.name, sum);
    if (sum.cpus <= team.cpus + EPSILON && sum.gpus <= team.gpus + EPSILON) inside.add(j);
  }
  return inside;
}

export function plan(snapshot: Snapshot, options: PlanOptions = {}): Plan {
  return new Planner(snapshot, options).plan();
}
