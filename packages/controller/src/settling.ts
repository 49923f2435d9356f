import type { Ms } from '@spurbridge/net';
import { later } from '@spurbridge/net';
import { Transitions } from '@spurbridge/model';
import type { Job, Machine } from '@spurbridge/model';
import type { MachineId, TaskReport, WorkerReport } from '@spurbridge/wire';
import { formatTaskName } from '@spurbridge/wire';
import type { Place } from './awaited.js';
import { Awaited } from './awaited.js';
import type { Cluster } from './cluster.js';
import { answerHorizonMs } from './settings.js';
import type { LeaderTerm } from './leader-term.js';

/**
 * `settled`: what may be on every machine is known. `asking`: records may be missing, so machines are asked first
 * (docs/state-loss.md). `clearing`: what no known job explains is stopped, and nothing started before it is gone: it could
 * be any team's. `listening`: nothing speaks against the records so far, and each job waits only for those machines that
 * could contradict them for it.
 */
type SettlingState = 'asking' | 'clearing' | 'listening' | 'settled';

const transitions = new Transitions<SettlingState>('settling', {
  asking: ['clearing', 'listening', 'settled'],
  clearing: ['settled'],
  listening: ['asking', 'settled'],
  settled: [],
});

const LOOK_MS = 100;
/** What is counted one by one is gathered anew after this long. */
const REGATHER_MS = 1000;
const MARGIN_MS = 1000;
const DRIFT = 0.001;

/** Whether an earlier leader may have placed a task of the job on such a machine. */
function couldHold(p: Place, { spec }: Job): boolean {
  if (p.type === '') return true;
  return (
    (spec.types === null || spec.types.includes(p.type)) &&
    (spec.zone === null || spec.zone === p.zone) &&
    (spec.spot || !p.spot)
  );
}

