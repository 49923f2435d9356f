import type { MonotonicMs } from '@spurbridge/net';
import type { Attempt, JobSpec, MachineId, AgentEpoch, TaskPhase, Version } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';
import { Gang } from './gang.js';
import type { Placement, PlacementState, StopReason } from './placement.js';
import { placementTransitions } from './placement.js';
import { TransitionTable } from './transition-table.js';

type Mutable<T> = { -readonly [K in keyof T]: T[K] };

/** One record in the state service holds this many consecutive tasks. */
export interface TaskChunk {
  readonly index: number;
  version: Version;
  /** Increased by every change in memory; the record is durable when it equals `written`. */
  revision: number;
  durableRevision: number;
  /** Attempts given so far. */
  attemptsIssued: number;
}

/** active -> done | cancelled. `closing`: all tasks are done, the job's record does not say so yet. */
export type JobState = 'active' | 'closing' | 'done' | 'cancelled';

const jobTransitions = new TransitionTable<JobState>('job', {
  active: ['closing', 'cancelled'],
  closing: ['done', 'cancelled'],
  done: [],
  cancelled: [],
});

export class Job {
  private currentState: JobState = 'active';
  private readonly doneTasks: Uint8Array;
  private readonly placementsByTask = new Map<number, Mutable<Placement>>();
  private doneTaskCount = 0;
  private readonly abandonedTasks = new Set<number>();
  readonly chunks: TaskChunk[];
  /** What holds its tasks together, for a gang. */
  readonly gang: Gang | null;
  /** Consecutive failures of this job's tasks on different machines, without a success between. */
  readonly failedMachines = new Set<MachineId>();
  consecutiveFailures = 0;
  backoffUntil = 0 as MonotonicMs;
  firstStartedAt: MonotonicMs | null = null;
  /** Its cancellation was confirmed no earlier than this, by whichever node; null: it is not cancelled, or nobody knows. */
  cancelledAt: MonotonicMs | null = null;
  /** Its cancellation was confirmed to its user after this, if it is cancelled; null: it may have been at any time. */
  cancelledAfter: MonotonicMs | null = null;
  /** Lowest task that may be pending: a cursor for jobs with very many tasks. */
  private firstPendingHint = 0;
  /** Since when tasks of this job have waited. */
  waitingSince: MonotonicMs;

