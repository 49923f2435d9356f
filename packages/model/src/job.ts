/**
 * Jobs: their state, the placements of their tasks, and which changes are durable.
 *
 * @module
 */

import type { MonotonicMs } from '@spurbridge/net';
import type { AgentEpoch, Attempt, JobSpec, MachineId, TaskPhase, Version } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';
import { TaskNotPlaceableError, TaskStillPlacedError, UnknownTaskError } from './errors.js';
import { Gang } from './gang.js';
import { MachineExclusions } from './machine-exclusions.js';
import type { Placement, PlacementState, StopReason } from './placement.js';
import { placementTransitions } from './placement.js';
import { TransitionTable } from './transition-table.js';

type Mutable<T> = { -readonly [K in keyof T]: T[K] };

/** Consecutive tasks of a job that share one record in the key-value store. */
export interface TaskChunk {
  /** The index among the job's chunks. */
  readonly index: number;
  /** The last known version of the record in the store. */
  version: Version;
  /** Incremented by every change in memory. */
  revision: number;
  /** The latest revision that was committed; the record is durable if this equals `revision`. */
  durableRevision: number;
  /** The highest attempt number used by any of its tasks. */
  attemptsIssued: number;
}

/** The state of a job. `closing`: all tasks are done, but the job's record is not updated yet. */
export type JobState = 'active' | 'closing' | 'done' | 'cancelled';

const jobTransitions = new TransitionTable<JobState>('job', {
  active: ['closing', 'cancelled'],
  closing: ['done', 'cancelled'],
  done: [],
  cancelled: [],
});

/** An accepted job and the leader's state of its tasks. */
export class Job {
  private currentState: JobState = 'active';
  private readonly doneTasks: Uint8Array;
  private readonly placementsByTask = new Map<number, Mutable<Placement>>();
  private doneTaskCount = 0;
  private readonly abandonedTasks = new Set<number>();
  readonly chunks: TaskChunk[];
  /** The state of the gang; null for other kinds of jobs. */
  readonly gang: Gang | null;
  /** Machines on which tasks of this job failed consecutively, without a success in between. */
  readonly machineExclusions = new MachineExclusions();
  consecutiveFailures = 0;
  /** Backoff after failures: no task is placed before this time. */
  backoffUntil = 0 as MonotonicMs;
  /** When a task was first reported as running; null before that. */
  firstStartedAt: MonotonicMs | null = null;
  /** Lower bound of the time at which its cancellation was confirmed; null if not cancelled or if unknown. */
  cancelledAt: MonotonicMs | null = null;
  /** Its cancellation, if any, was confirmed to the user after this time; null if no lower bound is known. */
  cancelledAfter: MonotonicMs | null = null;
  /** No task below this index is pending. Avoids iterating over all tasks of a large job for every plan. */
  private firstPendingHint = 0;
  /** The time since which the job's pending tasks have been waiting. */
  waitingSince: MonotonicMs;

