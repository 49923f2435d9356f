import { EventEmitter } from 'node:events';
import type { JobRecord, Placement, StopReason, WallMs } from '@spurbridge/model';
import { Job, Machine, restoreChunk } from '@spurbridge/model';
import type { Clock, Ms } from '@spurbridge/net';
import { later } from '@spurbridge/net';
import type {
  Attempt,
  Item,
  JobId,
  MachineId,
  MachineType,
  Session,
  TaskReport,
  Version,
} from '@spurbridge/wire';
import { formatTaskName } from '@spurbridge/wire';
import type { Log } from './log.js';

export interface Held {
  readonly job: Job;
  readonly task: number;
}

/** What the rooms are told. Listeners are called at once, in the order in which they asked. */
export interface ClusterEvents {
  /** A job is known from now on. */
  learned: [job: Job];
  /** What users see of the job may have changed. */
  changed: [job: Job];
  /** A task is to be started: durable first. */
  placed: [job: Job, task: number];
  /** A task is proven to be off its machine, done or not, and why; the placement as it was. */
  off: [job: Job, placement: Placement, done: boolean, why: string];
  /** A task of a job was given up. */
  abandoned: [job: Job, task: number];
  /** All tasks are done, or the job is cancelled. */
  ended: [job: Job];
  /** The job is over and nothing refers to it any more. */
  released: [job: Job];
  /** Starts or stops are due on the machine. */
  due: [machine: MachineId];
  /** A machine reported for the first time to this leader. */
  up: [machine: Machine];
  /** Something changed that a plan should see. */
  plan: [];
}

export interface ClusterParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly types: () => readonly MachineType[];
  /** Time of day less another that a record holds, in milliseconds, never negative. */
  readonly ageMs: (at: WallMs) => number;
  /** Until when an earlier leader may still answer the reports of a machine. */
  readonly answeredUntil: Ms;
}

/**
 * The cluster as its leader knows it: jobs, machines and what may be on them, rebuilt from records and
 * reports. It knows none of those who work on it; only its functions change it, and they tell the listeners.
 */
export class Cluster extends EventEmitter<ClusterEvents> {
  readonly jobs = new Map<JobId, Job>();
  readonly machines = new Map<MachineId, Machine>();
  /** What may be on each machine: the placements of all jobs, by machine. */
  private readonly held = new Map<MachineId, Map<string, Held>>();
  /** Machines up to this id stood there before the service first ran: its owners' choice, kept. */
  private standing: string | null = null;

  constructor(private readonly parts: ClusterParts) {
    super();
  }

  private now(): Ms {
    return this.parts.clock.now();
  }

  type(name: string): MachineType | undefined {
    return this.parts.types().find((t) => t.name === name);
  }

  // --- jobs ------------------------------------------------------------------------------------

  /** Takes in a job's record; null when it needs no memory here. */
  learnJob(record: JobRecord, version: Version): Job | null {
    const { spec } = record;
    let job = this.jobs.get(spec.id);
    if (job === undefined) {
      // What is over needs no memory here: its users are answered from the record.
      if (record.phase === 'done') return null;
      const submittedAt = later(this.now(), -this.parts.ageMs(record.at));
      job = new Job(spec, record.chunkSize, version, submittedAt, record.graph ?? null);
      if (record.phase === 'active')
        this.parts.log.debug(
          {
            job: spec.id,
            class: spec.class,
            tasks: spec.tasks,
            cpus: spec.cpus,
            memoryGb: spec.memoryGb,
            team: spec.team,
          },
          'job learned',
        );
      this.jobs.set(spec.id, job);
      this.emit('learned', job);
    }
    if (version >= job.version) {
      job.version = version;
      if (record.phase === 'cancelled' && job.state !== 'cancelled') {
        if (record.cancelledAt !== undefined)
          job.cancelledAt = later(this.now(), -this.parts.ageMs(record.cancelledAt));
        this.cancel(job);
      }
    }
    this.emit('changed', job);
    return job;
  }