  constructor(
    readonly spec: JobSpec,
    readonly chunkSize: number,
    public version: Version,
    readonly submittedAt: MonotonicMs,
    /** The task graph that it is a part of, or null. */
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

  get state(): JobState {
    return this.currentState;
  }

  /** The only function that changes the job's state. */
  transitionTo(next: JobState): void {
    if (next === this.currentState) return;
    jobTransitions.assertAllowed(this.currentState, next);
    this.currentState = next;
  }

  get doneCount(): number {
    return this.doneTaskCount;
  }

  get placements(): ReadonlyMap<number, Placement> {
    return this.placementsByTask;
  }

  /** Done, or given up: either way nothing is to be started for it any more. */
  isDone(task: number): boolean {
    return this.doneTasks[task] === 1;
  }

  /** Tasks given up without being done: parts of a task graph that failed there or were cancelled. */
  get abandoned(): ReadonlySet<number> {
    return this.abandonedTasks;
  }

  /** Gives a task up that is on no machine. */
  abandon(task: number): void {
    if (this.placementsByTask.has(task)) throw new Error(`${this.spec.id}/${task} may still be on a machine`);
    if (this.isDone(task)) return;
    this.abandonedTasks.add(task);
    this.chunkOf(task).revision += 1;
    this.markDone(task);
  }

  restoreAbandoned(task: number): void {
    this.abandonedTasks.add(task);
  }

  chunkOf(task: number): TaskChunk {
    const chunk = this.chunks[Math.floor(task / this.chunkSize)];
    if (chunk === undefined) throw new Error(`${this.spec.id} has no task ${task}`);
    return chunk;
  }

  isDurable(task: number): boolean {
    const chunk = this.chunkOf(task);
    return chunk.revision === chunk.durableRevision;
  }

  get pendingCount(): number {
    return this.spec.tasks - this.doneTaskCount - this.placementsByTask.size;
  }

  /** Up to `most` tasks that neither are done nor may be on a machine. */
  pendingTasks(most: number): number[] {
    const found: number[] = [];
    if (this.currentState !== 'active') return found;
    const isPending = (t: number): boolean => this.doneTasks[t] === 0 && !this.placementsByTask.has(t);
    // A task that is lost moves the cursor back (`gone`), so it may pass those on machines too: a plan
    // must not walk over a huge job's thousands of tasks each time.
    while (this.firstPendingHint < this.spec.tasks && !isPending(this.firstPendingHint))
      this.firstPendingHint += 1;
    let left = Math.min(most, this.pendingCount);
    for (let t = this.firstPendingHint; t < this.spec.tasks && left > 0; t += 1)
      if (isPending(t)) {
        found.push(t);
        left -= 1;
      }
    return found;
  }

  /** Records the intent to run a task; nothing may be sent before the chunk is durable. */
  recordIntent(
    task: number,
    machine: MachineId,
    session: AgentEpoch,
    now: MonotonicMs,
    sharedAttempt: Attempt | null,
  ): Placement {
    if (this.currentState !== 'active' || this.isDone(task) || this.placementsByTask.has(task))
      throw new Error(`${this.spec.id}/${task} cannot be placed`);
    const chunk = this.chunkOf(task);
    const attempt = sharedAttempt ?? ((chunk.attemptsIssued + 1) as Attempt);
    chunk.attemptsIssued = Math.max(chunk.attemptsIssued, attempt);
    chunk.revision += 1;
    const placement = {
      task,
      machine,
      agentEpoch: session,
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

  /** Whether tasks that wait are to complete a gang whose others are there already. */
  get awaitsReplacementTask(): boolean {
    return this.gang?.awaitsReplacement(this.placementsByTask, this.doneTaskCount) === true;
  }

  /** The attempt that the tasks of a gang share: the present one while any of them is there. */
  gangAttempt(): Attempt {
    const shared = this.gang?.attempt ?? null;
    if (shared !== null) return shared;
    return (Math.max(...this.chunks.map((c) => c.attemptsIssued)) + 1) as Attempt;
  }

  restoreChunk(index: number, version: Version, attempts: number): void {
    const chunk = this.chunks[index];
    if (chunk === undefined) return;
    chunk.version = version;
    chunk.attemptsIssued = attempts;
  }

  markDone(task: number): void {
    if (task < this.spec.tasks && this.doneTasks[task] === 0) {
      this.doneTasks[task] = 1;
      this.doneTaskCount += 1;
      this.updateGang();
    }
  }

  restorePlacement(
    task: number,
    machine: MachineId,
    session: AgentEpoch,
    attempt: Attempt,
    now: MonotonicMs,
  ): void {
    this.placementsByTask.set(task, {
      task,
      machine,
      agentEpoch: session,
      attempt,
      // A gang's tasks start together, whatever there is room for.
      state: this.gang === null ? 'queued' : 'starting',
      isRestored: true,
      stateSince: now,
      placedAt: now,
      runningSince: null,
      stopRequest: null,
    });
    this.updateGang();
  }

  /** Takes over what its machine reports and no record placed. */
  adoptPlacement(
    task: number,
    machine: MachineId,
    session: AgentEpoch,
    attempt: Attempt,
    now: MonotonicMs,
  ): void {
    const chunk = this.chunkOf(task);
    chunk.attemptsIssued = Math.max(chunk.attemptsIssued, attempt);
    chunk.revision += 1;
    this.restorePlacement(task, machine, session, attempt, now);
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

  /** The intent is durable: it may start once its machine has room; a gang's tasks at once. */
  markDurable(task: number, attempt: Attempt, now: MonotonicMs): void {
    const p = this.placementsByTask.get(task);
    if (p !== undefined && p.attempt === attempt && p.state === 'intended')
      this.transitionPlacement(p, this.gang === null ? 'queued' : 'starting', now);
  }

  /** Its machine has room: starts may go out from here on. */
  markStarting(task: number, now: MonotonicMs): void {
    const p = this.placementsByTask.get(task);
    if (p?.state === 'queued') this.transitionPlacement(p, 'starting', now);
  }

  applyReportedPhase(task: number, phase: Exclude<TaskPhase, 'exited'>, now: MonotonicMs): void {
    const p = this.placementsByTask.get(task);
    if (p === undefined) return;
    this.transitionPlacement(p, phase, now);
    if (phase === 'running' && this.firstStartedAt === null) this.firstStartedAt = now;
  }

  /** The task is not on the machine (any more): proven by the machine, its session or the cloud. */
  removePlacement(task: number, done: boolean, now: MonotonicMs): void {
    const p = this.placementsByTask.get(task);
    if (p === undefined) return;
    this.transitionPlacement(p, 'gone', now);
    this.placementsByTask.delete(task);
    this.chunkOf(task).revision += 1;
    if (done) this.markDone(task);
    else {
      this.firstPendingHint = Math.min(this.firstPendingHint, task);
      this.waitingSince = now;
    }
    this.updateGang();
  }

  requestStop(task: number, graceS: number, reason: StopReason, now: MonotonicMs): void {
    const p = this.placementsByTask.get(task);
    if (p === undefined) return;
    // A cancellation overrides a stop with grace: nobody has any use for what would be saved.
    if (p.stopRequest === null || (reason === 'cancelled' && p.stopRequest.reason !== 'cancelled'))
      p.stopRequest = { at: now, graceS, reason };
    this.updateGang();
  }

  formatDoneRanges(chunk: TaskChunk): string {
    const parts: string[] = [];
    const end = Math.min(this.spec.tasks, (chunk.index + 1) * this.chunkSize);
    for (let t = chunk.index * this.chunkSize; t < end; t += 1) {
      if (this.doneTasks[t] === 0) continue;
      let last = t;
      while (last + 1 < end && this.doneTasks[last + 1] === 1) last += 1;
      parts.push(last === t ? `${t}` : `${t}-${last}`);
      t = last;
    }
    return parts.join(',');
  }
}