  constructor(
    readonly spec: JobSpec,
    readonly chunkSize: number,
    /** The last known version of the job's record in the store. */
    public version: Version,
    readonly submittedAt: MonotonicMs,
    /** The id of the task graph that it belongs to; null for a job submitted directly by a user. */
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

  /** The state; only `transitionTo` changes it. */
  get state(): JobState {
    return this.currentState;
  }

  /**
   * The only function that changes the job's state. A transition to the present state has no effect.
   *
   * @throws {InvalidTransitionError}
   */
  transitionTo(next: JobState): void {
    if (next === this.currentState) return;
    jobTransitions.assertAllowed(this.currentState, next);
    this.currentState = next;
  }

  /** The number of tasks that are done or abandoned. */
  get doneCount(): number {
    return this.doneTaskCount;
  }

  /** The placements not proven to be gone, by task. */
  get placements(): ReadonlyMap<number, Placement> {
    return this.placementsByTask;
  }

  /** Whether the task is done or abandoned: in both cases it is never started again. */
  isDone(task: number): boolean {
    return this.doneTasks[task] === 1;
  }

  /** Tasks abandoned without being done: tasks of a task graph that failed there or were cancelled. */
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

  /** Restores from the record that a task was abandoned; `markDone` restores that it is done. */
  restoreAbandoned(task: number): void {
    this.abandonedTasks.add(task);
  }

  /**
   * The chunk that the task belongs to.
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

  /** The number of tasks that are neither done nor placed. */
  get pendingCount(): number {
    return this.spec.tasks - this.doneTaskCount - this.placementsByTask.size;
  }

  /** At most `limit` pending tasks, lowest index first; none unless the job is active. */
  pendingTasks(limit: number): number[] {
    const found: number[] = [];
    if (this.currentState !== 'active') return found;
    // The hint may also pass placed tasks, because `removePlacement` moves it back when a task is lost.
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
   * Creates a placement with the intent to run a task on a machine. No start may be sent before the chunk is
   * durable.
   *
   * @param sharedAttempt - the attempt that all tasks of a gang share; null gives the task an attempt of its
   * own.
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
    return this.addPlacement({ task, machine, agentEpoch, attempt, placedAt: now }, 'intended', false);
  }

  /** Whether a lost task of a gang may be replaced while the other tasks stay placed. */
  get awaitsReplacementTask(): boolean {
    return this.gang?.awaitsReplacement === true;
  }

  /**
   * The attempt for the next tasks of a gang: the present one while any task is placed, otherwise a new one.
   */
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

  /** Marks a task as done. An unknown task, or one that is done already, has no effect. */
  markDone(task: number): void {
    if (task < this.spec.tasks && this.doneTasks[task] === 0) {
      this.doneTasks[task] = 1;
      this.doneTaskCount += 1;
      this.gang?.recordDone(this.doneTaskCount);
    }
  }

  /** Restores a placement from a record; an earlier leader may have sent its start. */
  restorePlacement(
    task: number,
    machine: MachineId,
    agentEpoch: AgentEpoch,
    attempt: Attempt,
    now: MonotonicMs,
  ): void {
    this.addPlacement({ task, machine, agentEpoch, attempt, placedAt: now }, this.durableState, true);
  }

  /** The state of a durable placement. The tasks of a gang start together: they do not wait in machines' queues. */
  private get durableState(): 'queued' | 'starting' {
    return this.gang === null ? 'queued' : 'starting';
  }

  private addPlacement(
    placed: Pick<Placement, 'task' | 'machine' | 'agentEpoch' | 'attempt' | 'placedAt'>,
    state: PlacementState,
    mayHaveEarlierStart: boolean,
  ): Placement {
    const placement: Mutable<Placement> = {
      ...placed,
      state,
      mayHaveEarlierStart,
      stateSince: placed.placedAt,
      runningSince: null,
      stopRequest: null,
    };
    this.placementsByTask.set(placement.task, placement);
    this.gang?.updatePlacement(placement.task, placement);
    return placement;
  }

  /**
   * Records that no start of a restored placement by an earlier leader can take effect any more: its machine does not
   * know the task, and rejects the tokens of earlier leaders.
   */
  ruleOutEarlierStart(task: number): void {
    const placement = this.placementsByTask.get(task);
    if (placement !== undefined) placement.mayHaveEarlierStart = false;
  }

  /** Adopts a task that its machine reports although no record places it there. */
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
    if (next !== 'gone') this.gang?.updatePlacement(placement.task, placement);
  }

  /** Marks an intent as durable: the task is now queued on its machine; a task of a gang may start immediately. */
  markDurable(task: number, attempt: Attempt, now: MonotonicMs): void {
    const placement = this.placementsByTask.get(task);
    if (placement !== undefined && placement.attempt === attempt && placement.state === 'intended')
      this.transitionPlacement(placement, this.durableState, now);
  }

  /** Marks a queued task as starting: its machine has free resources, and starts may be sent from now on. */
  markStarting(task: number, now: MonotonicMs): void {
    const placement = this.placementsByTask.get(task);
    if (placement?.state === 'queued') this.transitionPlacement(placement, 'starting', now);
  }

  /** Applies the task's status from a heartbeat. */
  applyReportedPhase(task: number, phase: Exclude<TaskPhase, 'exited'>, now: MonotonicMs): void {
    const placement = this.placementsByTask.get(task);
    if (placement === undefined) return;
    this.transitionPlacement(placement, phase, now);
    if (phase === 'running' && this.firstStartedAt === null) this.firstStartedAt = now;
  }

  /**
   * Removes the placement of a task that is proven not to be on the machine. The proof comes from the machine,
   * from its agent's epoch or from the cloud.
   */
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
    this.gang?.updatePlacement(task, null);
  }

  /**
   * Records the decision to stop the task's placement. An earlier decision is kept, unless the job is
   * cancelled now.
   */
  requestStop(task: number, graceS: number, reason: StopReason, now: MonotonicMs): void {
    const placement = this.placementsByTask.get(task);
    if (placement === undefined) return;
    // A cancellation overrides a graceful eviction, because the checkpoint would not be used.
    if (
      placement.stopRequest === null ||
      (reason === 'cancelled' && placement.stopRequest.reason !== 'cancelled')
    )
      placement.stopRequest = { at: now, graceS, reason };
    this.gang?.updatePlacement(task, placement);
  }
}
