import { TransitionTable } from '@spurbridge/model';
import type { Batch, BatchId, GraphId, GraphTaskId, TaskShape } from '@spurbridge/wire';
import { formatGraphTaskId, parseGraphTaskId } from '@spurbridge/wire';

/**
 * waiting -> ready -> submitted -> done | failed. `submitted`: it is part of a cotask that the scheduler has.
 * `cancelling`: cancelled, and may still be on a machine. done -> waiting | ready: its result is lost and
 * something still needs it. A ready task waits again when a result that it takes is lost.
 */
export type TaskState = 'waiting' | 'ready' | 'submitted' | 'cancelling' | 'done' | 'failed' | 'cancelled';

const STATES: readonly TaskState[] = [
  'waiting',
  'ready',
  'submitted',
  'cancelling',
  'done',
  'failed',
  'cancelled',
];

const transitions = new TransitionTable<TaskState>('graph task', {
  waiting: ['ready', 'failed', 'cancelled'],
  ready: ['waiting', 'submitted', 'failed', 'cancelled'],
  submitted: ['waiting', 'ready', 'cancelling', 'done', 'failed'],
  cancelling: ['cancelled'],
  done: ['waiting'],
  failed: [],
  cancelled: [],
});

/** none -> kept -> dropped | lost. `dropped`: nothing refers to it any more. */
export type ResultState = 'none' | 'kept' | 'dropped' | 'lost';

/** Why a task ended without a result. */
export interface TaskFailure {
  readonly kind: 'error' | 'upstream' | 'lineage';
  /** The task that failed first; the task itself where it is the one. */
  readonly first: GraphTaskId;
  /** From the task that failed first to this one. */
  readonly chain: readonly GraphTaskId[];
}

/** One task; all lists hold indices of tasks. */
interface Task {
  readonly batch: BatchId;
  readonly position: number;
  readonly shape: TaskShape;
  readonly deps: readonly number[];
  readonly parent: number;
  readonly consumers: number[];
  readonly children: number[];
  state: TaskState;
  result: ResultState;
  /** Results that it takes and that are not kept. */
  unmet: number;
  /** Consumers that are not over: each still refers to the result. */
  open: number;
  held: boolean;
  /** Failures so far. */
  errors: number;
  /** The one whose end ended this one, or -1. */
  endedBy: number;
  failure: TaskFailure['kind'] | null;
  /** Estimated seconds of the longest chain of tasks that wait for it, its own included. */
  tailS: number;
}

function isOver(s: TaskState): boolean {
  return s === 'done' || s === 'failed' || s === 'cancelled';
}

/** An unknown task or batch is named, or one that cannot take part; the graph stays as it was. */
export class GraphError extends Error {}

/**
 * One graph of tasks: what is ready, what ended and why, which results are still needed. It decides nothing of
 * machines: ready tasks are handed out, and whoever places them says what became of them.
 */
export class TaskGraph {
  private readonly tasks: Task[] = [];
  private readonly batches = new Map<BatchId, { readonly first: number; readonly size: number }>();
  private readonly counted: Record<TaskState, number> = {
    waiting: 0,
    ready: 0,
    submitted: 0,
    cancelling: 0,
    done: 0,
    failed: 0,
    cancelled: 0,
  };
  private readonly readyNow = new Set<number>();
  /** Tasks changed since they were last asked for: what a record must follow. */
  private dirty = new Set<number>();
  /** Results that nobody refers to any more, since last asked for. */
  private droppedNow: number[] = [];
  private chainsStale = false;

  constructor(readonly id: GraphId) {}

  get size(): number {
    return this.tasks.length;
  }

  get counts(): Readonly<Record<TaskState, number>> {
    return this.counted;
  }

  /** Whether no task can change any more but by a lost result. */
  get isComplete(): boolean {
    const { done, failed, cancelled } = this.counted;
    return done + failed + cancelled === this.tasks.length;
  }

  hasBatch(batch: BatchId): boolean {
    return this.batches.has(batch);
  }

  private at(i: number): Task {
    return this.tasks[i] as Task;
  }

  private index(id: GraphTaskId): number {
    const { batch, task } = parseGraphTaskId(id);
    const b = this.batches.get(batch);
    if (b === undefined || task >= b.size) throw new GraphError(`${id}: no such task in ${this.id}`);
    return b.first + task;
  }