  restoreTasks(item: Item): void {
    const [, id, index] = item.key.split('/');
    const job = this.jobs.get(id as JobId);
    if (job === undefined || job.state === 'done') return;
    try {
      restoreChunk(job, Number(index), item.value, item.version, this.now());
    } catch (e) {
      this.parts.log.error({ key: item.key, error: String(e) }, 'task record cannot be read');
    }
  }

  /** All of the job's records are read. */
  afterRestore(job: Job): void {
    for (const p of [...job.placements.values()]) {
      this.hold(job, p);
      const session = this.machines.get(p.machine)?.session ?? null;
      // A machine that reported while the records were still being read has shown its newer session already, and
      // would not do so again: its task was taken for running for ever.
      if (session !== null && p.session < session) this.gone(job, p, false, 'newer session', true);
      else if (job.state === 'cancelled') job.askStop(p.task, 0, 'cancelled', this.now());
    }
    this.checkFinished(job);
  }

  private cancel(job: Job): void {
    job.enter('cancelled');
    this.parts.log.info({ job: job.spec.id, placed: job.placements.size }, 'job cancelled');
    const machines = new Set<MachineId>();
    for (const p of [...job.placements.values()]) {
      job.askStop(p.task, 0, 'cancelled', this.now());
      machines.add(p.machine);
    }
    for (const id of machines) this.emit('due', id);
    this.emit('ended', job);
    this.emit('plan');
  }

  private checkFinished(job: Job): void {
    if (job.state === 'active' && job.doneCount === job.spec.tasks) {
      job.enter('closing');
      this.emit('ended', job);
    } else if (job.state === 'cancelled' && job.placements.size === 0) this.emit('ended', job);
  }

  /** The job is over and its task records are gone: nothing here refers to it any more. */
  release(job: Job): void {
    this.jobs.delete(job.spec.id);
    this.emit('released', job);
  }

  // --- placements ------------------------------------------------------------------------------

  heldOn(id: MachineId): Iterable<Held> {
    return this.held.get(id)?.values() ?? [];
  }

  heldCount(id: MachineId): number {
    return this.held.get(id)?.size ?? 0;
  }

  /** Whether records or the cloud's list say that the machine was up, whoever has heard it. */
  wasUp(m: Machine): boolean {
    return this.heldCount(m.id) > 0 || m.listedRunning;
  }

  private hold(job: Job, p: Placement): void {
    let on = this.held.get(p.machine);
    if (on === undefined) {
      on = new Map();
      this.held.set(p.machine, on);
    }
    on.set(formatTaskName(job.spec.id, p.task), { job, task: p.task });
    const machine = this.machines.get(p.machine);
    if (machine !== undefined) {
      machine.idleSince = null;
      this.prove(machine);
    } else this.addMachine(p.machine, '', '', false);
  }

  /** Places a task: an intent, of which nothing is sent before it is durable. */
  place(job: Job, task: number, machine: MachineId, session: Session, shared: Attempt | null): Placement {
    const p = job.intend(task, machine, session, this.now(), shared);
    this.hold(job, p);
    this.emit('placed', job, task);
    return p;
  }

  /** Takes over a task that its machine reports and no record places. */
  adopt(job: Job, t: TaskReport, machine: MachineId, session: Session): void {
    job.adopt(t.task, machine, session, t.attempt, this.now());
    const p = job.placements.get(t.task);
    if (p === undefined) return;
    this.hold(job, p);
    if (t.phase !== 'exited') job.reported(t.task, t.phase, this.now());
    this.emit('placed', job, t.task);
    this.emit('changed', job);
  }

  /** The intent is durable: the start may go out where there is room. */
  durable(job: Job, started: readonly { task: number; attempt: Attempt }[]): void {
    const machines = new Set<MachineId>();
    for (const s of started) {
      job.durable(s.task, s.attempt, this.now());
      const p = job.placements.get(s.task);
      if (p?.state === 'queued' || p?.state === 'starting') machines.add(p.machine);
    }
    for (const id of machines) this.emit('due', id);
  }

