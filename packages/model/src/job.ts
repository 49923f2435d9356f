/**
 * Jobs: their state, their tasks' placements, and what of it is durable.
 *
 * @module
 */

import type { MonotonicMs } from '@spurbridge/net';
import type { AgentEpoch, Attempt, JobSpec, MachineId, TaskPhase, Version } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';
import { TaskNotPlaceableError, TaskStillPlacedError, UnknownTaskError } from './errors.js';
import { Gang } from './gang.js';
import type { Placement, PlacementState, StopReason } from './placement.js';
import { placementTransitions } from './placement.js';
import { TransitionTable } from './transition-table.js';

type Mutable<T> = { -readonly [K in keyof T]: T[K] };

/** Consecutive tasks of a job that share one record in the key-value store. */
export interface TaskChunk {
  /** The position among the job's chunks. */
  readonly index: number;
  /** The version of the record in the store as last seen. */
  version: Version;
  /** Increased by every change in memory. */
  revision: number;
  /** The newest revision that was committed; the record is durable when it equals `revision`. */
  durableRevision: number;
  /** The highest attempt number given to any of its tasks so far. */
  attemptsIssued: number;
}

/** The state of a job. `closing`: all tasks are done, but the job's record does not say so yet. */
export type JobState = 'active' | 'closing' | 'done' | 'cancelled';

const jobTransitions = new TransitionTable<JobState>('job', {
  active: ['closing', 'cancelled'],
  closing: ['done', 'cancelled'],
  done: [],
  cancelled: [],
});

/** An accepted job and what the leader knows of its tasks. */
export class Job {
  private currentState: JobState = 'active';
  private readonly doneTasks: Uint8Array;
  private readonly placementsByTask = new Map<number, Mutable<Placement>>();
  private doneTaskCount = 0;
  private readonly abandonedTasks = new Set<number>();
  readonly chunks: TaskChunk[];
  /** The state of the gang; null for other kinds of jobs. */
  readonly gang: Gang | null;
  /** Machines on which tasks of this job failed one after another, without a success in between. */
  readonly failedMachines = new Set<MachineId>();
  consecutiveFailures = 0;
  /** No task is placed before this, after failures. */
  backoffUntil = 0 as MonotonicMs;
  /** When a task was first reported to run; null before that. */
  firstStartedAt: MonotonicMs | null = null;
  /** No node confirmed its cancellation before this; null: it is not cancelled, or the time is unknown. */
  cancelledAt: MonotonicMs | null = null;
  /** If it is cancelled, this was confirmed to its user after this time; null: at any time. */
  cancelledAfter: MonotonicMs | null = null;
  /** No lower task is pending: it saves walking over all tasks of a large job for every plan. */
  private firstPendingHint = 0;
  /** Since when the pending tasks of this job have waited. */
  waitingSince: MonotonicMs;

  constructor(
    readonly spec: JobSpec,
    readonly chunkSize: number,
    /** The version of the job's record in the store as last seen. */
    public version: Version,
    readonly submittedAt: MonotonicMs,
    /** The id of the task graph that it is a part of; null for a user's own job. */
    readonly graph: string | null = null,
  ) {
    this.doneTasks = new Uint8Array(spec.tasks);
    this.waitingSince = submittedAt;
    this.gang = spec.kind === 'gang' ? new Gang(spec.tasks) : null;
    this.chunks = Array.from({ length: Math.ceil(spec.tasks / chunkSize) }, (_, index) => ({
      index,
      version: KEY_ABSENT,
      revision: 0,
      durableRevision: 0,
      attemptsIssued: 0,
    }));
  }

  /** The state; `transitionTo` changes it. */
  get state(): JobState {
    return this.currentState;
  }

  /**
   * The only function that changes the job's state; the present state is no change.
   *
   * @throws {InvalidTransitionError}
   */
  transitionTo(next: JobState): void {
    if (next === this.currentState) return;
    jobTransitions.assertAllowed(this.currentState, next);
    this.currentState = next;
  }

  /** Tasks that are done or abandoned. */
  get doneCount(): number {
    return this.doneTaskCount;
  }

  /** Everything that may be on a machine, by task. */
  get placements(): ReadonlyMap<number, Placement> {
    return this.placementsByTask;
  }

  /** Whether the task is done or abandoned: either way it is not started any more. */
  isDone(task: number): boolean {
    return this.doneTasks[task] === 1;
  }