  private name(i: number): GraphTaskId {
    const t = this.at(i);
    return formatGraphTaskId(t.batch, t.position);
  }

  /** The only function that changes a task's state. */
  private move(i: number, next: TaskState): void {
    const t = this.at(i);
    if (t.state === next) return;
    transitions.assertAllowed(t.state, next);
    this.counted[t.state] -= 1;
    this.counted[next] += 1;
    if (t.state === 'ready') this.readyNow.delete(i);
    if (next === 'ready') this.readyNow.add(i);
    const [before, after] = [isOver(t.state), isOver(next)];
    t.state = next;
    this.dirty.add(i);
    if (before === after) return;
    for (const d of t.deps) {
      this.at(d).open += after ? -1 : 1;
      if (after) this.dropUnneeded(d);
    }
  }

  // --- growing ---------------------------------------------------------------------------------

  /**
   * Adds a batch whole. The same batch again changes nothing.
   *
   * @throws GraphError naming an unknown task that it refers to
   */
  addBatch(batch: Batch): void {
    if (this.batches.has(batch.id)) return;
    const first = this.insert(batch);
    // Those that can never run end first: nothing runs again for their sake.
    for (let i = first; i < this.tasks.length; i += 1) this.bury(i);
    for (let i = first; i < this.tasks.length; i += 1) this.begin(i);
  }

  /** Adds tasks without deciding what they have come to; the index of the first one. */
  private insert(batch: Batch): number {
    const first = this.tasks.length;
    const local = (id: GraphTaskId): number => {
      const on = parseGraphTaskId(id);
      if (on.batch !== batch.id) return this.index(id);
      if (on.task >= batch.tasks.length) throw new GraphError(`${id}: no such task in ${this.id}`);
      return first + on.task;
    };
    const parent = batch.parent === null ? -1 : this.index(batch.parent);
    const deps = batch.tasks.map((t) => t.after.map(local));
    this.batches.set(batch.id, { first, size: batch.tasks.length });
    batch.tasks.forEach((t, position) => {
      const shape = batch.shapes[t.shape] as TaskShape;
      this.tasks.push({
        batch: batch.id,
        position,
        shape,
        deps: deps[position] as number[],
        parent,
        consumers: [],
        children: [],
        state: 'waiting',
        result: 'none',
        unmet: 0,
        open: 0,
        held: t.held,
        errors: 0,
        endedBy: -1,
        failure: null,
        tailS: shape.estimateS,
      });
      this.counted.waiting += 1;
      this.dirty.add(first + position);
      if (parent >= 0) this.at(parent).children.push(first + position);
    });
    for (let i = first; i < this.tasks.length; i += 1)
      for (const d of this.at(i).deps) {
        this.at(d).consumers.push(i);
        this.at(d).open += 1;
        if (this.at(d).result !== 'kept') this.at(i).unmet += 1;
      }
    this.chainsStale = true;
    return first;
  }

  /** A new task whose parent or whose results can never be there is over at once. */
  private bury(i: number): void {
    const t = this.at(i);
    if (t.state !== 'waiting') return;
    if (t.parent >= 0 && ['cancelled', 'cancelling'].includes(this.at(t.parent).state))
      return this.end(i, 'cancelled', t.parent, null);
    for (const d of t.deps) {
      const on = this.at(d);
      if (on.state === 'failed') return this.end(i, 'failed', d, 'upstream');
      if (on.state === 'cancelled' || on.state === 'cancelling') return this.end(i, 'cancelled', d, null);
    }
  }

  /** A new task that can run needs what it takes. */
  private begin(i: number): void {
    const t = this.at(i);
    if (t.state !== 'waiting') return;
    for (const d of t.deps) this.revive(d);
    this.settle(i);
  }

