import type { Ms } from '@spurbridge/net';
import type { Attempt, JobSpec, MachineId, Session, TaskPhase, Version } from '@spurbridge/wire';
import { ABSENT } from '@spurbridge/wire';
import { Gang } from './gang.js';
import type { Placement, PlacementState, StopReason } from './placement.js';
import { placementTransitions } from './placement.js';
import { Transitions } from './transition.js';

type Mutable<T> = { -readonly [K in keyof T]: T[K] };

/** One record in the state service holds this many consecutive tasks. */
export interface Chunk {
  readonly index: number;
  version: Version;
  /** Increased by every change in memory; the record is durable when it equals `written`. */
  edition: number;
  written: number;
  /** Attempts given so far. */
  attempts: number;
}

/** active -> done | cancelled. `closing`: all tasks are done, the job's record does not say so yet. */
export type JobState = 'active' | 'closing' | 'done' | 'cancelled';

const jobTransitions = new Transitions<JobState>('job', {
  active: ['closing', 'cancelled'],
  closing: ['done', 'cancelled'],
  done: [],
  cancelled: [],
});

export class Job {
  private phase: JobState = 'active';
  private readonly doneTasks: Uint8Array;
  private readonly live = new Map<number, Mutable<Placement>>();
  private doneTotal = 0;
  private readonly givenUp = new Set<number>();
  readonly chunks: Chunk[];
  /** What holds its tasks together, for a gang. */
  readonly gang: Gang | null;
  /** Consecutive failures of this job's tasks on different machines, without a success between. */
  readonly failedOn = new Set<MachineId>();
  errors = 0;
  notBefore = 0 as Ms;
  firstStartAt: Ms | null = null;
  /** Its cancellation was confirmed no earlier than this, by whichever node; null: it is not cancelled, or nobody knows. */
  cancelledAt: Ms | null = null;
  /** Its cancellation was confirmed to its user after this, if it is cancelled; null: it may have been at any time. */
  cancelledAfter: Ms | null = null;
  /** Lowest task that may be pending: a cursor for jobs with very many tasks. */
  private cursor = 0;
  /** Since when tasks of this job have waited. */
  waitingSince: Ms;

  constructor(
    readonly spec: JobSpec,
    readonly chunkSize: number,
    public version: Version,
    readonly submittedAt: Ms,
    /** The task graph that it is a part of, or null. */
    readonly graph: string | null = null,
  ) {
    this.doneTasks = new Uint8Array(spec.tasks);
    this.waitingSince = submittedAt;
    this.gang = spec.kind === 'gang' ? new Gang(spec.tasks) : null;
    this.chunks = Array.from({ length: Math.ceil(spec.tasks / chunkSize) }, (_, index) => ({
      index,
      version: ABSENT,
      edition: 0,
      written: 0,
      attempts: 0,
    }));
  }

  get state(): JobState {
    return this.phase;
  }

  /** The only function that changes the job's state. */
  enter(next: JobState): void {
    if (next === this.phase) return;
    jobTransitions.check(this.phase, next);
    this.phase = next;
  }

  get doneCount(): number {
    return this.doneTotal;
  }

  get placements(): ReadonlyMap<number, Placement> {
    return this.live;
  }

  /** Done, or given up: either way nothing is to be started for it any more. */
  isDone(task: number): boolean {
    return this.doneTasks[task] === 1;
  }

  /** Tasks given up without being done: parts of a task graph that failed there or were cancelled. */
  get abandoned(): ReadonlySet<number> {
    return this.givenUp;
  }

  /** Gives a task up that is on no machine. */
  abandon(task: number): void {
    if (this.live.has(task)) throw new Error(`${this.spec.id}/${task} may still be on a machine`);
    if (this.isDone(task)) return;
    this.givenUp.add(task);
    this.chunkOf(task).edition += 1;
    this.restoreDone(task);
  }

  restoreAbandoned(task: number): void {
    this.givenUp.add(task);
  }

  chunkOf(task: number): Chunk {
    const chunk = this.chunks[Math.floor(task / this.chunkSize)];
    if (chunk === undefined) throw new Error(`${this.spec.id} has no task ${task}`);
    return chunk;
  }

  isDurable(task: number): boolean {
    const chunk = this.chunkOf(task);
    return chunk.edition === chunk.written;
  }

  get pendingCount(): number {
    return this.spec.tasks - this.doneTotal - this.live.size;
  }

  /** Up to `most` tasks that neither are done nor may be on a machine. */
  pending(most: number): number[] {
    const found: number[] = [];
    if (this.phase !== 'active') return found;
    const isPending = (t: number): boolean => this.doneTasks[t] === 0 && !this.live.has(t);
    // A task that is lost moves the cursor back (`gone`), so it may pass those on machines too: a plan
    // must not walk over a huge job's thousands of tasks each time.
    while (this.cursor < this.spec.tasks && !isPending(this.cursor)) this.cursor += 1;
    let left = Math.min(most, this.pendingCount);
    for (let t = this.cursor; t < this.spec.tasks && left > 0; t += 1)
      if (isPending(t)) {
        found.push(t);
        left -= 1;
      }
    return found;
  }