  /** Tasks abandoned without being done: parts of a task graph that failed there or were cancelled. */
  get abandoned(): ReadonlySet<number> {
    return this.abandonedTasks;
  }

  /**
   * Abandons a task that has no placement.
   *
   * @throws {TaskStillPlacedError} when it has one.
   */
  abandon(task: number): void {
    if (this.placementsByTask.has(task)) throw new TaskStillPlacedError(this.spec.id, task);
    if (this.isDone(task)) return;
    this.abandonedTasks.add(task);
    this.chunkOf(task).revision += 1;
    this.markDone(task);
  }

  /** Restores from the record that a task was abandoned; that it is done is restored by `markDone`. */
  restoreAbandoned(task: number): void {
    this.abandonedTasks.add(task);
  }

  /**
   * The chunk whose record the task belongs to.
   *
   * @throws {UnknownTaskError}
   */
  chunkOf(task: number): TaskChunk {
    const chunk = this.chunks[Math.floor(task / this.chunkSize)];
    if (chunk === undefined) throw new UnknownTaskError(this.spec.id, task);
    return chunk;
  }

  /** Whether all changes to the task's chunk are committed. */
  isDurable(task: number): boolean {
    const chunk = this.chunkOf(task);
    return chunk.revision === chunk.durableRevision;
  }

  /** Tasks that are neither done nor may be on a machine. */
  get pendingCount(): number {
    return this.spec.tasks - this.doneTaskCount - this.placementsByTask.size;
  }

  /** At most `limit` of the pending tasks, the lowest first; none unless the job is active. */
  pendingTasks(limit: number): number[] {
    const found: number[] = [];
    if (this.currentState !== 'active') return found;
    // A task that is lost moves the hint back (`removePlacement`), so it may also pass tasks that are on machines.
    while (this.firstPendingHint < this.spec.tasks && !this.isPending(this.firstPendingHint))
      this.firstPendingHint += 1;
    const wanted = Math.min(limit, this.pendingCount);
    for (let task = this.firstPendingHint; task < this.spec.tasks && found.length < wanted; task += 1)
      if (this.isPending(task)) found.push(task);
    return found;
  }

  private isPending(task: number): boolean {
    return this.doneTasks[task] === 0 && !this.placementsByTask.has(task);
  }

  /**
   * Records the intent to run a task on a machine; nothing may be sent before the chunk is durable.
   *
   * @param sharedAttempt - the attempt that all tasks of a gang share; null gives the task an attempt of its own.
   * @throws {TaskNotPlaceableError} when the job is not active, or the task is done or placed already.
   */
  recordIntent(
    task: number,
    machine: MachineId,
    agentEpoch: AgentEpoch,
    now: MonotonicMs,
    sharedAttempt: Attempt | null,
  ): Placement {
    if (this.currentState !== 'active' || this.isDone(task) || this.placementsByTask.has(task))
      throw new TaskNotPlaceableError(this.spec.id, task);
    const chunk = this.chunkOf(task);
    const attempt = sharedAttempt ?? ((chunk.attemptsIssued + 1) as Attempt);
    chunk.attemptsIssued = Math.max(chunk.attemptsIssued, attempt);
    chunk.revision += 1;
    const placement = {
      task,
      machine,
      agentEpoch,
      attempt,
      state: 'intended' as const,
      isRestored: false,
      stateSince: now,
      placedAt: now,
      runningSince: null,
      stopRequest: null,
    };
    this.placementsByTask.set(task, placement);
    this.updateGang();
    return placement;
  }

  private updateGang(): void {
    this.gang?.update(this.placementsByTask, this.doneTaskCount);
  }

  /** Whether the pending tasks of a gang are to replace lost ones while the others are still placed. */
  get awaitsReplacementTask(): boolean {
    return this.gang?.awaitsReplacement(this.placementsByTask, this.doneTaskCount) === true;
  }

  /** The attempt for the next tasks of a gang: the present one while any of its tasks is placed, otherwise a new one. */
  gangAttempt(): Attempt {
    const shared = this.gang?.attempt ?? null;
    if (shared !== null) return shared;
    return (Math.max(...this.chunks.map((chunk) => chunk.attemptsIssued)) + 1) as Attempt;
  }

