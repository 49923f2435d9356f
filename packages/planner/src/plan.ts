import type { JobId, MachineId } from '@spurbridge/wire';
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
}

export interface Plan {
  readonly starts: readonly Start[];
  readonly stops: readonly Stop[];
  readonly unmet: readonly Unmet[];
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
const EPSILON = 1e-6;

interface Load {
  cpus: number;
  gpus: number;
  memoryGb: number;
  endS: number;
}

/**
 * The queue of one machine as the plan sees it: what occupies it and until when. Tasks start in the
 * order of the queue, so nothing is placed to start before `lastStartS`.
 */
class Queue {
  lastStartS = 0;
  private constructor(
    readonly machine: MachineView,
    private readonly loads: Load[],
  ) {}

  static of(machine: MachineView): Queue {
    const loads = machine.occupants.map((o) => ({
      cpus: o.cpus,
      gpus: o.gpus,
      memoryGb: o.memoryGb,
      // What is there is there until proven gone, however late it is.
      endS: Math.max(o.remainingS, 0.2),
    }));
    loads.sort((a, b) => a.endS - b.endS);
    return new Queue(machine, loads);
  }

  copy(): Queue {
    const copy = new Queue(this.machine, [...this.loads]);
    copy.lastStartS = this.lastStartS;
    return copy;
  }

  /** Earliest start of a task of this size, or Infinity. */
  earliestStart(need: { cpus: number; gpus: number; memoryGb: number }): number {
    const t = this.machine.type;
    let cpus = t.cpus - need.cpus;
    let gpus = t.gpus - need.gpus;
    let memory = t.memoryGb - need.memoryGb;
    if (cpus < -EPSILON || gpus < -EPSILON || memory < -EPSILON) return Infinity;
    for (const l of this.loads) {
      if (l.endS <= this.lastStartS) continue;
      cpus -= l.cpus;
      gpus -= l.gpus;
      memory -= l.memoryGb;
    }
    if (cpus >= -EPSILON && gpus >= -EPSILON && memory >= -EPSILON) return this.lastStartS;
    for (const l of this.loads) {
      if (l.endS <= this.lastStartS) continue;
      cpus += l.cpus;
      gpus += l.gpus;
      memory += l.memoryGb;
      if (cpus >= -EPSILON && gpus >= -EPSILON && memory >= -EPSILON) return l.endS;
    }
    return Infinity;
  }

  add(need: { cpus: number; gpus: number; memoryGb: number }, startS: number, endS: number): void {
    this.lastStartS = Math.max(this.lastStartS, startS);
    const load = { cpus: need.cpus, gpus: need.gpus, memoryGb: need.memoryGb, endS };
    let at = this.loads.length;
    while (at > 0 && (this.loads[at - 1] as Load).endS > endS) at -= 1;
    this.loads.splice(at, 0, load);
  }

  usedCpus(): number {
    return this.loads.reduce((sum, l) => sum + l.cpus, 0);
  }

  /** How many tasks of a size fit beside services alone, now and with one more service. */
  slotsLost(service: { cpus: number; memoryGb: number }, task: { cpus: number; memoryGb: number }): number {
    let { cpus, memoryGb: memory } = this.machine.type;
    for (const l of this.loads)
      if (l.endS === Infinity) {
        cpus -= l.cpus;
        memory -= l.memoryGb;
      }
    const slots = (c: number, g: number): number =>
      Math.max(0, Math.floor(Math.min(c / task.cpus, g / Math.max(task.memoryGb, EPSILON)) + EPSILON));
    return slots(cpus, memory) - slots(cpus - service.cpus, memory - service.memoryGb);
  }
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

interface Candidate {
  queue: Queue;
  startS: number;
  endS: number;
  /** `endS` and what the choice costs others, in seconds. */
  costS: number;
  readonly rank: number;
  uses: number;
}

interface Choice {
  readonly task: number;
  readonly queue: Queue;
  readonly startS: number;
  readonly endS: number;
}

interface Evaluation {
  readonly job: JobView;
  readonly completionS: number;
  readonly choices: readonly Choice[];
  readonly changed: ReadonlyMap<MachineId, Queue>;
  readonly unplaced: number;
}

class Planner {
  private readonly queues: Map<MachineId, Queue>;
  private readonly room: Map<string, { cpus: number; gpus: number }>;
  private readonly starts: Start[] = [];
  private readonly stops: Stop[] = [];
  private readonly unmet: Unmet[] = [];
  private readonly guaranteed: Set<JobView>;
  private readonly beyond: ReadonlySet<JobId>;

  constructor(private readonly s: Snapshot) {
    this.queues = new Map(s.machines.filter((m) => m.takesTasks).map((m) => [m.id, Queue.of(m)]));
    this.room = new Map(s.teams.map((t) => [t.name, { cpus: t.cpusMax, gpus: t.gpusMax }]));
    for (const m of s.machines)
      for (const o of m.occupants) {
        const room = this.room.get(o.team);
        if (room === undefined) continue;
        room.cpus -= o.cpus;
        room.gpus -= o.gpus;
      }
    this.guaranteed = withinGuarantee(s);
    this.beyond = new Set(s.jobs.filter((j) => !this.guaranteed.has(j)).map((j) => j.spec.id));
  }

