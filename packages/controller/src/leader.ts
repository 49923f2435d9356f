import type { Cloud } from '@spurbridge/cloud';
import type { Placement, StopReason, WallMs } from '@spurbridge/model';
import { JOB_PREFIX, Job, Machine, TASKS_PREFIX, decodeJob, restoreChunk } from '@spurbridge/model';
import type { Clock, Ms } from '@spurbridge/net';
import { later } from '@spurbridge/net';
import type { Leadership, StateStore } from '@spurbridge/store';
import type {
  Attempt,
  ExitCause,
  Item,
  JobId,
  JobProgress,
  MachineId,
  MachineType,
  Revision,
  Session,
  TaskReport,
  WorkerCommand,
  WorkerReport,
} from '@spurbridge/wire';
import { formatTaskName } from '@spurbridge/wire';
import { Estimates } from './estimates.js';
import { Fleet } from './fleet.js';
import type { Log } from './log.js';
import { Recorder } from './recorder.js';
import type { Settings } from './settings.js';
import { answerHorizonMs, longestReportMs, silentAfterMs } from './settings.js';
import { Signal } from './signal.js';
import { snapshotOf } from './view.js';
import type { WorkerLink } from './worker-link.js';
import { plan } from '@spurbridge/planner';

export interface LeaderContext {
  readonly settings: Settings;
  readonly store: StateStore;
  readonly cloud: Cloud;
  readonly workers: WorkerLink;
  readonly leadership: Leadership;
  readonly clock: Clock;
  readonly wallNow: () => WallMs;
  readonly log: Log;
  readonly types: () => readonly MachineType[];
  readonly publish: (progress: readonly JobProgress[]) => void;
}

/** Clocks of different machines drift apart by at most this. */
const DRIFT = 0.0005;
const LEASE_MARGIN_MS = 500;
const PLAN_GAP_MS = 40;
const MOST_PLAN_GAP_MS = 1000;
/** After a plan, this many times as long as it took is left to everything else. */
const PLAN_REST = 4;
const SWEEP_MS = 500;
/** Questions to a machine not heard; at once at most this share of the sockets, since hundreds may fall silent together. */
const PROBES = 2;
const PROBE_SHARE = 0.12;
/**
 * The same while the workers of an earlier leader still come in, and no less than this for each machine:
 * answers go first, and a plan for the few heard so far is soon made again.
 */
const WAVE_PLAN_REST = 10;
const WAVE_PLAN_MS = 1.5;
/** Short, so that what is known of cancellations is never much older than that. */
const WATCH_MS = 2000;
/** Before its first load a leader keeps the workers alive for this long at most. */
const LOAD_MS = 5000;
/** A job whose tasks failed on this many machines in a row is at fault itself. */
const SUSPECT_JOB_MACHINES = 3;
/** A machine on which this many different jobs failed is at fault. */
const FAULTY_MACHINE_JOBS = 2;
const SLOW_FACTOR = 1.7;
const SAVE_MARGIN_S = 4;
/** An image may take this many times its nominal time: a slow machine, and another image beside it. */
const SLOWEST_FETCH = 2.25;
const GANG_MARGIN_S = 10;

interface Held {
  readonly job: Job;
  readonly task: number;
}

/**
 * The leader's working state: jobs and machines rebuilt from records and reports, and the only place
 * where tasks are placed, started and stopped. It lives from election to deposition.
 */
export class Leader {
  readonly jobs = new Map<JobId, Job>();
  readonly machines = new Map<MachineId, Machine>();
  /** What may be on each machine: the placements of all jobs, by machine. */
  private readonly held = new Map<MachineId, Map<string, Held>>();
  private readonly replan = new Signal();
  private readonly recorder: Recorder;
  private readonly fleet: Fleet;
  readonly estimates = new Estimates();
  private readonly electedAt: Ms;
  /** Every cancellation confirmed to a user before this is known here. */
  private freshAt: Ms;
  private ready = false;
  private over = false;
  /** Arrival of the newest report of any worker on its own account. */
  lastReportAt: Ms | null = null;
  private readonly changed = new Set<JobId>();
  private probing = 0;