  /**
   * Works out the chains anew where batches have come since: for all at once, since a batch at the end of a
   * long chain lengthens every one before it.
   */
  private measureChains(): void {
    if (!this.chainsStale) return;
    this.chainsStale = false;
    for (const t of this.tasks) t.tailS = t.shape.estimateS;
    // Tasks mostly take results of earlier ones, so that one pass from the end does; within a batch they may
    // take those of later ones.
    for (let changed = true; changed;) {
      changed = false;
      for (let i = this.tasks.length - 1; i >= 0; i -= 1) {
        const t = this.at(i);
        for (const d of t.deps) {
          const on = this.at(d);
          if (on.shape.estimateS + t.tailS <= on.tailS) continue;
          on.tailS = on.shape.estimateS + t.tailS;
          if (d > i) changed = true;
        }
      }
    }
  }

  /** A task that waits or is ready is the one or the other by what it takes. */
  private settle(i: number): void {
    const t = this.at(i);
    if (t.state === 'waiting' && t.unmet === 0) this.move(i, 'ready');
    else if (t.state === 'ready' && t.unmet > 0) this.move(i, 'waiting');
  }

  // --- running ---------------------------------------------------------------------------------

  /** Tasks that can run now, the longest chain behind them first. */
  readyTasks(): GraphTaskId[] {
    this.measureChains();
    return [...this.readyNow]
      .sort((a, b) => this.at(b).tailS - this.at(a).tailS || a - b)
      .map((i) => this.name(i));
  }

  markSubmitted(id: GraphTaskId): void {
    this.move(this.index(id), 'submitted');
  }

  /** The task ran to its end; one that was cancelled meanwhile stays so. */
  done(id: GraphTaskId): void {
    const i = this.index(id);
    const t = this.at(i);
    if (t.state === 'cancelling') return this.move(i, 'cancelled');
    this.move(i, 'done');
    this.keep(i);
  }

  private keep(i: number): void {
    const t = this.at(i);
    t.result = 'kept';
    for (const c of t.consumers) {
      this.at(c).unmet -= 1;
      this.settle(c);
    }
    this.dropUnneeded(i);
  }

  /** A run of the task failed: it is ready again, or failed for good, and then so is all that waits for it. */
  failed(id: GraphTaskId): void {
    const i = this.index(id);
    const t = this.at(i);
    if (t.state === 'cancelling') return this.move(i, 'cancelled');
    if (t.state !== 'submitted') throw new GraphError(`${id} is ${t.state}: it cannot fail`);
    t.errors += 1;
    this.dirty.add(i);
    if (t.errors > t.shape.retries) this.end(i, 'failed', -1, 'error');
    else this.move(i, t.unmet > 0 ? 'waiting' : 'ready');
  }

  /** Ends a task without a result, and with it everything that waits for that. */
  private end(from: number, how: 'failed' | 'cancelled', by: number, why: TaskFailure['kind'] | null): void {
    const work = [{ i: from, by, why }];
    for (let w = work.pop(); w !== undefined; w = work.pop()) {
      const t = this.at(w.i);
      // Whoever runs has what it needs; what is over is over.
      if (w.i !== from && t.state !== 'waiting' && t.state !== 'ready') continue;
      t.endedBy = w.by;
      t.failure = w.why;
      this.move(w.i, how);
      for (const c of t.consumers) work.push({ i: c, by: w.i, why: how === 'failed' ? 'upstream' : null });
    }
  }

  /** A task that was cancelled, or withdrawn from its cotask, is proven to be on no machine. */
  gone(id: GraphTaskId): void {
    const i = this.index(id);
    const t = this.at(i);
    if (t.state === 'cancelling') this.move(i, 'cancelled');
    else if (t.state === 'submitted') this.move(i, t.unmet > 0 ? 'waiting' : 'ready');
  }

  // --- results ---------------------------------------------------------------------------------

  private isNeeded(t: Task): boolean {
    return t.held || t.open > 0;
  }

  private dropUnneeded(i: number): void {
    const t = this.at(i);
    if (t.result !== 'kept' || this.isNeeded(t)) return;
    this.unkeep(i, 'dropped');
    this.droppedNow.push(i);
  }

  private unkeep(i: number, next: 'dropped' | 'lost'): void {
    const t = this.at(i);
    t.result = next;
    this.dirty.add(i);
    for (const c of t.consumers) {
      this.at(c).unmet += 1;
      this.settle(c);
    }
  }