  /** A task is proven to be off its machine. */
  gone(job: Job, p: Placement, done: boolean, why: string, withMachine = false): void {
    const now = this.now();
    const machine = this.machines.get(p.machine);
    const name = formatTaskName(job.spec.id, p.task);
    this.parts.log.debug({ task: name, try: p.attempt, machine: p.machine, why, state: p.state }, 'task off');
    job.gone(p.task, done, now);
    const on = this.held.get(p.machine);
    on?.delete(name);
    if (machine !== undefined && (on === undefined || on.size === 0)) machine.idleSince = now;
    this.emit('changed', job);
    this.emit('off', job, p, done, why);
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
    this.emit('plan');
  }

  /** Gives up a task for good: stopped where it may be on a machine, never started again. */
  abandon(job: Job, task: number): void {
    const p = job.placements.get(task);
    if (p !== undefined) {
      job.askStop(task, 0, 'cancelled', this.now());
      this.emit('due', p.machine);
      return;
    }
    job.abandon(task);
    this.emit('abandoned', job, task);
    this.checkFinished(job);
  }

  stopGang(job: Job, graceS: number, reason: StopReason): void {
    const machines = new Set<MachineId>();
    for (const p of job.placements.values()) {
      if (p.stop !== null) continue;
      job.askStop(p.task, graceS, reason, this.now());
      machines.add(p.machine);
    }
    for (const id of machines) this.emit('due', id);
  }

  /** Everything on the machine is proven gone. */
  clearMachine(id: MachineId, why: string, before: Session | null = null): void {
    for (const { job, task } of [...this.heldOn(id)]) {
      const p = job.placements.get(task);
      if (p !== undefined && p.machine === id && (before === null || p.session < before))
        this.gone(job, p, false, why, true);
    }
  }

  // --- machines --------------------------------------------------------------------------------

  get standingUpTo(): string | null {
    return this.standing;
  }

  /** The fleet found at the very first start is known. */
  setStanding(upTo: string): void {
    this.standing = upTo;
    for (const m of this.machines.values()) m.rented = this.isRented(m.id);
  }

  isRented(id: MachineId): boolean {
    return this.standing !== null && compareIds(id, this.standing) > 0;
  }

  /** A service that started with no machines rents all of them for its work: money is weighed. */
  get frugal(): boolean {
    return this.standing === '';
  }

  private addMachine(id: MachineId, type: string, zone: string, spot: boolean, rented = true): Machine {
    const machine = new Machine(id, type, zone, spot, rented, this.now());
    // Until the machine shows our token, an earlier leader may still answer it up to its horizon.
    machine.answeredUntil = this.parts.answeredUntil;
    if (this.heldCount(id) > 0) machine.idleSince = null;
    this.machines.set(id, machine);
    return machine;
  }

  /**
   * Records loaded before a machine was known carry its id only: its facts are filled in here. `isProven`: whether they
   * come from what can't be older than the machine's end, and not from a report that may have been on its way for long.
   */
  describeMachine(id: MachineId, type: string, zone: string, spot: boolean, isProven = true): Machine {
    const known = this.machines.get(id);
    if (known !== undefined && known.type !== '') {
      if (isProven) this.prove(known);
      return known;
    }
    const added = this.addMachine(id, type, zone, spot, this.isRented(id));
    // A record places something there.
    added.isProven = isProven || known !== undefined;
    return added;
  }

  /** The machine is there now: it may be placed on. */
  prove(m: Machine): void {
    if (m.isProven) return;
    m.isProven = true;
    this.emit('plan');
  }

  drain(m: Machine, reason: string): void {
    if (m.state !== 'ready' && m.state !== 'silent' && m.state !== 'booting') return;
    m.drainReason = reason;
    m.enter('draining');
    this.parts.log.info({ machine: m.id, reason }, 'machine drains');
  }

  undrain(m: Machine): void {
    if (m.state !== 'draining' || m.goneBy !== null) return;
    m.drainReason = '';
    m.enter('ready');
    this.parts.log.info({ machine: m.id }, 'machine is needed after all');
    this.emit('plan');
  }
}

/** Names are in order of creation; a longer name is a later one. */
export function compareIds(a: string, b: string): number {
  return a.length - b.length || (a < b ? -1 : a > b ? 1 : 0);
}