  constructor(readonly c: LeaderContext) {
    this.electedAt = c.clock.now();
    this.freshAt = later(this.electedAt, LOAD_MS - answerHorizonMs(c.settings));
    this.recorder = new Recorder(this);
    this.fleet = new Fleet(this);
  }

  get active(): boolean {
    return !this.over;
  }

  get frugal(): boolean {
    return this.fleet.frugal;
  }

  get isReady(): boolean {
    return this.ready;
  }

  /** Rebuilds from the records, then runs until deposed. */
  async run(): Promise<void> {
    const revision = await this.load();
    if (revision === null) return;
    this.ready = true;
    this.c.log.info({ jobs: this.jobs.size, machines: this.machines.size }, 'leader ready');
    this.replan.raise();
    await Promise.all([
      this.watchJobs(revision),
      this.planLoop(),
      this.sweepLoop(),
      this.recorder.run(),
      this.fleet.run(),
      this.publishLoop(),
    ]);
  }

  depose(): void {
    this.over = true;
    this.replan.raise();
    this.recorder.stop();
  }

  requestPlan(): void {
    this.replan.raise();
  }

  // --- records ---------------------------------------------------------------------------------

  private async load(): Promise<Revision | null> {
    while (this.active) {
      const askedAt = this.c.clock.now();
      const jobs = await this.c.store.list(JOB_PREFIX, 0);
      const tasks = jobs.outcome === 'listed' ? await this.c.store.list(TASKS_PREFIX, 0) : jobs;
      if (jobs.outcome === 'listed' && tasks.outcome === 'listed') {
        for (const item of jobs.items) this.learnJob(item);
        for (const item of tasks.items) this.restoreTasks(item);
        for (const job of this.jobs.values()) this.afterRestore(job);
        this.freshAt = askedAt;
        // Tasks are read after jobs; a job that came between is seen by the watch from the first list.
        return jobs.revision;
      }
      await this.c.clock.sleep(200);
    }
    return null;
  }

  /**
   * Whether reports may be answered: that keeps tasks alive, and those of a job cancelled since
   * `freshAt` would outlive `cancel_s`. A leader far over its processor share read the cancellations so
   * late that a task ran on after it.
   */
  mayAnswer(): boolean {
    return this.c.clock.now() - this.freshAt <= answerHorizonMs(this.c.settings);
  }

  /** Takes in a job's record, from a list or a watch. */
  learnJob(item: Item): Job | null {
    let record;
    try {
      record = decodeJob(item.value);
    } catch (e) {
      this.c.log.error({ key: item.key, error: String(e) }, 'job record cannot be read');
      return null;
    }
    let job = this.jobs.get(record.spec.id);
    if (job === undefined) {
      // What is over needs no memory here: its users are answered from the record.
      if (record.phase === 'done') return null;
      const ageMs = Math.max(0, this.c.wallNow() - record.at);
      const now = this.c.clock.now();
      job = new Job(record.spec, record.chunkSize, item.version, later(now, -ageMs));
      if (record.phase === 'active')
        this.c.log.debug(
          { job: record.spec.id, class: record.spec.class, tasks: record.spec.tasks, team: record.spec.team },
          'job learned',
        );
      this.jobs.set(record.spec.id, job);
      if (record.spec.kind !== 'service' && record.spec.cpus > 0) this.estimates.sized(record.spec);
    }
    if (item.version >= job.version) {
      job.version = item.version;
      if (record.phase === 'cancelled' && job.state !== 'cancelled') this.cancel(job);
    }
    this.changed.add(record.spec.id);
    return job;
  }

  private restoreTasks(item: Item): void {
    const [, id, index] = item.key.split('/');
    const job = this.jobs.get(id as JobId);
    if (job === undefined || job.state === 'done') return;
    try {
      restoreChunk(job, Number(index), item.value, item.version, this.c.clock.now());
    } catch (e) {
      this.c.log.error({ key: item.key, error: String(e) }, 'task record cannot be read');
    }
  }

  private afterRestore(job: Job): void {
    for (const p of job.placements.values()) {
      this.hold(job, p);
      if (job.state === 'cancelled') job.askStop(p.task, 0, 'cancelled', this.c.clock.now());
    }
    this.checkFinished(job);
  }