  /** The client takes hold of a result, or lets go of it. */
  setHeld(id: GraphTaskId, held: boolean): void {
    const i = this.index(id);
    const t = this.at(i);
    if (t.held === held) return;
    t.held = held;
    this.dirty.add(i);
    if (held) this.revive(i);
    else this.dropUnneeded(i);
  }

  /** A result is gone from where it was kept. Its producer runs again, once, if anything still needs it. */
  markResultLost(id: GraphTaskId): void {
    const i = this.index(id);
    if (this.at(i).result !== 'kept') return;
    this.unkeep(i, 'lost');
    if (this.isNeeded(this.at(i))) this.revive(i);
  }

  /** Runs a task again whose result is needed and is not there, and before it what it takes itself. */
  private revive(from: number): void {
    const work = [from];
    const revived: number[] = [];
    for (let i = work.pop(); i !== undefined; i = work.pop()) {
      const t = this.at(i);
      if (t.state !== 'done' || t.result === 'kept') continue;
      t.result = 'none';
      this.move(i, 'waiting');
      revived.push(i);
      work.push(...t.deps);
    }
    // Those furthest up first: whether one can run again hangs on whether what it takes can.
    for (const i of revived.reverse()) {
      const t = this.at(i);
      if (t.state !== 'waiting') continue;
      const dead = t.deps.find((d) => ['failed', 'cancelled', 'cancelling'].includes(this.at(d).state));
      if (dead !== undefined) this.end(i, 'failed', dead, 'lineage');
      else this.settle(i);
    }
  }

  // --- cancelling ------------------------------------------------------------------------------

  /**
   * Cancels tasks, all that waits for them and, if `recursive`, all that they spawned.
   *
   * @returns those that may be on machines: they count until `gone`
   */
  cancel(ids: Iterable<GraphTaskId>, recursive: boolean): GraphTaskId[] {
    const work = [...ids].map((id) => this.index(id));
    const seen = new Set<number>(work);
    const running: GraphTaskId[] = [];
    for (let i = work.pop(); i !== undefined; i = work.pop()) {
      const t = this.at(i);
      if (t.state === 'submitted') {
        this.move(i, 'cancelling');
        running.push(this.name(i));
        for (const c of t.consumers)
          if (['waiting', 'ready'].includes(this.at(c).state)) this.end(c, 'cancelled', i, null);
      } else if (t.state === 'waiting' || t.state === 'ready') this.end(i, 'cancelled', -1, null);
      if (!recursive) continue;
      for (const c of t.children)
        if (!seen.has(c)) {
          seen.add(c);
          work.push(c);
        }
    }
    return running;
  }

  /** Cancels everything. */
  cancelAll(): GraphTaskId[] {
    return this.cancel(
      [...this.tasks.keys()].map((i) => this.name(i)),
      false,
    );
  }

  // --- what others see -------------------------------------------------------------------------

  state(id: GraphTaskId): TaskState {
    return this.at(this.index(id)).state;
  }

  resultState(id: GraphTaskId): ResultState {
    return this.at(this.index(id)).result;
  }

  shape(id: GraphTaskId): TaskShape {
    return this.at(this.index(id)).shape;
  }

  /** Estimated seconds of the longest chain of tasks that begins with this one. */
  criticalPathS(id: GraphTaskId): number {
    this.measureChains();
    return this.at(this.index(id)).tailS;
  }

  failure(id: GraphTaskId): TaskFailure | null {
    const i = this.index(id);
    const t = this.at(i);
    if (t.failure === null) return null;
    const chain = [i];
    for (let by = t.endedBy; by >= 0 && chain.length <= this.tasks.length; by = this.at(by).endedBy)
      chain.unshift(by);
    return { kind: t.failure, first: this.name(chain[0] as number), chain: chain.map((c) => this.name(c)) };
  }

  /** Some of the tasks that failed by themselves, in the order in which they were added. */
  rootFailures(most: number): GraphTaskId[] {
    const found: GraphTaskId[] = [];
    for (let i = 0; i < this.tasks.length && found.length < most; i += 1)
      if (this.at(i).failure === 'error') found.push(this.name(i));
    return found;
  }

  /** Batches with tasks that changed since this was last asked. */
  takeChangedBatches(): Set<BatchId> {
    const changed = new Set<BatchId>();
    for (const i of this.dirty) changed.add(this.at(i).batch);
    this.dirty = new Set();
    return changed;
  }

