import { EventEmitter } from 'node:events';
import type { JobRecord, Placement, StopReason, WallClockMs } from '@spurbridge/model';
import { Job, Machine, restoreChunk } from '@spurbridge/model';
import type { Clock, MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type {
  Attempt,
  KeyValue,
  JobId,
  MachineId,
  MachineType,
  AgentEpoch,
  TaskStatus,
  Version,
} from '@spurbridge/wire';
import { formatTaskName } from '@spurbridge/wire';
import type { Logger } from '../logger.js';

export interface PlacedTask {
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

export interface ClusterStateOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly machineTypes: () => readonly MachineType[];
  /** Time of day less another that a record holds, in milliseconds, never negative. */
  readonly ageMs: (at: WallClockMs) => number;
  /** Until when an earlier leader may still answer the reports of a machine. */
  readonly previousLeaderRenewsUntil: MonotonicMs;
}

/**
 * The cluster as its leader knows it: jobs, machines and what may be on them, rebuilt from records and
 * reports. It knows none of those who work on it; only its functions change it, and they tell the listeners.
 */
export class ClusterState extends EventEmitter<ClusterEvents> {
  readonly jobs = new Map<JobId, Job>();
  readonly machines = new Map<MachineId, Machine>();
  /** What may be on each machine: the placements of all jobs, by machine. */
  private readonly held = new Map<MachineId, Map<string, PlacedTask>>();
  /** Machines up to this id stood there before the service first ran: its owners' choice, kept. */
  private standing: string | null = null;

  constructor(private readonly parts: ClusterStateOptions) {
    super();
  }

  private now(): MonotonicMs {
    return this.parts.clock.now();
  }

  machineType(name: string): MachineType | undefined {
    return this.parts.machineTypes().find((t) => t.name === name);
  }

  // --- jobs ------------------------------------------------------------------------------------

  /** Takes in a job's record; null when it needs no memory here. */
  applyJobRecord(record: JobRecord, version: Version): Job | null {
    const { spec } = record;
    let job = this.jobs.get(spec.id);
    if (job === undefined) {
      // What is over needs no memory here: its users are answered from the record.
      if (record.phase === 'done') return null;
      const submittedAt = addMs(this.now(), -this.parts.ageMs(record.submittedAt));
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
          job.cancelledAt = addMs(this.now(), -this.parts.ageMs(record.cancelledAt));
        this.cancelJob(job);
      }
    }
    this.emit('changed', job);
    return job;
  }

  applyTaskRecord(item: KeyValue): void {
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
  finishRestore(job: Job): void {
    for (const p of [...job.placements.values()]) {
      this.addPlacement(job, p);
      const session = this.machines.get(p.machine)?.agentEpoch ?? null;
      // A machine that reported while the records were still being read has shown its newer session already, and
      // would not do so again: its task was taken for running for ever.
      if (session !== null && p.agentEpoch < session)
        this.removePlacement(job, p, false, 'newer session', true);
      else if (job.state === 'cancelled') job.requestStop(p.task, 0, 'cancelled', this.now());
    }
    this.announceIfEnded(job);
  }

  private cancelJob(job: Job): void {
    job.transitionTo('cancelled');
    this.parts.log.info({ job: job.spec.id, placed: job.placements.size }, 'job cancelled');
    const machines = new Set<MachineId>();
    for (const p of [...job.placements.values()]) {
      job.requestStop(p.task, 0, 'cancelled', this.now());
      machines.add(p.machine);
    }
    for (const id of machines) this.emit('due', id);
    this.emit('ended', job);
    this.emit('plan');
  }

  private announceIfEnded(job: Job): void {
    if (job.state === 'active' && job.doneCount === job.spec.tasks) {
      job.transitionTo('closing');
      this.emit('ended', job);
    } else if (job.state === 'cancelled' && job.placements.size === 0) this.emit('ended', job);
  }

  /** The job is over and its task records are gone: nothing here refers to it any more. */
  releaseJob(job: Job): void {
    this.jobs.delete(job.spec.id);
    this.emit('released', job);
  }

  // --- placements ------------------------------------------------------------------------------

  tasksOn(id: MachineId): Iterable<PlacedTask> {
    return this.held.get(id)?.values() ?? [];
  }

  taskCountOn(id: MachineId): number {
    return this.held.get(id)?.size ?? 0;
  }

  /** Whether records or the cloud's list say that the machine was up, whoever has heard it. */
  isKnownToHaveRun(m: Machine): boolean {
    return this.taskCountOn(m.id) > 0 || m.isListedRunning;
  }

  private addPlacement(job: Job, p: Placement): void {
    let on = this.held.get(p.machine);
    if (on === undefined) {
      on = new Map();
      this.held.set(p.machine, on);
    }
    on.set(formatTaskName(job.spec.id, p.task), { job, task: p.task });
    const machine = this.machines.get(p.machine);
    if (machine !== undefined) {
      machine.idleSince = null;
      this.confirmMachine(machine);
    } else this.addMachine(p.machine, '', '', false);
  }

  /** Places a task: an intent, of which nothing is sent before it is durable. */
  placeTask(
    job: Job,
    task: number,
    machine: MachineId,
    session: AgentEpoch,
    shared: Attempt | null,
  ): Placement {
    const p = job.recordIntent(task, machine, session, this.now(), shared);
    this.addPlacement(job, p);
    this.emit('placed', job, task);
    return p;
  }

  /** Takes over a task that its machine reports and no record places. */
  adoptTask(job: Job, t: TaskStatus, machine: MachineId, session: AgentEpoch): void {
    job.adoptPlacement(t.task, machine, session, t.attempt, this.now());
    const p = job.placements.get(t.task);
    if (p === undefined) return;
    this.addPlacement(job, p);
    if (t.phase !== 'exited') job.applyReportedPhase(t.task, t.phase, this.now());
    this.emit('placed', job, t.task);
    this.emit('changed', job);
  }

  /** The intent is durable: the start may go out where there is room. */
  markDurable(job: Job, started: readonly { task: number; attempt: Attempt }[]): void {
    const machines = new Set<MachineId>();
    for (const s of started) {
      job.markDurable(s.task, s.attempt, this.now());
      const p = job.placements.get(s.task);
      if (p?.state === 'queued' || p?.state === 'starting') machines.add(p.machine);
    }
    for (const id of machines) this.emit('due', id);
  }

  /** A task is proven to be off its machine. */
  removePlacement(job: Job, p: Placement, done: boolean, why: string, withMachine = false): void {
    const now = this.now();
    const machine = this.machines.get(p.machine);
    const name = formatTaskName(job.spec.id, p.task);
    this.parts.log.debug({ task: name, try: p.attempt, machine: p.machine, why, state: p.state }, 'task off');
    job.removePlacement(p.task, done, now);
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
      !(withMachine && job.awaitsReplacementTask)
    )
      this.stopGang(job, 0, 'gang');
    this.announceIfEnded(job);
    this.emit('plan');
  }

  /** Gives up a task for good: stopped where it may be on a machine, never started again. */
  abandonTask(job: Job, task: number): void {
    const p = job.placements.get(task);
    if (p !== undefined) {
      job.requestStop(task, 0, 'cancelled', this.now());
      this.emit('due', p.machine);
      return;
    }
    job.abandon(task);
    this.emit('abandoned', job, task);
    this.announceIfEnded(job);
  }

  stopGang(job: Job, graceS: number, reason: StopReason): void {
    const machines = new Set<MachineId>();
    for (const p of job.placements.values()) {
      if (p.stopRequest !== null) continue;
      job.requestStop(p.task, graceS, reason, this.now());
      machines.add(p.machine);
    }
    for (const id of machines) this.emit('due', id);
  }

  /** Everything on the machine is proven gone. */
  removePlacementsOn(id: MachineId, why: string, before: AgentEpoch | null = null): void {
    for (const { job, task } of [...this.tasksOn(id)]) {
      const p = job.placements.get(task);
      if (p !== undefined && p.machine === id && (before === null || p.agentEpoch < before))
        this.removePlacement(job, p, false, why, true);
    }
  }

  // --- machines --------------------------------------------------------------------------------

  get initialFleetUpTo(): string | null {
    return this.standing;
  }

  /** The fleet found at the very first start is known. */
  setInitialFleet(upTo: string): void {
    this.standing = upTo;
    for (const m of this.machines.values()) m.isProvisioned = this.isScaledOut(m.id);
  }

  isScaledOut(id: MachineId): boolean {
    return this.standing !== null && compareMachineIds(id, this.standing) > 0;
  }

  /** A service that started with no machines rents all of them for its work: money is weighed. */
  get minimizesCost(): boolean {
    return this.standing === '';
  }

  private addMachine(id: MachineId, type: string, zone: string, spot: boolean, rented = true): Machine {
    const machine = new Machine(id, type, zone, spot, rented, this.now());
    // Until the machine shows our token, an earlier leader may still answer it up to its horizon.
    machine.latestPossibleRenewalAt = this.parts.previousLeaderRenewsUntil;
    if (this.taskCountOn(id) > 0) machine.idleSince = null;
    this.machines.set(id, machine);
    return machine;
  }

  /**
   * Records loaded before a machine was known carry its id only: its facts are filled in here. `isProven`: whether they
   * come from what can't be older than the machine's end, and not from a report that may have been on its way for long.
   */
  registerMachine(id: MachineId, type: string, zone: string, spot: boolean, isProven = true): Machine {
    const known = this.machines.get(id);
    if (known !== undefined && known.type !== '') {
      if (isProven) this.confirmMachine(known);
      return known;
    }
    const added = this.addMachine(id, type, zone, spot, this.isScaledOut(id));
    // A record places something there.
    added.isConfirmed = isProven || known !== undefined;
    return added;
  }

  /** The machine is there now: it may be placed on. */
  confirmMachine(m: Machine): void {
    if (m.isConfirmed) return;
    m.isConfirmed = true;
    this.emit('plan');
  }

  drainMachine(m: Machine, reason: string): void {
    if (m.state !== 'ready' && m.state !== 'silent' && m.state !== 'booting') return;
    m.drainReason = reason;
    m.transitionTo('draining');
    this.parts.log.info({ machine: m.id, reason }, 'machine drains');
  }

  cancelDrain(m: Machine): void {
    if (m.state !== 'draining' || m.preemptionDeadline !== null) return;
    m.drainReason = '';
    m.transitionTo('ready');
    this.parts.log.info({ machine: m.id }, 'machine is needed after all');
    this.emit('plan');
  }
}

/** Names are in order of creation; a longer name is a later one. */
export function compareMachineIds(a: string, b: string): number {
  return a.length - b.length || (a < b ? -1 : a > b ? 1 : 0);
}