  private async watchJobs(from: Revision): Promise<void> {
    let revision = from;
    while (this.active) {
      const askedAt = this.c.clock.now();
      const seen = await this.c.store.watch(JOB_PREFIX, revision, WATCH_MS);
      if (!this.active) return;
      if (seen.outcome === 'events') {
        revision = seen.revision;
        this.freshAt = askedAt;
        for (const e of seen.events)
          if ('put' in e) this.learnJob({ key: e.put, value: e.value, version: e.version });
        if (seen.events.length > 0) this.replan.raise();
      } else if (seen.outcome === 'compacted') {
        const all = await this.c.store.list(JOB_PREFIX, 0);
        if (all.outcome !== 'listed') continue;
        for (const item of all.items) this.learnJob(item);
        revision = all.revision;
        this.freshAt = askedAt;
        this.replan.raise();
      } else await this.c.clock.sleep(150);
    }
  }

  cancel(job: Job): void {
    job.enter('cancelled');
    this.c.log.info({ job: job.spec.id, placed: job.placements.size }, 'job cancelled');
    const machines = new Set<MachineId>();
    for (const p of [...job.placements.values()]) {
      job.askStop(p.task, 0, 'cancelled', this.c.clock.now());
      machines.add(p.machine);
    }
    for (const id of machines) this.push(id);
    this.recorder.ended(job);
    this.replan.raise();
  }

  // --- placements ------------------------------------------------------------------------------

  private hold(job: Job, p: Placement): void {
    let on = this.held.get(p.machine);
    if (on === undefined) {
      on = new Map();
      this.held.set(p.machine, on);
    }
    on.set(formatTaskName(job.spec.id, p.task), { job, task: p.task });
    const machine = this.machines.get(p.machine);
    if (machine !== undefined) machine.idleSince = null;
    else this.addMachine(p.machine, '', '', false);
  }

  heldOn(id: MachineId): Iterable<Held> {
    return this.held.get(id)?.values() ?? [];
  }

  heldCount(id: MachineId): number {
    return this.held.get(id)?.size ?? 0;
  }

  /** A task is proven to be off its machine. */
  private gone(job: Job, p: Placement, done: boolean, why: string, withMachine = false): void {
    const now = this.c.clock.now();
    const machine = this.machines.get(p.machine);
    const name = formatTaskName(job.spec.id, p.task);
    this.c.log.debug({ task: name, try: p.attempt, machine: p.machine, why, state: p.state }, 'task off');
    job.gone(p.task, done, now);
    const on = this.held.get(p.machine);
    on?.delete(name);
    if (machine !== undefined && (on === undefined || on.size === 0)) machine.idleSince = now;
    this.changed.add(job.spec.id);
    this.recorder.dirty(job, p.task, false);
    // A gang that lost a task cannot go on: the rest is told, so that all can start anew together. Where it
    // surely has not started, a replacement under the same attempt completes it; but a machine that still
    // knows this attempt of the task would not start it again.
    if (
      job.spec.kind === 'gang' &&
      !done &&
      job.state === 'active' &&
      !(withMachine && job.awaitsReplacement)
    )
      this.stopGang(job, 0, 'gang');
    this.checkFinished(job);
    this.replan.raise();
  }

  private stopGang(job: Job, graceS: number, reason: StopReason): void {
    const machines = new Set<MachineId>();
    for (const p of job.placements.values()) {
      if (p.stop !== null) continue;
      job.askStop(p.task, graceS, reason, this.c.clock.now());
      machines.add(p.machine);
    }
    for (const id of machines) this.push(id);
  }

  /**
   * Whether every task of the gang can be told now: a stop that some hear too late saves nothing, and costs
   * all of them what they did since their last checkpoint.
   */
  private reachesAll(job: Job, now: Ms): boolean {
    for (const p of job.placements.values()) {
      const m = this.machines.get(p.machine);
      const heardAt = m?.heardAt ?? null;
      if (m === undefined || heardAt === null || (m.state !== 'ready' && m.state !== 'draining'))
        return false;
      if (p.state !== 'running' || p.stop !== null) return false;
      if (now - heardAt > longestReportMs(this.c.settings) + 1000) return false;
    }
    return true;
  }