  /** Results that nothing refers to any more, since this was last asked: they can be deleted. */
  takeDroppedResults(): GraphTaskId[] {
    const dropped = this.droppedNow;
    this.droppedNow = [];
    return dropped.map((i) => this.name(i));
  }

  // --- records ---------------------------------------------------------------------------------

  /** What has become of a batch's tasks, small enough for one record. */
  encodeBatch(batch: BatchId): Record<string, unknown> {
    const b = this.batches.get(batch);
    if (b === undefined) throw new GraphError(`${batch}: no such batch in ${this.id}`);
    const tasks = this.tasks.slice(b.first, b.first + b.size);
    const sparse = (of: (t: Task) => number): [number, number][] =>
      tasks.flatMap((t, i) => (of(t) === 0 ? [] : [[i, of(t)]]));
    return {
      states: tasks.map((t) => STATES.indexOf(t.state)).join(''),
      kept: tasks.map((t) => RESULTS.indexOf(t.result)).join(''),
      held: tasks.map((t) => (t.held ? 1 : 0)).join(''),
      errors: sparse((t) => t.errors),
      // Indices hold as long as batches come in the same order, as they do in `restore`.
      endedBy: tasks.flatMap((t, i) => (t.endedBy < 0 ? [] : [[i, t.endedBy]])),
      failures: sparse((t) => (t.failure === null ? 0 : FAILURES.indexOf(t.failure) + 1)),
    };
  }

  /**
   * A graph from its batches, in an order in which none refers to a later one, and what was recorded of them.
   * A batch without a record starts out as new.
   */
  static restore(
    id: GraphId,
    batches: readonly { readonly batch: Batch; readonly record: TaskStatesRecord | null }[],
  ): TaskGraph {
    const g = new TaskGraph(id);
    for (const { batch } of batches) g.insert(batch);
    for (const { batch, record } of batches) if (record !== null) g.recall(batch.id, record);
    g.recount();
    const fresh = batches.flatMap(({ batch, record }) => {
      const b = g.batches.get(batch.id);
      return record !== null || b === undefined ? [] : Array.from({ length: b.size }, (_, n) => b.first + n);
    });
    for (const i of fresh) g.bury(i);
    for (const i of fresh) g.begin(i);
    return g;
  }

  private recall(batch: BatchId, record: TaskStatesRecord): void {
    const b = this.batches.get(batch);
    if (b === undefined) return;
    for (let n = 0; n < b.size; n += 1) {
      const t = this.at(b.first + n);
      t.state = STATES[Number(record.states[n])] as TaskState;
      t.result = RESULTS[Number(record.kept[n])] as ResultState;
      t.held = record.held[n] === '1';
    }
    for (const [n, errors] of record.errors) this.at(b.first + n).errors = errors;
    for (const [n, by] of record.endedBy) this.at(b.first + n).endedBy = by;
    for (const [n, why] of record.failures) this.at(b.first + n).failure = FAILURES[why - 1] ?? null;
  }

  /** Everything that follows from states and results. */
  private recount(): void {
    for (const s of STATES) this.counted[s] = 0;
    this.readyNow.clear();
    for (const t of this.tasks) {
      t.open = 0;
      t.unmet = 0;
    }
    this.tasks.forEach((t, i) => {
      this.counted[t.state] += 1;
      if (t.state === 'ready') this.readyNow.add(i);
      for (const d of t.deps) {
        if (!isOver(t.state)) this.at(d).open += 1;
        if (this.at(d).result !== 'kept') t.unmet += 1;
      }
    });
    this.dirty.clear();
    this.droppedNow = [];
  }
}

const RESULTS: readonly ResultState[] = ['none', 'kept', 'dropped', 'lost'];
const FAILURES: readonly TaskFailure['kind'][] = ['error', 'upstream', 'lineage'];

/** What `encode` gives, read back. */
export interface TaskStatesRecord {
  readonly states: string;
  readonly kept: string;
  readonly held: string;
  readonly errors: readonly (readonly [number, number])[];
  readonly endedBy: readonly (readonly [number, number])[];
  readonly failures: readonly (readonly [number, number])[];
}