  /** Restores the version and the attempts of a chunk from its record. */
  restoreChunk(index: number, version: Version, attemptsIssued: number): void {
    const chunk = this.chunks[index];
    if (chunk === undefined) return;
    chunk.version = version;
    chunk.attemptsIssued = attemptsIssued;
  }

  /** Counts a task as done; a task that the job does not have, or that is done already, changes nothing. */
  markDone(task: number): void {
    if (task < this.spec.tasks && this.doneTasks[task] === 0) {
      this.doneTasks[task] = 1;
      this.doneTaskCount += 1;
      this.updateGang();
    }
  }

  /** Restores from a record that a task may be on a machine; an earlier leader may have sent its start. */
  restorePlacement(
    task: number,
    machine: MachineId,
    agentEpoch: AgentEpoch,
    attempt: Attempt,
    now: MonotonicMs,
  ): void {
    this.placementsByTask.set(task, {
      task,
      machine,
      agentEpoch,
      attempt,
      // The tasks of a gang start together, so they do not wait in their machines' queues.
      state: this.gang === null ? 'queued' : 'starting',
      isRestored: true,
      stateSince: now,
      placedAt: now,
      runningSince: null,
      stopRequest: null,
    });
    this.updateGang();
  }

  /** Takes over a task that its machine reports although no record places it there. */
  adoptPlacement(
    task: number,
    machine: MachineId,
    agentEpoch: AgentEpoch,
    attempt: Attempt,
    now: MonotonicMs,
  ): void {
    const chunk = this.chunkOf(task);
    chunk.attemptsIssued = Math.max(chunk.attemptsIssued, attempt);
    chunk.revision += 1;
    this.restorePlacement(task, machine, agentEpoch, attempt, now);
  }

  /** The only function that changes a placement's state. */
  private transitionPlacement(placement: Mutable<Placement>, next: PlacementState, now: MonotonicMs): void {
    if (placement.state === next) return;
    placementTransitions.assertAllowed(placement.state, next);
    placement.state = next;
    placement.stateSince = now;
    if (next === 'running') placement.runningSince ??= now;
    if (next !== 'gone') this.updateGang();
  }

  /** The intent is durable: the task waits in its machine's queue; a task of a gang may start at once. */
  markDurable(task: number, attempt: Attempt, now: MonotonicMs): void {
    const placement = this.placementsByTask.get(task);
    if (placement !== undefined && placement.attempt === attempt && placement.state === 'intended')
      this.transitionPlacement(placement, this.gang === null ? 'queued' : 'starting', now);
  }

  /** Its machine has the resources free: starts may be sent from here on. */
  markStarting(task: number, now: MonotonicMs): void {
    const placement = this.placementsByTask.get(task);
    if (placement?.state === 'queued') this.transitionPlacement(placement, 'starting', now);
  }

  /** Applies what a heartbeat says of the task. */
  applyReportedPhase(task: number, phase: Exclude<TaskPhase, 'exited'>, now: MonotonicMs): void {
    const placement = this.placementsByTask.get(task);
    if (placement === undefined) return;
    this.transitionPlacement(placement, phase, now);
    if (phase === 'running' && this.firstStartedAt === null) this.firstStartedAt = now;
  }

  /** The task is proven not to be on the machine, by the machine, by its agent's epoch or by the cloud. */
  removePlacement(task: number, isDone: boolean, now: MonotonicMs): void {
    const placement = this.placementsByTask.get(task);
    if (placement === undefined) return;
    this.transitionPlacement(placement, 'gone', now);
    this.placementsByTask.delete(task);
    this.chunkOf(task).revision += 1;
    if (isDone) this.markDone(task);
    else {
      this.firstPendingHint = Math.min(this.firstPendingHint, task);
      this.waitingSince = now;
    }
    this.updateGang();
  }

  /** Decides to stop the task's placement; an earlier decision stands, unless the job is cancelled now. */
  requestStop(task: number, graceS: number, reason: StopReason, now: MonotonicMs): void {
    const placement = this.placementsByTask.get(task);
    if (placement === undefined) return;
    // A cancellation overrides a stop with grace: what would be saved is of no use to anybody.
    if (
      placement.stopRequest === null ||
      (reason === 'cancelled' && placement.stopRequest.reason !== 'cancelled')
    )
      placement.stopRequest = { at: now, graceS, reason };
    this.updateGang();
  }
}