  private pushGang(job: Job): void {
    for (const p of job.placements.values()) if (p.state === 'starting') this.push(p.machine);
  }

  /**
   * Whether a gang's task, whose machine has the image, is not started yet because another one may fetch
   * it for longer than the first may wait: it would exit as incomplete, and the gang with it, each time.
   */
  private isKeptBack(job: Job, p: Placement): boolean {
    const { spec } = job;
    const m = this.machines.get(p.machine);
    if (spec.kind !== 'gang' || spec.tasks === 1 || m?.images.has(spec.image) !== true) return false;
    const type = this.type(m.type);
    const slowestS = type === undefined ? 0 : (spec.imageGb / type.fetchGbPerS) * SLOWEST_FETCH;
    if (slowestS <= this.c.settings.workers.gangWaitS - GANG_MARGIN_S) return false;
    for (const other of job.placements.values())
      if (other.state !== 'waiting' && this.machines.get(other.machine)?.images.has(spec.image) !== true)
        return true;
    return false;
  }

  private checkFinished(job: Job): void {
    if (job.state === 'active' && job.doneCount === job.spec.tasks) {
      job.enter('closing');
      this.recorder.ended(job);
    } else if (job.state === 'cancelled' && job.placements.size === 0) this.recorder.ended(job);
  }

  /** Everything on the machine is proven gone. */
  clearMachine(id: MachineId, why: string, before: Session | null = null): void {
    for (const { job, task } of [...this.heldOn(id)]) {
      const p = job.placements.get(task);
      if (p !== undefined && p.machine === id && (before === null || p.session < before))
        this.gone(job, p, false, why, true);
    }
  }

  /** The job is over and its task records are gone: nothing here refers to it any more. */
  release(job: Job): void {
    this.jobs.delete(job.spec.id);
  }

  /** The intent is durable: the start may go out. */
  onDurable(job: Job, started: readonly { task: number; attempt: Attempt }[]): void {
    const machines = new Set<MachineId>();
    for (const s of started) {
      job.durable(s.task, s.attempt, this.c.clock.now());
      const p = job.placements.get(s.task);
      if (p?.state === 'starting') machines.add(p.machine);
    }
    for (const id of machines) this.push(id);
  }

  // --- machines and reports --------------------------------------------------------------------

  addMachine(id: MachineId, type: string, zone: string, spot: boolean, rented = true): Machine {
    const machine = new Machine(id, type, zone, spot, rented, this.c.clock.now());
    // Until the machine shows our token, an earlier leader may still answer it up to its horizon.
    machine.answeredUntil = later(this.electedAt, answerHorizonMs(this.c.settings));
    if (this.heldCount(id) > 0) machine.idleSince = null;
    this.machines.set(id, machine);
    return machine;
  }

  /** Records loaded before a machine was known carry its id only: its facts are filled in here. */
  describeMachine(id: MachineId, type: string, zone: string, spot: boolean): Machine {
    const known = this.machines.get(id);
    if (known !== undefined && known.type !== '') return known;
    const machine = this.addMachine(id, type, zone, spot, this.fleet.isRented(id));
    return machine;
  }

  /** A worker's report, from a beat or the answer of a direct call. False when it is an old one. */
  onReport(r: WorkerReport): boolean {
    const m = this.describeMachine(r.machine, r.type, r.zone, r.spot);
    const now = this.c.clock.now();
    if (m.state === 'gone' || m.state === 'releasing') return false;
    if (m.session !== null && (r.session < m.session || (r.session === m.session && r.seq <= m.seq)))
      return false;
    if (m.session === null || r.session > m.session) {
      m.unanswered.clear();
      m.session = r.session;
      this.clearMachine(m.id, 'newer session', r.session);
    }
    m.seq = r.seq;
    m.token = r.token;
    m.address = r.address;
    m.heardAt = now;
    m.probes = 0;
    m.unansweredProbes = 0;
    if (m.state === 'booting') {
      this.c.log.info({ machine: m.id, type: m.type, zone: m.zone, spot: m.spot }, 'machine up');
      this.fleet.cameUp(m, now);
      m.idleSince = this.heldCount(m.id) > 0 ? null : now;
      m.enter('ready');
      this.replan.raise();
    } else if (m.state === 'silent') {
      m.enter('ready');
      this.replan.raise();
    }
    if (m.drainReason !== '' && m.state === 'ready') m.enter('draining');
    if (r.noticeS !== null && m.noticeAt === null) this.onNotice(m, r.noticeS, now);
    this.readTasks(m, r, now);
    return true;
  }