  /** Records the intent to run a task; nothing may be sent before the chunk is durable. */
  intend(
    task: number,
    machine: MachineId,
    session: Session,
    now: Ms,
    sharedAttempt: Attempt | null,
  ): Placement {
    if (this.phase !== 'active' || this.isDone(task) || this.live.has(task))
      throw new Error(`${this.spec.id}/${task} cannot be placed`);
    const chunk = this.chunkOf(task);
    const attempt = sharedAttempt ?? ((chunk.attempts + 1) as Attempt);
    chunk.attempts = Math.max(chunk.attempts, attempt);
    chunk.edition += 1;
    const placement = {
      task,
      machine,
      session,
      attempt,
      state: 'intended' as const,
      restored: false,
      since: now,
      placedAt: now,
      runningAt: null,
      stop: null,
    };
    this.live.set(task, placement);
    this.followGang();
    return placement;
  }

  private followGang(): void {
    this.gang?.follow(this.live, this.doneTotal);
  }

  /** Whether tasks that wait are to complete a gang whose others are there already. */
  get awaitsReplacement(): boolean {
    return this.gang?.awaitsReplacement(this.live, this.doneTotal) === true;
  }

  /** The attempt that the tasks of a gang share: the present one while any of them is there. */
  gangAttempt(): Attempt {
    const shared = this.gang?.attempt ?? null;
    if (shared !== null) return shared;
    return (Math.max(...this.chunks.map((c) => c.attempts)) + 1) as Attempt;
  }

  restoreChunk(index: number, version: Version, attempts: number): void {
    const chunk = this.chunks[index];
    if (chunk === undefined) return;
    chunk.version = version;
    chunk.attempts = attempts;
  }

  restoreDone(task: number): void {
    if (task < this.spec.tasks && this.doneTasks[task] === 0) {
      this.doneTasks[task] = 1;
      this.doneTotal += 1;
      this.followGang();
    }
  }

  restorePlacement(task: number, machine: MachineId, session: Session, attempt: Attempt, now: Ms): void {
    this.live.set(task, {
      task,
      machine,
      session,
      attempt,
      // A gang's tasks start together, whatever there is room for.
      state: this.gang === null ? 'queued' : 'starting',
      restored: true,
      since: now,
      placedAt: now,
      runningAt: null,
      stop: null,
    });
    this.followGang();
  }

  /** Takes over what its machine reports and no record placed. */
  adopt(task: number, machine: MachineId, session: Session, attempt: Attempt, now: Ms): void {
    const chunk = this.chunkOf(task);
    chunk.attempts = Math.max(chunk.attempts, attempt);
    chunk.edition += 1;
    this.restorePlacement(task, machine, session, attempt, now);
  }

  /** The only function that changes a placement's state. */
  private move(placement: Mutable<Placement>, next: PlacementState, now: Ms): void {
    if (placement.state === next) return;
    placementTransitions.check(placement.state, next);
    placement.state = next;
    placement.since = now;
    if (next === 'running') placement.runningAt ??= now;
    if (next !== 'gone') this.followGang();
  }

  /** The intent is durable: it may start once its machine has room; a gang's tasks at once. */
  durable(task: number, attempt: Attempt, now: Ms): void {
    const p = this.live.get(task);
    if (p !== undefined && p.attempt === attempt && p.state === 'intended')
      this.move(p, this.gang === null ? 'queued' : 'starting', now);
  }

  /** Its machine has room: starts may go out from here on. */
  roomFound(task: number, now: Ms): void {
    const p = this.live.get(task);
    if (p?.state === 'queued') this.move(p, 'starting', now);
  }

  reported(task: number, phase: Exclude<TaskPhase, 'exited'>, now: Ms): void {
    const p = this.live.get(task);
    if (p === undefined) return;
    this.move(p, phase, now);
    if (phase === 'running' && this.firstStartAt === null) this.firstStartAt = now;
  }

  /** The task is not on the machine (any more): proven by the machine, its session or the cloud. */
  gone(task: number, done: boolean, now: Ms): void {
    const p = this.live.get(task);
    if (p === undefined) return;
    this.move(p, 'gone', now);
    this.live.delete(task);
    this.chunkOf(task).edition += 1;
    if (done) this.restoreDone(task);
    else {
      this.cursor = Math.min(this.cursor, task);
      this.waitingSince = now;
    }
    this.followGang();
  }

  askStop(task: number, graceS: number, reason: StopReason, now: Ms): void {
    const p = this.live.get(task);
    if (p === undefined) return;
    // A cancellation overrides a stop with grace: nobody has any use for what would be saved.
    if (p.stop === null || (reason === 'cancelled' && p.stop.reason !== 'cancelled'))
      p.stop = { at: now, graceS, reason };
    this.followGang();
  }

  doneRanges(chunk: Chunk): string {
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