/** Asks machines what is on them where the records alone cannot tell. */
export class Settling {
  private current: SettlingState;
  /** The last report of each machine that has shown our token: from then on nothing older is executed there. */
  private readonly heard = new Map<MachineId, WorkerReport>();
  /** Machines that reported at all. */
  private readonly met = new Set<MachineId>();
  private readonly unheard: Awaited;
  /** When, and from which list, these were gathered the last time; reports that came since are counted one by one. */
  private gatheredAt: Ms | null = null;
  private gatheredFrom: Ms | null = null;
  /** How many were not heard at the last look. */
  private before = 0;
  private unexplained = 0;
  /** Machines on which something runs that no known job explains. */
  private readonly strays = new Set<MachineId>();
  private readonly sureAt: Ms;
  /** Placements from before were read from records; later ones are this leader's own. */
  private beganAt = 0 as Ms;

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: Cluster,
    private readonly listedAt: () => Ms | null,
  ) {
    const { settings, trust } = term.c;
    this.unheard = new Awaited(cluster);
    this.current = trust.continuous ? 'settled' : 'asking';
    const longestMs = answerHorizonMs(settings) + settings.workers.leaseS * 1000;
    this.sureAt = later(term.electedAt, longestMs * (1 + DRIFT) + MARGIN_MS);
  }

  /** Whether tasks may be placed, and machines given back. */
  get isOver(): boolean {
    return this.current === 'listening' || this.current === 'settled';
  }

  /**
   * What no machine that could contradict it speaks against: a job may be placed, or a start of it repeated, once every
   * machine that could run a task of it unknown to the records has been heard under our token, or is proven gone. Half
   * of all machines was a guess: tasks placed in a time that the state service had lost ran twice.
   */
  mayPlace(job: Job): boolean {
    if (this.current === 'settled') return true;
    if (this.current !== 'listening') return false;
    for (const { place } of this.whatIsUnheard().places()) if (couldHold(place, job)) return false;
    return true;
  }

  /** What machines not heard yet may use of each team's limit beyond what the records place on them. */
  unknownUse(team: string): { readonly cpus: number; readonly gpus: number } {
    if (this.current === 'settled') return { cpus: 0, gpus: 0 };
    const u = this.whatIsUnheard();
    const own = u.recorded(team);
    return { cpus: Math.max(0, u.size.cpus - own.cpus), gpus: Math.max(0, u.size.gpus - own.gpus) };
  }

  /** Machines that decisions still wait for. */
  get awaited(): number {
    return this.current === 'settled' || this.current === 'clearing' ? 0 : this.whatIsUnheard().count;
  }

  /** Whether machines may be told to start, to stop what is not known, and to forget. */
  get knowsMachines(): boolean {
    return this.current !== 'asking';
  }

  /** The only function that changes the state. */
  private enter(next: SettlingState, why: string): void {
    transitions.check(this.current, next);
    this.term.c.log.info(
      { from: this.current, to: next, why, heard: this.heard.size, unexplained: this.unexplained },
      'settling',
    );
    this.current = next;
    this.gatheredAt = null;
    if (this.isOver) this.cluster.emit('plan');
  }

  async run(): Promise<void> {
    const { clock, trust } = this.term.c;
    this.beganAt = clock.now();
    while (this.term.active && this.current !== 'settled') {
      // A peer that never lost sight of the store says so: then the records are whole.
      if (trust.continuous && this.current === 'asking' && this.unexplained === 0)
        this.enter('settled', 'a peer knows');
      else this.look(clock.now());
      await clock.sleep(LOOK_MS);
    }
    this.heard.clear();
    this.met.clear();
    this.unheard.clear();
  }

  /** A report, by whatever way it came. */
  take(r: WorkerReport): void {
    if (this.current === 'settled') return;
    const m = this.cluster.machines.get(r.machine);
    // One that came late was passed over by those who read it before.
    if (m?.session !== r.session || m.seq !== r.seq) return;
    const isOurs = r.token === this.term.c.leadership.token;
    if (isOurs) {
      this.heard.set(r.machine, r);
      this.unheard.remove(r.machine);
    } else if (this.isAwaited(m)) this.unheard.add(m);
    if (isOurs && this.strays.has(r.machine) && !this.hasStrays(r)) this.strays.delete(r.machine);
    if (this.met.has(r.machine)) return;
    this.met.add(r.machine);
    const strange = r.tasks.filter((t) => this.isUnexplained(t)).length;
    this.unexplained += strange;
    if (strange > 0 && this.current === 'listening')
      this.enter('asking', `${r.machine} runs what no record explains`);
  }

  /** No sound store could lack the record of this: its job, or that this attempt was ever given. */
  private isUnexplained(t: TaskReport): boolean {
    const job = this.cluster.jobs.get(t.job);
    if (job === undefined) return this.term.c.trust.phaseOf(t.job) === null;
    return t.task < job.spec.tasks && job.state === 'active' && t.attempt > job.chunkOf(t.task).attempts;
  }

  /** Whether the machine runs what is not placed there. */
  private hasStrays(r: WorkerReport): boolean {
    return r.tasks.some((t) => {
      const p = this.cluster.jobs.get(t.job)?.placements.get(t.task);
      return t.phase !== 'exited' && (p?.machine !== r.machine || p.attempt !== t.attempt);
    });
  }

  private clear(): void {
    for (const id of this.strays) {
      const state = this.cluster.machines.get(id)?.state;
      if (state === undefined || state === 'gone') this.strays.delete(id);
    }
    if (this.strays.size > 0) return;
    this.enter('settled', 'nothing unknown runs any more');
    this.term.c.trust.settled();
  }

  /** Machines that may run what the records lack: listed as running, recorded, or met; not gone and not heard. */
  private isAwaited(m: Machine): boolean {
    if (m.state === 'gone' || this.heard.has(m.id)) return false;
    return this.cluster.wasUp(m) || m.heardAt !== null;
  }

  /** The machines not heard; what a list added since the last look counts at once. */
  private whatIsUnheard(): Awaited {
    const listedAt = this.listedAt();
    const { clock } = this.term.c;
    if (
      this.gatheredAt === null ||
      this.gatheredFrom !== listedAt ||
      clock.now() - this.gatheredAt > REGATHER_MS
    ) {
      this.gatheredAt = clock.now();
      this.gatheredFrom = listedAt;
      this.unheard.clear();
      for (const m of this.cluster.machines.values()) if (this.isAwaited(m)) this.unheard.add(m);
    }
    return this.unheard;
  }

  private look(now: Ms): void {
    if (this.current === 'clearing') return this.clear();
    const unheard = this.whatIsUnheard();
    for (const id of [...unheard.ids()])
      if (this.cluster.machines.get(id)?.state === 'gone') unheard.remove(id);
    // A machine that is proven gone lets jobs go on as well as one that is heard.
    if (this.current === 'listening' && unheard.count < this.before) this.cluster.emit('plan');
    this.before = unheard.count;
    const { settings, trust } = this.term.c;
    const listedAt = this.listedAt();
    const missing = unheard.count;
    // A machine that was up shortly before may not be listed yet.
    const lagMs = settings.cloud.listLagS * 2000;
    const isListed = listedAt !== null && listedAt > later(this.term.electedAt, lagMs);
    if ((missing === 0 && isListed) || now > this.sureAt) {
      const why = missing === 0 ? 'every machine was heard' : 'every earlier lease is over';
      if (this.current === 'asking') {
        this.reconcile(now);
        for (const r of this.heard.values()) if (this.hasStrays(r)) this.strays.add(r.machine);
      }
      if (this.strays.size > 0) return this.enter('clearing', why);
      this.enter('settled', why);
      trust.settled();
    } else if (this.current === 'asking' && this.unexplained === 0 && !trust.hasLost && listedAt !== null)
      this.enter('listening', `nothing speaks against the records; ${missing} machines are awaited`);
  }

  /** Puts the machines' word in the place of the records', for every machine that was heard. */
  private reconcile(now: Ms): void {
    const counts = { gone: 0, adopted: 0, done: 0 };
    for (const r of this.heard.values()) {
      const there = new Map(r.tasks.map((t) => [formatTaskName(t.job, t.task), t.attempt]));
      for (const { job, task } of [...this.cluster.heldOn(r.machine)]) {
        const p = job.placements.get(task);
        if (p === undefined || p.session !== r.session || p.placedAt > this.beganAt) continue;
        if (there.get(formatTaskName(job.spec.id, task)) === p.attempt) continue;
        this.cluster.gone(job, p, false, 'not on its machine');
        counts.gone += 1;
      }
    }
    for (const r of this.heard.values()) {
      const m = this.cluster.machines.get(r.machine);
      if (m?.session !== r.session || m.state === 'gone' || m.state === 'releasing') continue;
      for (const t of r.tasks) {
        const job = this.cluster.jobs.get(t.job);
        if (job === undefined || job.state !== 'active' || t.task >= job.spec.tasks || job.isDone(t.task))
          continue;
        if (t.phase === 'exited' && t.cause !== 'done') continue;
        if (!this.isFree(job, t)) continue;
        this.cluster.adopt(job, t, r.machine, r.session);
        if (t.phase === 'exited') {
          const p = job.placements.get(t.task);
          if (p !== undefined) this.cluster.gone(job, p, true, 'done');
          counts.done += 1;
        } else counts.adopted += 1;
      }
    }
    this.term.c.log.info({ ...counts, ms: Math.round(now - this.term.electedAt) }, 'machines were asked');
  }

  /** Whether a task may be taken over: an earlier attempt elsewhere was proven gone before this one was given. */
  private isFree(job: Job, t: TaskReport): boolean {
    const p = job.placements.get(t.task);
    if (p === undefined) return true;
    if (p.attempt >= t.attempt) return false;
    this.cluster.gone(job, p, false, 'a later attempt is there');
    return true;
  }
}