  private onNotice(m: Machine, noticeS: number, now: Ms): void {
    m.noticeAt = now;
    m.goneBy = later(now, noticeS * 1000);
    this.c.log.info({ machine: m.id, noticeS }, 'machine will be taken back');
    this.drain(m, 'notice');
    for (const { job, task } of [...this.heldOn(m.id)]) {
      const graceS = job.spec.saveS + SAVE_MARGIN_S;
      if (job.spec.kind === 'service') job.askStop(task, graceS, 'drained', now);
      else if (job.spec.kind === 'gang' && job.spec.checkpointS > 0 && noticeS > graceS)
        if (job.gang?.state !== 'running' || this.reachesAll(job, now)) this.stopGang(job, graceS, 'drained');
    }
    this.push(m.id);
    this.replan.raise();
  }

  drain(m: Machine, reason: string): void {
    if (m.state !== 'ready' && m.state !== 'silent' && m.state !== 'booting') return;
    m.drainReason = reason;
    m.enter('draining');
    this.c.log.info({ machine: m.id, reason }, 'machine drains');
  }

  undrain(m: Machine): void {
    if (m.state !== 'draining' || m.goneBy !== null) return;
    m.drainReason = '';
    m.enter('ready');
    this.c.log.info({ machine: m.id }, 'machine is needed after all');
    this.replan.raise();
  }

  private readTasks(m: Machine, r: WorkerReport, now: Ms): void {
    const reported = new Map<string, TaskReport>();
    for (const t of r.tasks) reported.set(formatTaskName(t.job, t.task), t);
    for (const { job, task } of [...this.heldOn(m.id)]) {
      const p = job.placements.get(task);
      if (p === undefined || p.machine !== m.id || p.session !== r.session) continue;
      const name = formatTaskName(job.spec.id, task);
      const t = reported.get(name);
      if (t?.attempt === p.attempt) {
        if (t.phase === 'exited') this.onExit(m, job, p, t.cause ?? 'error', now);
        else {
          if (p.state === 'starting' || p.state === 'intended') this.changed.add(job.spec.id);
          if (t.phase === 'running' && p.state !== 'running') {
            const type = this.type(m.type);
            m.useImage(job.spec.image, job.spec.imageGb, type?.cacheGb ?? 0);
            this.c.log.debug({ task: name, machine: m.id, image: job.spec.image }, 'task runs');
          }
          const before = p.state;
          job.reported(task, t.phase, now);
          // Those that were kept back for the slower ones may start now.
          if (t.phase === 'waiting' && before !== 'waiting') this.pushGang(job);
        }
      } else if (
        p.stop !== null &&
        p.state === 'starting' &&
        !m.unanswered.has(startName(job.spec.id, task, p.attempt))
      ) {
        // A start in a report's answer is executed or dropped before the next report is made, and no
        // direct start is unanswered: it was never started and never will be.
        this.gone(job, p, false, 'never started');
      }
    }
  }

  type(name: string): MachineType | undefined {
    return this.c.types().find((t) => t.name === name);
  }