  plan(): Plan {
    const waiting = this.s.jobs.filter((j) => j.startable && j.pending.length > 0);
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
    return { starts: this.starts, stops: this.stops, unmet: this.unmet };
  }

  /**
   * Under overload the paper's order alone makes every job late in turn. A job that would miss its next
   * milestone goes behind those that can still meet theirs, and so on to its last; it comes back to the
   * front once it has waited several times as long, so that nothing waits for ever.
   */
  private planTier(jobs: readonly JobView[]): void {
    let group: readonly JobView[] = jobs;
    for (let level = 0; group.length > 0; level += 1) group = this.planGroup(group, level);
  }

  private misses(e: Evaluation, level: number): boolean {
    const milestoneS = e.job.milestonesS[level];
    const last = e.job.milestonesS.at(-1);
    if (milestoneS === undefined || last === undefined || e.job.ageS > last * PATIENT) return false;
    return e.job.ageS + e.completionS > milestoneS;
  }

  private isStarved(job: JobView): boolean {
    return meanWait(job) > this.s.starvationS;
  }

  /** The paper's loop: starved first, otherwise the smallest estimated completion first. */
  private planGroup(jobs: readonly JobView[], level: number): JobView[] {
    const later: JobView[] = [];
    const settle = (e: Evaluation): void => {
      if (this.misses(e, level)) later.push(e.job);
      else this.place(e);
    };
    const starved = jobs.filter((j) => this.isStarved(j)).sort((a, b) => meanWait(b) - meanWait(a));
    for (const j of starved) settle(this.evaluate(j));
    // Placing only ever delays the others, so an old estimate is a lower bound: the smallest is
    // recomputed until it stays the smallest, which picks as the paper's full recomputation would.
    const rest = jobs
      .filter((j) => !this.isStarved(j))
      .map((j) => ({ bound: this.evaluate(j).completionS, job: j }))
      .sort((a, b) => a.bound - b.bound || a.job.order - b.job.order);
    while (rest.length > 0) {
      const first = rest.shift() as { bound: number; job: JobView };
      const evaluation = this.evaluate(first.job);
      const next = rest[0];
      if (next === undefined || evaluation.completionS <= next.bound + EPSILON) {
        settle(evaluation);
        continue;
      }
      const bound = Math.max(evaluation.completionS, first.bound + EPSILON);
      const at = rest.findIndex((r) => r.bound > bound);
      rest.splice(at < 0 ? rest.length : at, 0, { bound, job: first.job });
    }
    return later;
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

  private evaluateIn(job: JobView, zone: string | null): Evaluation {
    const spec = job.spec;
    const changed = new Map<MachineId, Queue>();
    const perZone = new Map<string, number>();
    for (const z of job.zones) perZone.set(z, (perZone.get(z) ?? 0) + 1);
    const zoneMost = spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;
    const candidates: Candidate[] = [];
    const runS = spec.kind === 'service' ? Infinity : Math.max(job.estimateS, 0.5);
    const refresh = (c: Candidate): void => {
      const m = c.queue.machine;
      c.startS = c.queue.earliestStart(spec);
      const busy = c.startS + fetchSeconds(job, m);
      // A service never completes: what counts for it is when it serves.
      c.endS = spec.kind === 'service' ? busy : busy + runS * m.slowness;
      c.costS = c.endS + (this.s.frugal && spec.spot && !m.spot ? DEAR_S : 0);
      if (spec.kind === 'service' && this.s.typicalTask !== null)
        c.costS += c.queue.slotsLost(spec, this.s.typicalTask) * FRAGMENT_S;
      if (spec.kind === 'service' && c.endS > job.patienceS) c.costS += MISS_S;
    };
    for (const q of this.queues.values()) {
      const m = q.machine;
      if (!allows(job, m) || job.avoid.has(m.id) || (zone !== null && m.zone !== zone)) continue;
      const price = (m.spot ? m.type.spotPrice : m.type.price) / Math.max(m.type.cpus, 1);
      // Among equals the cheaper machine, then the fuller one, so that others empty and can go back.
      const c = {
        queue: q,
        startS: 0,
        endS: 0,
        costS: 0,
        rank: price * 10 - q.usedCpus() / m.type.cpus / 10,
        uses: 0,
      };
      refresh(c);
      if (c.startS < Infinity) candidates.push(c);
    }
    const choices: Choice[] = [];
    let completionS = 0;
    for (const task of job.pending) {
      let best: Candidate | null = null;
      for (const c of candidates) {
        if (c.startS === Infinity || (perZone.get(c.queue.machine.zone) ?? 0) >= zoneMost) continue;
        if (best === null || this.better(spec.spread || spec.kind === 'service', perZone, c, best)) best = c;
      }
      if (best === null) break;
      const m = best.queue.machine;
      if (!changed.has(m.id)) {
        best.queue = best.queue.copy();
        changed.set(m.id, best.queue);
      }
      choices.push({ task, queue: best.queue, startS: best.startS, endS: best.endS });
      completionS = Math.max(completionS, best.endS);
      best.queue.add(spec, best.startS, spec.kind === 'service' ? Infinity : best.endS);
      best.uses += 1;
      perZone.set(m.zone, (perZone.get(m.zone) ?? 0) + 1);
      refresh(best);
    }
    const unplaced = job.pending.length - choices.length;
    if (unplaced > 0) completionS = Infinity;
    else if (job.pendingCount > job.pending.length) completionS *= job.pendingCount / job.pending.length;
    return { job, completionS, choices, changed, unplaced };
  }

  private better(spread: boolean, perZone: ReadonlyMap<string, number>, a: Candidate, b: Candidate): boolean {
    if (Math.abs(a.costS - b.costS) > SAME_S) return a.costS < b.costS;
    if (spread) {
      const za = perZone.get(a.queue.machine.zone) ?? 0;
      const zb = perZone.get(b.queue.machine.zone) ?? 0;
      if (za !== zb) return za < zb;
      if (a.uses !== b.uses) return a.uses < b.uses;
    }
    if (Math.abs(a.rank - b.rank) > EPSILON) return a.rank < b.rank;
    return a.queue.machine.id < b.queue.machine.id;
  }

  /** Takes the evaluation over into the queues, and starts what can start now. */
  private place(e: Evaluation): void {
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
        // Room is kept for a gang only once it is starved; otherwise others go ahead of it.
        if (whole && this.isStarved(job)) this.adopt(e);
        this.unmet.push({
          job,
          tasks: job.pending.length,
          startsInS: e.unplaced > 0 ? Infinity : Math.max(...e.choices.map((c) => c.startS)),
          withinLimit: fits(job.pending.length),
          guaranteed,
        });
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
    if (late + more > 0)
      this.unmet.push({ job, tasks: late + more, startsInS, withinLimit: true, guaranteed });
    if (limited > 0)
      this.unmet.push({ job, tasks: limited, startsInS: Infinity, withinLimit: false, guaranteed });
    if (limited > 0) return;
    const waits = delayed.filter((c) => c.startS > job.patienceS).map((c) => c.endS);
    for (let i = 0; i < e.unplaced; i += 1) waits.push(Infinity);
    if (waits.length > 0) this.preempt(job, waits, guaranteed);
  }

  private start(job: JobView, c: Choice, room: { cpus: number; gpus: number }): void {
    room.cpus -= job.spec.cpus;
    room.gpus -= job.spec.gpus;
    this.starts.push({ job: job.spec.id, task: c.task, machine: c.queue.machine.id });
  }

  private adopt(e: Evaluation): void {
    for (const [id, q] of e.changed) this.queues.set(id, q);
  }

  private adoptStarted(e: Evaluation, limited: number): void {
    const kept = e.choices.slice(0, e.choices.length - limited);
    for (const c of kept) {
      const q = this.queues.get(c.queue.machine.id);
      q?.add(e.job.spec, c.startS, e.job.spec.kind === 'service' ? Infinity : c.endS);
    }
  }

  /**
   * Makes room by stopping what the rules of preemption allow, the least lost work first, and only
   * where it lets a task end sooner than by waiting: room freed elsewhere would be filled by others
   * and freed again, over and over. Returns for how many tasks room is being made.
   */
  private preempt(job: JobView, ends: readonly number[], guaranteed: boolean): number {
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
      if (!m.takesTasks || !allows(job, m) || job.avoid.has(m.id)) continue;
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
        next += Math.max(1, Math.floor(cpus / Math.max(spec.cpus, 0.01)));
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
    for (const option of options) {
      const waitS = waits[next];
      if (waitS === undefined) break;
      if (option.endS + PREEMPT_GAIN_S > waitS) continue;
      if ((perZone.get(option.zone) ?? 0) >= zoneMost) continue;
      perZone.set(option.zone, (perZone.get(option.zone) ?? 0) + 1);
      for (const o of option.stops) this.stops.push({ job: o.job, task: o.task, inFavourOf: spec.id });
      next += 1;
    }
    return Math.min(next, waits.length);
  }
}

/**
 * The paper sums the waiting of a cotask's tasks, which lets a huge array pass the threshold within
 * seconds and go ahead of every small job; the mean does not depend on the size.
 */
function meanWait(job: JobView): number {
  return job.summedWaitS / Math.max(1, job.pendingCount);
}

/** Jobs that fit in their team's guarantee along with the team's earlier unfinished jobs. */
export function withinGuarantee(s: Snapshot): Set<JobView> {
  const used = new Map<string, { cpus: number; gpus: number }>();
  const inside = new Set<JobView>();
  for (const j of [...s.jobs].sort((a, b) => a.order - b.order)) {
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

export function plan(snapshot: Snapshot): Plan {
  return new Planner(snapshot).plan();
}
