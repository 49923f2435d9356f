import type { MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import { TransitionTable } from '@spurbridge/model';
import type { Job, Machine } from '@spurbridge/model';
import type { MachineId, TaskStatus, Heartbeat } from '@spurbridge/wire';
import { formatTaskName } from '@spurbridge/wire';
import type { MachineShape } from './unconfirmed-machines.js';
import { UnconfirmedMachines } from './unconfirmed-machines.js';
import type { ClusterState } from '../jobs/cluster-state.js';
import { maxRenewalStalenessMs } from '../settings.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

/**
 * `settled`: what may be on every machine is known. `asking`: records may be missing, so machines are asked first
 * (docs/state-loss.md). `clearing`: what no known job explains is stopped, and nothing started before it is gone: it could
 * be any team's. `listening`: nothing speaks against the records so far, and each job waits only for those machines that
 * could contradict them for it.
 */
type ReconciliationState = 'asking' | 'clearing' | 'listening' | 'settled';

const transitions = new TransitionTable<ReconciliationState>('settling', {
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
function couldHold(p: MachineShape, { spec }: Job): boolean {
  if (p.type === '') return true;
  return (
    (spec.types === null || spec.types.includes(p.type)) &&
    (spec.zone === null || spec.zone === p.zone) &&
    (spec.spot || !p.spot)
  );
}

/** Asks machines what is on them where the records alone cannot tell. */
export class Reconciliation {
  private current: ReconciliationState;
  /** The last report of each machine that has shown our token: from then on nothing older is executed there. */
  private readonly heard = new Map<MachineId, Heartbeat>();
  /** Machines that reported at all. */
  private readonly met = new Set<MachineId>();
  private readonly unheard: UnconfirmedMachines;
  /** When, and from which list, these were gathered the last time; reports that came since are counted one by one. */
  private gatheredAt: MonotonicMs | null = null;
  private gatheredFrom: MonotonicMs | null = null;
  /** How many were not heard at the last look. */
  private before = 0;
  private unexplained = 0;
  /** Machines on which something runs that no known job explains. */
  private readonly strays = new Set<MachineId>();
  private readonly sureAt: MonotonicMs;
  /** Placements from before were read from records; later ones are this leader's own. */
  private beganAt = 0 as MonotonicMs;

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    private readonly listedAt: () => MonotonicMs | null,
  ) {
    const { settings, storeIntegrity: trust } = term.context;
    this.unheard = new UnconfirmedMachines(cluster);
    this.current = trust.continuous ? 'settled' : 'asking';
    const longestMs = maxRenewalStalenessMs(settings) + settings.workers.leaseS * 1000;
    this.sureAt = addMs(term.electedAt, longestMs * (1 + DRIFT) + MARGIN_MS);
  }

  /** Whether tasks may be placed, and machines given back. */
  get allowsPlacement(): boolean {
    return this.current === 'listening' || this.current === 'settled';
  }

  /**
   * What no machine that could contradict it speaks against: a job may be placed, or a start of it repeated, once every
   * machine that could run a task of it unknown to the records has been heard under our token, or is proven gone. Half
   * of all machines was a guess: tasks placed in a time that the state service had lost ran twice.
   */
  mayPlaceJob(job: Job): boolean {
    if (this.current === 'settled') return true;
    if (this.current !== 'listening') return false;
    for (const { place } of this.whatIsUnheard().shapes()) if (couldHold(place, job)) return false;
    return true;
  }

  /** What machines not heard yet may use of each team's limit beyond what the records place on them. */
  unconfirmedUsage(team: string): { readonly cpus: number; readonly gpus: number } {
    if (this.current === 'settled') return { cpus: 0, gpus: 0 };
    const u = this.whatIsUnheard();
    const own = u.recordedUsage(team);
    return { cpus: Math.max(0, u.capacity.cpus - own.cpus), gpus: Math.max(0, u.capacity.gpus - own.gpus) };
  }

  /** Machines that decisions still wait for. */
  get unconfirmedCount(): number {
    return this.current === 'settled' || this.current === 'clearing' ? 0 : this.whatIsUnheard().count;
  }

  /** Whether machines may be told to start, to stop what is not known, and to forget. */
  get mayIssueCommands(): boolean {
    return this.current !== 'asking';
  }

  /** The only function that changes the state. */
  private enter(next: ReconciliationState, why: string): void {
    transitions.assertAllowed(this.current, next);
    this.term.context.log.info(
      { from: this.current, to: next, why, heard: this.heard.size, unexplained: this.unexplained },
      'settling',
    );
    this.current = next;
    this.gatheredAt = null;
    if (this.allowsPlacement) this.cluster.emit('plan');
  }

  async run(): Promise<void> {
    const { clock, storeIntegrity: trust } = this.term.context;
    this.beganAt = clock.now();
    while (this.term.isActive && this.current !== 'settled') {
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
  receive(r: Heartbeat): void {
    if (this.current === 'settled') return;
    const m = this.cluster.machines.get(r.machine);
    // One that came late was passed over by those who read it before.
    if (m?.agentEpoch !== r.agentEpoch || m.lastSequence !== r.sequence) return;
    const isOurs = r.fencingToken === this.term.context.leadership.fencingToken;
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
  private isUnexplained(t: TaskStatus): boolean {
    const job = this.cluster.jobs.get(t.job);
    if (job === undefined) return this.term.context.storeIntegrity.phaseOf(t.job) === null;
    return (
      t.task < job.spec.tasks && job.state === 'active' && t.attempt > job.chunkOf(t.task).attemptsIssued
    );
  }

  /** Whether the machine runs what is not placed there. */
  private hasStrays(r: Heartbeat): boolean {
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
    this.term.context.storeIntegrity.settled();
  }

  /** Machines that may run what the records lack: listed as running, recorded, or met; not gone and not heard. */
  private isAwaited(m: Machine): boolean {
    if (m.state === 'gone' || this.heard.has(m.id)) return false;
    return this.cluster.isKnownToHaveRun(m) || m.lastHeartbeatAt !== null;
  }

  /** The machines not heard; what a list added since the last look counts at once. */
  private whatIsUnheard(): UnconfirmedMachines {
    const listedAt = this.listedAt();
    const { clock } = this.term.context;
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

  private look(now: MonotonicMs): void {
    if (this.current === 'clearing') return this.clear();
    const unheard = this.whatIsUnheard();
    for (const id of [...unheard.machineIds()])
      if (this.cluster.machines.get(id)?.state === 'gone') unheard.remove(id);
    // A machine that is proven gone lets jobs go on as well as one that is heard.
    if (this.current === 'listening' && unheard.count < this.before) this.cluster.emit('plan');
    this.before = unheard.count;
    const { settings, storeIntegrity: trust } = this.term.context;
    const listedAt = this.listedAt();
    const missing = unheard.count;
    // A machine that was up shortly before may not be listed yet.
    const lagMs = settings.cloudLimits.listLagS * 2000;
    const isListed = listedAt !== null && listedAt > addMs(this.term.electedAt, lagMs);
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
  private reconcile(now: MonotonicMs): void {
    const counts = { gone: 0, adopted: 0, done: 0 };
    for (const r of this.heard.values()) {
      const there = new Map(r.tasks.map((t) => [formatTaskName(t.job, t.task), t.attempt]));
      for (const { job, task } of [...this.cluster.tasksOn(r.machine)]) {
        const p = job.placements.get(task);
        if (p === undefined || p.agentEpoch !== r.agentEpoch || p.placedAt > this.beganAt) continue;
        if (there.get(formatTaskName(job.spec.id, task)) === p.attempt) continue;
        this.cluster.removePlacement(job, p, false, 'not on its machine');
        counts.gone += 1;
      }
    }
    for (const r of this.heard.values()) {
      const m = this.cluster.machines.get(r.machine);
      if (m?.agentEpoch !== r.agentEpoch || m.state === 'gone' || m.state === 'releasing') continue;
      for (const t of r.tasks) {
        const job = this.cluster.jobs.get(t.job);
        if (job === undefined || job.state !== 'active' || t.task >= job.spec.tasks || job.isDone(t.task))
          continue;
        if (t.phase === 'exited' && t.cause !== 'done') continue;
        if (!this.isFree(job, t)) continue;
        this.cluster.adoptTask(job, t, r.machine, r.agentEpoch);
        if (t.phase === 'exited') {
          const p = job.placements.get(t.task);
          if (p !== undefined) this.cluster.removePlacement(job, p, true, 'done');
          counts.done += 1;
        } else counts.adopted += 1;
      }
    }
    this.term.context.log.info(
      { ...counts, ms: Math.round(now - this.term.electedAt) },
      'machines were asked',
    );
  }

  /** Whether a task may be taken over: an earlier attempt elsewhere was proven gone before this one was given. */
  private isFree(job: Job, t: TaskStatus): boolean {
    const p = job.placements.get(t.task);
    if (p === undefined) return true;
    if (p.attempt >= t.attempt) return false;
    this.cluster.removePlacement(job, p, false, 'a later attempt is there');
    return true;
  }
}