  private onExit(m: Machine, job: Job, p: Placement, cause: ExitCause, now: Ms): void {
    const name = formatTaskName(job.spec.id, p.task);
    if (cause === 'done') {
      m.failedJobs.clear();
      job.failedOn.clear();
      job.errors = 0;
      if (p.runningAt !== null && job.spec.estimateS > 0 && job.spec.kind === 'array') {
        const ranS = (now - p.runningAt) / 1000;
        const expectedS = this.estimates.expect(job.spec);
        this.estimates.learn(job.spec, ranS / m.slowness);
        m.ran(job.spec.id, Math.min(5, Math.max(0.2, ranS / expectedS)));
        if (m.isSlow(SLOW_FACTOR)) this.drain(m, 'slow');
      }
    } else if (cause === 'error') this.onError(m, job, name, now);
    else if (cause === 'no_room') m.refusedUntil = later(now, 2000);
    else if (cause === 'unknown' || cause === 'busy') job.notBefore = later(now, 2000);
    this.gone(job, p, cause === 'done', cause);
  }

  /** Different jobs failing condemn the machine; one job failing everywhere backs off alone. */
  private onError(m: Machine, job: Job, name: string, now: Ms): void {
    job.errors += 1;
    job.failedOn.add(m.id);
    m.refusedUntil = later(now, 3000);
    this.c.log.info({ task: name, machine: m.id, errors: job.errors }, 'task failed');
    if (job.failedOn.size >= SUSPECT_JOB_MACHINES) {
      job.notBefore = later(now, Math.min(60, 2 ** Math.min(6, job.errors - 2)) * 1000);
      for (const id of job.failedOn) this.machines.get(id)?.failedJobs.delete(job.spec.id);
      job.failedOn.clear();
      return;
    }
    m.failedJobs.add(job.spec.id);
    if (m.failedJobs.size >= FAULTY_MACHINE_JOBS) this.drain(m, 'faulty');
  }

  /** Orders for the answer to a report of this machine. */
  ordersFor(r: WorkerReport): WorkerCommand[] {
    const m = this.machines.get(r.machine);
    if (!this.ready || m === undefined || m.session !== r.session || !this.c.leadership.holdsSurely())
      return [];
    return [...this.commandsFor(m, true), ...this.cleanUp(m, r)];
  }

  /** Called when a report is answered with our token, with or without orders. */
  answered(r: WorkerReport): void {
    this.lastReportAt = this.c.clock.now();
    const m = this.machines.get(r.machine);
    if (m === undefined) return;
    const now = this.c.clock.now();
    m.answeredUntil = r.token === this.c.leadership.token ? now : (Math.max(m.answeredUntil, now) as Ms);
  }

  /** Starts and stops due on a machine. In a report's answer everything not yet seen is repeated. */
  private commandsFor(m: Machine, repeat: boolean): WorkerCommand[] {
    const commands: WorkerCommand[] = [];
    for (const { job, task } of this.heldOn(m.id)) {
      const p = job.placements.get(task);
      if (p === undefined || p.machine !== m.id || p.session !== m.session) continue;
      const id = { job: job.spec.id, task, attempt: p.attempt };
      if (p.stop !== null) {
        // A second stop would end a task that is saving; repeat only what has not taken effect.
        const saving = p.state === 'saving' && p.stop.reason !== 'cancelled';
        if (!saving && p.state !== 'intended') commands.push({ op: 'stop', ...id, graceS: p.stop.graceS });
      } else if (p.state === 'starting' && job.state === 'active') {
        if (this.isKeptBack(job, p)) continue;
        if (repeat || !m.unanswered.has(startName(job.spec.id, task, p.attempt)))
          commands.push({ op: 'start', ...id });
      }
    }
    return commands;
  }

  /** Exited tasks whose end is durable are forgotten; tasks that no record places are stopped. */
  private cleanUp(m: Machine, r: WorkerReport): WorkerCommand[] {
    const commands: WorkerCommand[] = [];
    for (const t of r.tasks) {
      const job = this.jobs.get(t.job);
      const p = job?.placements.get(t.task);
      if (p !== undefined && p.machine === m.id && p.session === m.session && p.attempt === t.attempt)
        continue;
      const id = { job: t.job, task: t.task, attempt: t.attempt };
      if (t.phase !== 'exited') {
        commands.push({ op: 'stop', ...id, graceS: 0 });
        continue;
      }
      // After a forget the worker would execute a late start of the attempt again: none may be in flight.
      if (m.unanswered.has(startName(t.job, t.task, t.attempt))) continue;
      if (job === undefined || t.task >= job.spec.tasks || job.state !== 'active' || job.isDurable(t.task))
        commands.push({ op: 'forget', ...id });
    }
    return commands;
  }

  /** Sends what is due straight to the machine, one call at a time. */
  push(id: MachineId): void {
    const m = this.machines.get(id);
    if (m === undefined || m.sending || m.address === '' || m.session === null) return;
    if (m.state !== 'ready' && m.state !== 'draining') return;
    m.sending = true;
    this.pushNow(m)
      .catch((e: unknown) => {
        this.c.log.error({ machine: m.id, error: String(e) }, 'direct commands failed');
      })
      .finally(() => {
        m.sending = false;
      });
  }

  private async pushNow(m: Machine): Promise<void> {
    for (let round = 0; round < 5 && this.active; round += 1) {
      const session = m.session;
      if (session === null || !this.c.leadership.holdsSurely()) return;
      const commands = this.commandsFor(m, false);
      if (commands.length === 0) return;
      const starts = commands.filter((x) => x.op === 'start').map((x) => startName(x.job, x.task, x.attempt));
      for (const s of starts) m.unanswered.add(s);
      const outcome = await this.c.workers.commands(m.address, this.c.leadership.token, session, commands);
      if (!this.active) return;
      if (outcome.outcome === 'unknown') return;
      if (m.session === session) for (const s of starts) m.unanswered.delete(s);
      if (outcome.outcome === 'unsent') return;
      this.c.leadership.observe(outcome.report.token, null);
      if (!this.active) return;
      this.onReport(outcome.report);
      if (outcome.outcome === 'rejected') return;
    }
  }

  // --- loops -----------------------------------------------------------------------------------

  private async planLoop(): Promise<void> {
    while (this.active) {
      await this.replan.wait(this.c.clock, 1000);
      if (!this.active) return;
      const began = this.c.clock.now();
      if (this.c.leadership.holdsSurely() && this.c.types().length > 0) this.planOnce();
      // Planning gives way to reports, renewals and users: when events are dense, one plan serves many.
      const tookMs = this.c.clock.now() - began;
      await this.c.clock.sleep(
        this.fleet.isComingIn(this.c.clock.now())
          ? Math.max(Math.min(MOST_PLAN_GAP_MS, this.machines.size * WAVE_PLAN_MS), tookMs * WAVE_PLAN_REST)
          : Math.min(MOST_PLAN_GAP_MS, Math.max(PLAN_GAP_MS, tookMs * PLAN_REST)),
      );
    }
  }

  private planOnce(): void {
    const now = this.c.clock.now();
    const result = plan(snapshotOf(this, now));
    const gangs = new Map<JobId, Attempt>();
    for (const s of result.starts) {
      const job = this.jobs.get(s.job);
      const machine = this.machines.get(s.machine);
      if (job === undefined || machine?.session === null || machine === undefined) continue;
      let shared: Attempt | null = null;
      if (job.spec.kind === 'gang') {
        shared = gangs.get(s.job) ?? job.gangAttempt();
        gangs.set(s.job, shared);
      }
      const p = job.intend(s.task, s.machine, machine.session, now, shared);
      this.hold(job, p);
      this.recorder.dirty(job, s.task, true);
      this.c.log.debug(
        { task: formatTaskName(s.job, s.task), try: p.attempt, machine: s.machine },
        'task placed',
      );
    }
    for (const s of result.stops) {
      const job = this.jobs.get(s.job);
      const p = job?.placements.get(s.task);
      if (job === undefined || p === undefined || p.stop !== null) continue;
      job.askStop(s.task, job.spec.checkpointS > 0 ? job.spec.saveS + 1 : 0, 'preempted', now);
      this.c.log.info(
        { task: formatTaskName(s.job, s.task), machine: p.machine, inFavourOf: s.inFavourOf },
        'task preempted',
      );
      this.push(p.machine);
    }
    this.fleet.planned(result.unmet);
  }

  /** Looks after silent machines, notices that run out and stops that take too long. */
  private async sweepLoop(): Promise<void> {
    while (this.active) {
      await this.c.clock.sleep(SWEEP_MS);
      if (!this.active || !this.c.leadership.holdsSurely()) continue;
      const now = this.c.clock.now();
      for (const m of [...this.machines.values()]) this.sweep(m, now);
      this.fleet.sweep(now);
    }
  }

  private sweep(m: Machine, now: Ms): void {
    if (m.state === 'gone' || m.state === 'releasing') return;
    const { leaseS } = this.c.settings.workers;
    if (this.heldCount(m.id) > 0) {
      const surelyOver = (leaseS * 1000 + LEASE_MARGIN_MS) * (1 + DRIFT * 2);
      const last = Math.max(m.answeredUntil, m.heardAt ?? this.electedAt);
      if (now - last > surelyOver) this.clearMachine(m.id, 'lease surely over');
    }
    const silence = now - Math.max(m.heardAt ?? this.electedAt, this.electedAt);
    const heardBefore = m.state === 'ready' || m.state === 'draining';
    const wasUp = m.state === 'booting' && this.heldCount(m.id) > 0;
    if (!(heardBefore || wasUp) || silence <= longestReportMs(this.c.settings) + 1000)
      return this.expire(m, now);
    if (m.probes < PROBES && this.probing < Math.max(8, this.c.settings.maxSockets * PROBE_SHARE)) {
      m.probes += 1;
      this.probe(m);
    }
    if (heardBefore && isUnreachable(m) && silence > silentAfterMs(this.c.settings)) {
      this.c.log.info({ machine: m.id, silence: Math.round(silence) }, 'machine is silent');
      m.enter('silent');
      this.replan.raise();
    }
    this.expire(m, now);
  }

  /** What ends by itself on a machine: its notice, and the time that work with checkpoints has left. */
  private expire(m: Machine, now: Ms): void {
    if (m.goneBy !== null && now > later(m.goneBy, 1500)) this.fleet.giveBack(m, 'taken back');
    if (m.state === 'draining')
      for (const { job, task } of this.heldOn(m.id)) {
        const p = job.placements.get(task);
        if (p === undefined || p.stop !== null || m.goneBy === null) continue;
        const graceS = job.spec.saveS + SAVE_MARGIN_S;
        if (job.spec.kind === 'array' && job.spec.checkpointS > 0 && now > later(m.goneBy, -graceS * 1000)) {
          job.askStop(task, graceS, 'drained', now);
          this.push(m.id);
        }
      }
  }

  private probe(m: Machine): void {
    if (m.address === '') {
      m.unansweredProbes += 1;
      return;
    }
    this.probing += 1;
    this.c.workers
      .show(m.address)
      .finally(() => {
        this.probing -= 1;
      })
      .then((report) => {
        if (!this.active) return;
        if (report === null) {
          m.unansweredProbes += 1;
          return;
        }
        this.c.leadership.observe(report.token, null);
        if (this.active) this.onReport(report);
      })
      .catch((e: unknown) => {
        this.c.log.error({ machine: m.id, error: String(e) }, 'probe failed');
      });
  }

  // --- what the other nodes and users see ------------------------------------------------------

  private async publishLoop(): Promise<void> {
    while (this.active) {
      await this.c.clock.sleep(1000);
      const progress: JobProgress[] = [];
      for (const id of this.changed) {
        const job = this.jobs.get(id);
        if (job !== undefined && job.state === 'active') progress.push(progressOf(job));
      }
      this.changed.clear();
      if (progress.length > 0) this.c.publish(progress);
    }
  }

  progress(id: JobId): JobProgress | null {
    const job = this.jobs.get(id);
    return job === undefined ? null : progressOf(job);
  }
}

/** Neither reports nor answers: a node behind its share misses reports of machines that answer well. */
export function isUnreachable(m: Machine): boolean {
  return m.unansweredProbes >= PROBES;
}

export function progressOf(job: Job): JobProgress {
  let running = 0;
  for (const p of job.placements.values()) if (p.state === 'running' || p.state === 'saving') running += 1;
  return { job: job.spec.id, done: job.doneCount, running };
}

function startName(job: JobId, task: number, attempt: Attempt): string {
  return `${formatTaskName(job, task)}#${attempt}`;
}
