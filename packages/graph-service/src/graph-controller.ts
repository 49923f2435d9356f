import type {
  ClusterState,
  LeaderComponent,
  LeaderComponentFactory,
  LeaderTerm,
} from '@spurbridge/controller';
import { RecordWatcher, WakeSignal } from '@spurbridge/controller';
import { TaskGraph } from '@spurbridge/graph';
import type { Job, JobRecord } from '@spurbridge/model';
import { JOB_KEY_PREFIX, tasksPerChunk, encodeJob, jobKey } from '@spurbridge/model';
import type { CommitOutcome } from '@spurbridge/store';
import type {
  BatchId,
  Mutation,
  Compare,
  GraphId,
  GraphTaskId,
  KeyValue,
  JobId,
  JobSpec,
  Revision,
  TaskShape,
  Version,
} from '@spurbridge/wire';
import { KEY_ABSENT, formatGraphTaskId, parseResultUpdate, parseGraphTaskId } from '@spurbridge/wire';
import type { GraphRecord, StoredBatch, AssignmentEntry, BatchStateRecord } from './records.js';
import {
  GRAPH_PREFIX,
  OPEN_GRAPH_PREFIX,
  batchKey,
  batchPrefix,
  decodeBatch,
  decodeGraph,
  decodeBatchState,
  encodeGraph,
  graphKey,
  resultNotePrefix,
  openGraphKey,
  batchStateKey,
  batchStatePrefix,
} from './records.js';
import { jobSpecForShape } from './graph-service.js';

const GAP_MS = 100;
const RETRY_MS = 200;
/** What a batch's state takes at the most, for each of its tasks and beside them. */
const TASK_BYTES = 36;
const BATCH_BYTES = 300;
const MOST_BYTES = 48 * 1024;
/** Tasks of one graph that are with the scheduler at a time: more would only lengthen its queues. */
const MOST_SUBMITTED = 2000;
const MOST_COTASK = 200;
const GUARANTEE_PARTS = 8;
const MOST_FAILURES = 10;

interface Kept {
  readonly batch: StoredBatch;
  version: Version;
}

/** One graph that is not over, with what its records are. */
interface Open {
  head: GraphRecord;
  version: Version;
  graph: TaskGraph;
  readonly batches: Map<BatchId, Kept>;
  /** Where each submitted task is. */
  readonly parts: Map<GraphTaskId, { readonly cotask: string; readonly piece: number }>;
  /** The tasks of each cotask by piece; after a takeover without those that had ended before. */
  readonly cotasks: Map<string, readonly (GraphTaskId | undefined)[]>;
  /** Batches whose records are behind, and those of them that are being written. */
  readonly dirty: Set<BatchId>;
  readonly writing: Set<BatchId>;
  /** Notes on results that were acted on, and are to be deleted once that is durable. */
  readonly notes: Set<string>;
}

function opened(head: GraphRecord, version: Version, graph: TaskGraph): Open {
  return {
    head,
    version,
    graph,
    batches: new Map(),
    parts: new Map(),
    cotasks: new Map(),
    dirty: new Set(),
    writing: new Set(),
    notes: new Set(),
  };
}

/**
 * A cotask's job id: no user's, who name theirs otherwise, and never used again, since a worker that remembers
 * a task by its name would answer for another one. The cotask's name holds its leader's token.
 */
export function cotaskJobId(id: GraphId, cotask: string): JobId {
  return `wk-.${id}.${cotask}` as JobId;
}

/**
 * Runs task graphs on the core that runs everything: ready tasks of one shape become an array of their own, a
 * cotask in the paper's sense, with the records, quotas and order of any job. What became of each task is
 * durable before the array's own records are let go.
 */
class GraphController implements LeaderComponent {
  private readonly open = new Map<GraphId, Open>();
  private readonly byJob = new Map<JobId, { readonly graph: GraphId; readonly cotask: string }>();
  /** Job records of cotasks that are over. */
  private readonly litter = new Set<JobId>();
  private readonly signal = new WakeSignal();
  private cotasks = 0;
  /** Cotasks of which it is not known whether their commit was executed. */
  private readonly unsure = new Set<JobId>();
  private readonly following: RecordWatcher;
  private from: Revision | null = null;

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
  ) {
    this.following = new RecordWatcher(term, GRAPH_PREFIX);
    cluster.on('off', (job, p, done, why) => {
      this.onOff(job, p.task, done, why);
    });
    cluster.on('released', (job) => {
      if (job.graph === null) return;
      this.litter.add(job.spec.id);
      this.signal.notify();
    });
  }

  // --- as a room -------------------------------------------------------------------------------

  /** A cotask takes part once it is known which tasks it stands for. */
  isSchedulable(job: Job): boolean {
    return job.graph === null || (this.byJob.has(job.spec.id) && !this.unsure.has(job.spec.id));
  }

  /** The tasks of a cotask are all done: once what they came to is durable, its own records may go. */
  mayClose(job: Job): boolean {
    const at = this.byJob.get(job.spec.id);
    const o = at === undefined ? undefined : this.open.get(at.graph);
    if (at === undefined || o === undefined) return true;
    const tasks = o.cotasks.get(at.cotask) ?? [];
    return tasks.every((t) => {
      if (t === undefined) return true;
      const part = o.parts.get(t);
      const { batch } = parseGraphTaskId(t);
      // One that is being written is not durable yet: closed by then, its tasks were run again by a new leader.
      return part?.cotask !== at.cotask && !o.dirty.has(batch) && !o.writing.has(batch);
    });
  }

  /** Cancellations of graphs that were confirmed to a client are known, as those of jobs must be. */
  get isFresh(): boolean {
    return this.following.isFresh;
  }

  async restore(): Promise<void> {
    const { store, clock, log } = this.term.context;
    while (this.term.isActive) {
      const askedAt = clock.now();
      const open = await store.list(OPEN_GRAPH_PREFIX, 0);
      const jobs = open.outcome === 'listed' ? await store.list(JOB_KEY_PREFIX + cotaskPrefix(), 1) : open;
      let good = open.outcome === 'listed' && jobs.outcome === 'listed';
      if (open.outcome === 'listed')
        for (const item of open.items)
          good = good && (await this.load(item.key.slice(item.key.lastIndexOf('/') + 1) as GraphId));
      if (good && open.outcome === 'listed' && jobs.outcome === 'listed') {
        this.following.markReadAt(askedAt);
        this.from = open.revision;
        // What is left of cotasks that were over before anybody tidied up.
        for (const item of jobs.items) {
          const id = item.key.slice(JOB_KEY_PREFIX.length) as JobId;
          if (!this.cluster.jobs.has(id)) this.litter.add(id);
        }
        for (const job of [...this.cluster.jobs.values()])
          if (job.graph !== null && !this.open.has(job.graph as GraphId)) this.tidyPieces(null, job);
        log.info({ graphs: this.open.size }, 'graphs restored');
        return;
      }
      this.open.clear();
      this.byJob.clear();
      await clock.sleep(RETRY_MS);
    }
  }

  async run(): Promise<void> {
    await Promise.all([this.watch(), this.work()]);
  }

  // --- reading ---------------------------------------------------------------------------------

  private async load(id: GraphId): Promise<boolean> {
    const { store } = this.term.context;
    const head = await store.read(graphKey(id), 1);
    if (head.outcome === 'absent') return true;
    const batches = await store.list(batchPrefix(id), 1);
    const states = await store.list(batchStatePrefix(id), 1);
    const notes = await store.list(resultNotePrefix(id), 1);
    if (
      head.outcome !== 'found' ||
      batches.outcome !== 'listed' ||
      states.outcome !== 'listed' ||
      notes.outcome !== 'listed'
    )
      return false;
    const record = decodeGraph(head.item.value);
    const stateOf = new Map<string, { record: BatchStateRecord; version: Version }>(
      states.items.map((s) => [
        s.key.slice(batchStatePrefix(id).length),
        { record: decodeBatchState(s.value), version: s.version },
      ]),
    );
    const kept = batches.items.map((b) => decodeBatch(b.value)).sort((a, b) => a.order - b.order);
    // One that is over may have lost some of its records already.
    const graph =
      record.summary !== null
        ? new TaskGraph(id)
        : TaskGraph.restore(
            id,
            kept.map((b) => ({ batch: b.batch, record: stateOf.get(b.batch.id)?.record ?? null })),
          );
    const o = opened(record, head.item.version, graph);
    for (const b of kept)
      o.batches.set(b.batch.id, { batch: b, version: stateOf.get(b.batch.id)?.version ?? KEY_ABSENT });
    this.open.set(id, o);
    if (record.summary !== null) {
      for (const item of notes.items) o.notes.add(item.key);
      return true;
    }
    for (const [batch, s] of stateOf)
      for (const part of s.record.parts) this.recall(o, batch as BatchId, part);
    this.settleRestored(o);
    this.applyCancellations(o);
    for (const item of notes.items) this.learnNote(id, item);
    return true;
  }

  private recall(o: Open, batch: BatchId, [task, cotask, piece]: AssignmentEntry): void {
    const id = formatGraphTaskId(batch, task);
    o.parts.set(id, { cotask, piece });
    const tasks = [...(o.cotasks.get(cotask) ?? [])];
    tasks[piece] = id;
    o.cotasks.set(cotask, tasks);
    this.byJob.set(cotaskJobId(o.head.head.id, cotask), { graph: o.head.head.id, cotask });
  }

  /** What the cotasks' own records say beyond the graph's. */
  private settleRestored(o: Open): void {
    for (const [id, { cotask, piece }] of [...o.parts]) {
      const job = this.cluster.jobs.get(cotaskJobId(o.head.head.id, cotask));
      if (job !== undefined && !job.isDone(piece)) {
        if (o.graph.state(id) === 'cancelling') this.cluster.abandonTask(job, piece);
        continue;
      }
      o.parts.delete(id);
      if (job === undefined || job.abandoned.has(piece)) o.graph.markStopped(id);
      else o.graph.markDone(id);
    }
    for (const job of [...this.cluster.jobs.values()])
      if (job.graph === o.head.head.id) this.tidyPieces(o, job);
    this.note(o);
  }

  /** Pieces that no task stands for any more: given up before, which the job's own record does not say yet. */
  private tidyPieces(o: Open | null, job: Job): void {
    const cotask = job.spec.id.slice(job.spec.id.lastIndexOf('.') + 1);
    const tasks = o?.cotasks.get(cotask) ?? [];
    if (o !== null) this.byJob.set(job.spec.id, { graph: o.head.head.id, cotask });
    for (let piece = 0; piece < job.spec.tasks && job.state === 'active'; piece += 1) {
      const id = tasks[piece];
      if (job.isDone(piece) || (id !== undefined && o?.parts.get(id)?.cotask === cotask)) continue;
      this.cluster.abandonTask(job, piece);
    }
  }

  private async watch(): Promise<void> {
    if (this.from === null) return;
    await this.following.run(this.from, (items, whole) => {
      for (const item of whole ? inOrder(items) : items) this.learn(item);
      this.signal.notify();
    });
  }

  /** Takes in a head or a batch, from a list or a watch. */
  private learn(item: KeyValue): void {
    try {
      const [, id, kind] = item.key.split('/');
      if (kind === undefined) this.learnHead(id as GraphId, decodeGraph(item.value), item.version);
      else if (kind === 'b') this.learnBatch(id as GraphId, decodeBatch(item.value));
      else this.learnNote(id as GraphId, item);
    } catch (e) {
      this.term.context.log.error({ key: item.key, error: String(e) }, 'graph record cannot be read');
    }
  }

  private learnHead(id: GraphId, record: GraphRecord, version: Version): void {
    let o = this.open.get(id);
    if (o === undefined) {
      if (record.summary !== null) return;
      o = opened(record, version, new TaskGraph(id));
      this.open.set(id, o);
    } else if (version > o.version) {
      o.head = record;
      o.version = version;
    }
    this.applyCancellations(o);
  }

  private learnBatch(id: GraphId, batch: StoredBatch): void {
    const o = this.open.get(id);
    if (o === undefined || o.batches.has(batch.batch.id)) return;
    o.graph.addBatch(batch.batch);
    o.batches.set(batch.batch.id, { batch, version: KEY_ABSENT });
    this.applyCancellations(o);
  }

  private learnNote(id: GraphId, item: KeyValue): void {
    const o = this.open.get(id);
    const note = parseResultUpdate(item.value);
    if (o === undefined || o.head.summary !== null || o.notes.has(item.key)) return;
    for (const t of note.lost) o.graph.markResultLost(t);
    for (const t of note.hold) o.graph.setHeld(t, true);
    for (const t of note.release) o.graph.setHeld(t, false);
    o.notes.add(item.key);
    this.note(o);
  }

  private applyCancellations(o: Open): void {
    if (o.head.summary !== null) return;
    const known = o.head.cancelled.filter((c) => o.graph.hasBatch(parseGraphTaskId(c.task).batch));
    const running =
      o.head.phase === 'cancelled'
        ? o.graph.cancelAll()
        : known.flatMap((c) => o.graph.cancel([c.task], c.recursive));
    for (const id of running) this.stop(o, id);
    this.note(o);
  }

  /** A cancelled task counts until it is gone; one on no machine is so at once. */
  private stop(o: Open, id: GraphTaskId): void {
    const part = o.parts.get(id);
    const job =
      part === undefined ? undefined : this.cluster.jobs.get(cotaskJobId(o.head.head.id, part.cotask));
    if (part === undefined || job === undefined) {
      o.graph.markStopped(id);
      return;
    }
    if (!job.placements.has(part.piece)) {
      o.parts.delete(id);
      o.graph.markStopped(id);
    }
    this.cluster.abandonTask(job, part.piece);
  }

  // --- what becomes of tasks -------------------------------------------------------------------

  private onOff(job: Job, piece: number, done: boolean, why: string): void {
    const at = this.byJob.get(job.spec.id);
    const o = at === undefined ? undefined : this.open.get(at.graph);
    const id = at === undefined ? undefined : o?.cotasks.get(at.cotask)?.[piece];
    if (o === undefined || id === undefined || o.parts.get(id)?.cotask !== at?.cotask) {
      // Given up while it may still have been on a machine: now it is not.
      if (job.graph !== null && !done) this.cluster.abandonTask(job, piece);
      return;
    }
    if (done) {
      o.parts.delete(id);
      o.graph.markDone(id);
    } else if (o.graph.state(id) === 'cancelling') {
      o.parts.delete(id);
      o.graph.markStopped(id);
      this.cluster.abandonTask(job, piece);
    } else if (why === 'error') {
      o.graph.markFailed(id);
      // Another try stays where it is; one that must wait again, or is over, leaves its cotask.
      if (o.graph.state(id) === 'ready') o.graph.markSubmitted(id);
      else {
        o.parts.delete(id);
        this.cluster.abandonTask(job, piece);
      }
    }
    this.note(o);
    this.signal.notify();
  }

  private note(o: Open): void {
    for (const b of o.graph.takeChangedBatches()) o.dirty.add(b);
    o.graph.takeDroppedResults();
  }

  // --- writing ---------------------------------------------------------------------------------

  /** One write after the other: each is conditioned on what the one before it left. */
  private async work(): Promise<void> {
    const { clock, leadership } = this.term.context;
    while (this.term.isActive) {
      await this.signal.wait(clock, 1000);
      if (!this.term.isActive) return;
      if (leadership.holdsValidLease()) {
        for (const o of [...this.open.values()]) {
          await this.submitReady(o);
          if (!this.term.isActive) return;
          await this.writeStates(o);
          if (!this.term.isActive) return;
          await this.deleteNotes(o);
          if (!this.term.isActive) return;
          if (this.isOver(o)) await this.finish(o);
          if (!this.term.isActive) return;
        }
        await this.tidy();
      }
      await clock.sleep(GAP_MS);
    }
  }

  private stateValue(o: Open, batch: BatchId, size: number): Record<string, unknown> {
    const parts: AssignmentEntry[] = [];
    for (let n = 0; n < size; n += 1) {
      const part = o.parts.get(formatGraphTaskId(batch, n));
      if (part !== undefined) parts.push([n, part.cotask, part.piece]);
    }
    return { ...o.graph.encodeBatch(batch), parts };
  }

  /** Changes and conditions that bring the records of some batches up to date, as many as one commit takes. */
  private states(
    o: Open,
    batches: Iterable<BatchId>,
    room: number,
  ): { batch: BatchId; change: Mutation; condition: Compare }[] {
    const made: { batch: BatchId; change: Mutation; condition: Compare }[] = [];
    let bytes = 0;
    for (const batch of batches) {
      const kept = o.batches.get(batch);
      if (kept === undefined) continue;
      const key = batchStateKey(o.head.head.id, batch);
      const value = this.stateValue(o, batch, kept.batch.batch.tasks.length);
      bytes += JSON.stringify(value).length + 200;
      if (made.length >= room || (made.length > 0 && bytes > MOST_BYTES)) break;
      made.push({ batch, change: { put: key, value }, condition: { key, version: kept.version } });
    }
    return made;
  }

  private written(o: Open, batches: readonly BatchId[], version: Version): void {
    for (const b of batches) {
      const kept = o.batches.get(b);
      if (kept !== undefined) kept.version = version;
    }
  }

  private async writeStates(o: Open): Promise<void> {
    const { store, leadership, settings } = this.term.context;
    while (o.dirty.size > 0 && this.term.isActive) {
      const due = this.states(o, o.dirty, settings.storeLimits.txnOps);
      if (due.length === 0) {
        o.dirty.clear();
        return;
      }
      // What changes while the write is under way is due again.
      for (const d of due) {
        o.dirty.delete(d.batch);
        o.writing.add(d.batch);
      }
      const outcome = await store.commit(
        [leadership.leadershipCompare(), ...due.map((d) => d.condition)],
        due.map((d) => d.change),
        2,
      );
      o.writing.clear();
      if (outcome.outcome === 'committed')
        this.written(
          o,
          due.map((d) => d.batch),
          outcome.revision as number as Version,
        );
      else {
        for (const d of due) o.dirty.add(d.batch);
        await this.failed(o, outcome);
        return;
      }
    }
  }

  /** What notes asked for is durable: they go. Acted on again by a new leader, they do no harm. */
  private async deleteNotes(o: Open): Promise<void> {
    const { store, leadership, settings } = this.term.context;
    const due = [...o.notes].slice(0, settings.storeLimits.txnOps);
    if (due.length === 0 || o.dirty.size > 0) return;
    const outcome = await store.commit(
      [leadership.leadershipCompare()],
      due.map((key) => ({ delete: key })),
      3,
    );
    if (outcome.outcome === 'committed') for (const key of due) o.notes.delete(key);
    else await this.failed(o, outcome);
  }

  /** Ready tasks of one shape become a cotask: job and assignment in one commit, or neither. */
  private async submitReady(o: Open): Promise<void> {
    const { store, leadership, settings, clock, wallNow, log } = this.term.context;
    if (o.head.phase === 'cancelled') return;
    while (this.term.isActive) {
      const room = MOST_SUBMITTED - o.parts.size;
      const ready = o.graph.readyTasks();
      const first = ready[0];
      if (first === undefined || room <= 0) return;
      const shape = o.graph.shape(first);
      const like = JSON.stringify(shape);
      const batches = new Set<BatchId>();
      const tasks: GraphTaskId[] = [];
      let bytes = 0;
      for (const id of ready) {
        if (tasks.length >= Math.min(this.widest(o, shape), room)) break;
        if (JSON.stringify(o.graph.shape(id)) !== like) continue;
        const { batch } = parseGraphTaskId(id);
        if (!batches.has(batch)) {
          const size = o.batches.get(batch)?.batch.batch.tasks.length ?? 0;
          const adds = BATCH_BYTES + size * TASK_BYTES;
          // The job's own record takes one change of the commit.
          if (
            batches.size > 0 &&
            (bytes + adds > MOST_BYTES || batches.size >= settings.storeLimits.txnOps - 1)
          )
            continue;
          bytes += adds;
          batches.add(batch);
        }
        tasks.push(id);
      }
      this.cotasks += 1;
      const cotask = `${leadership.fencingToken}-${this.cotasks}`;
      tasks.forEach((id, piece) => {
        o.graph.markSubmitted(id);
        o.parts.set(id, { cotask, piece });
      });
      const job = cotaskJobId(o.head.head.id, cotask);
      const record: JobRecord = {
        spec: this.spec(o, job, shape, tasks.length),
        phase: 'active',
        submittedAt: wallNow(),
        chunkSize: tasksPerChunk(settings.storeLimits.valueKb),
        graph: o.head.head.id,
      };
      o.cotasks.set(cotask, tasks);
      this.byJob.set(job, { graph: o.head.head.id, cotask });
      const due = this.states(o, batches, settings.storeLimits.txnOps - 1);
      this.unsure.add(job);
      const outcome = await store.commit(
        [
          leadership.leadershipCompare(),
          { key: jobKey(job), version: KEY_ABSENT },
          ...due.map((d) => d.condition),
        ],
        [{ put: jobKey(job), value: encodeJob(record) }, ...due.map((d) => d.change)],
        1,
      );
      if (!this.term.isActive) return;
      const version =
        outcome.outcome === 'committed'
          ? (outcome.revision as number as Version)
          : outcome.outcome === 'unknown'
            ? await this.wasExecuted(o, job, cotask, tasks)
            : null;
      if (!this.term.isActive) return;
      this.unsure.delete(job);
      if (version === null) {
        o.cotasks.delete(cotask);
        this.byJob.delete(job);
        if (outcome.outcome !== 'unknown') {
          this.withdraw(o, tasks);
          await this.failed(o, outcome);
        }
        return;
      }
      this.written(
        o,
        due.map((d) => d.batch),
        version,
      );
      this.cluster.applyJobRecord(record, version);
      log.debug({ graph: o.head.head.id, job, tasks: tasks.length }, 'cotask submitted');
      // Meanwhile some may have been cancelled, and even thought to be nowhere.
      tasks.forEach((id, piece) => {
        const known = this.cluster.jobs.get(job);
        if (known !== undefined && o.parts.get(id)?.cotask !== cotask) this.cluster.abandonTask(known, piece);
      });
      for (const id of tasks) if (o.graph.state(id) === 'cancelling') this.stop(o, id);
      this.note(o);
      this.cluster.emit('plan');
      await clock.sleep(0);
    }
  }

  /**
   * A commit without an answer may have been executed, or may still be. Either its job is found; or a write to
   * one of the records that it was conditioned on goes through, after which it never can be.
   *
   * @returns the version that it wrote, or null once it is sure that it wrote nothing
   */
  private async wasExecuted(
    o: Open,
    job: JobId,
    cotask: string,
    tasks: readonly GraphTaskId[],
  ): Promise<Version | null> {
    const { store, leadership, clock } = this.term.context;
    while (this.term.isActive) {
      await clock.sleep(RETRY_MS);
      const found = await store.read(jobKey(job), 1);
      if (!this.term.isActive) return null;
      if (found.outcome === 'found') return found.item.version;
      const [first] = tasks;
      if (found.outcome !== 'absent' || first === undefined) continue;
      this.withdraw(o, tasks);
      const [fence] = this.states(o, [parseGraphTaskId(first).batch], 1);
      if (fence === undefined) return null;
      const outcome = await store.commit(
        [leadership.leadershipCompare(), fence.condition],
        [fence.change],
        1,
      );
      if (!this.term.isActive) return null;
      if (outcome.outcome === 'committed') {
        this.written(o, [fence.batch], outcome.revision as number as Version);
        return null;
      }
      // Not yet sure: they stay where they may be.
      tasks.forEach((id, piece) => {
        if (o.graph.state(id) !== 'ready') return;
        o.graph.markSubmitted(id);
        o.parts.set(id, { cotask, piece });
      });
      if (leadership.stepDownOnConflict(outcome)) return null;
    }
    return null;
  }

  /**
   * Tasks of one cotask: no more than an eighth of what the team is guaranteed takes. A guarantee goes to whole
   * jobs that fit into it: handed over as one array a stage would have none, and in large pieces a part of it.
   */
  private widest(o: Open, shape: TaskShape): number {
    const team = this.term.context.configuration().teams.find((t) => t.name === o.head.head.team);
    if (team === undefined || team.cpus <= 0 || shape.cpus <= 0) return MOST_COTASK;
    return Math.max(1, Math.min(MOST_COTASK, Math.floor(team.cpus / GUARANTEE_PARTS / shape.cpus)));
  }

  private withdraw(o: Open, tasks: readonly GraphTaskId[]): void {
    for (const id of tasks) {
      o.parts.delete(id);
      o.graph.markStopped(id);
    }
    this.note(o);
  }

  private spec(o: Open, id: JobId, shape: TaskShape, tasks: number): JobSpec {
    const { head } = o.head;
    return {
      ...jobSpecForShape(shape),
      id,
      class: head.class,
      team: head.team,
      priority: head.priority,
      tasks,
    };
  }

  private isOver(o: Open): boolean {
    if (o.head.summary !== null) return true;
    const ends = o.head.phase === 'sealed' || o.head.phase === 'cancelled';
    return (
      ends &&
      o.graph.isComplete &&
      o.graph.size === o.head.tasks &&
      o.dirty.size === 0 &&
      o.parts.size === 0 &&
      o.notes.size === 0
    );
  }

  /** The graph is over: first its head says so, then all its other records go. */
  private async finish(o: Open): Promise<void> {
    const { store, leadership, settings, log } = this.term.context;
    const { head } = o.head;
    const { done, failed, cancelled } = o.graph.counts;
    const key = graphKey(head.id);
    if (o.head.summary === null) {
      const phase = o.head.phase === 'cancelled' ? 'cancelled' : failed + cancelled > 0 ? 'failed' : 'done';
      const record: GraphRecord = {
        ...o.head,
        phase,
        cancelled: [],
        summary: { done, failed, cancelled, failures: o.graph.rootFailures(MOST_FAILURES) },
      };
      const outcome = await store.commit(
        [leadership.leadershipCompare(), { key, version: o.version }],
        [{ put: key, value: encodeGraph(record) }],
        1,
      );
      if (outcome.outcome !== 'committed') return this.failed(o, outcome);
      o.head = record;
      o.version = outcome.revision as number as Version;
      log.info({ graph: head.id, phase, done, failed, cancelled }, 'graph over');
    }
    const keys = [
      ...o.notes,
      ...[...o.batches.keys()].flatMap((b) => [batchStateKey(head.id, b), batchKey(head.id, b)]),
    ];
    // The list of open graphs comes last: until then a new leader goes on tidying.
    keys.push(openGraphKey(head.team, head.id));
    for (let n = 0; n < keys.length; n += settings.storeLimits.txnOps) {
      const outcome = await store.commit(
        [leadership.leadershipCompare()],
        keys.slice(n, n + settings.storeLimits.txnOps).map((k) => ({ delete: k })),
        3,
      );
      if (!this.term.isActive) return;
      if (outcome.outcome !== 'committed') return this.failed(o, outcome);
    }
    this.open.delete(head.id);
  }

  private async tidy(): Promise<void> {
    const { store, leadership, settings } = this.term.context;
    const batch = [...this.litter].slice(0, settings.storeLimits.txnOps);
    if (batch.length === 0) return;
    const outcome = await store.commit(
      [leadership.leadershipCompare()],
      batch.map((id) => ({ delete: jobKey(id) })),
      3,
    );
    if (outcome.outcome !== 'committed') return;
    for (const id of batch) {
      this.litter.delete(id);
      const at = this.byJob.get(id);
      this.byJob.delete(id);
      if (at !== undefined) this.open.get(at.graph)?.cotasks.delete(at.cotask);
    }
  }

  /** Refused: later. Unknown or conflicting: an earlier write may have been executed, so it is read again. */
  private async failed(o: Open, outcome: CommitOutcome): Promise<void> {
    const { store, leadership, clock } = this.term.context;
    if (leadership.stepDownOnConflict(outcome)) return;
    if (outcome.outcome === 'conflict') {
      for (const key of outcome.failed) {
        const found = await store.read(key, 1);
        if (!this.term.isActive) return;
        if (found.outcome !== 'found') continue;
        if (key === graphKey(o.head.head.id))
          this.learnHead(o.head.head.id, decodeGraph(found.item.value), found.item.version);
        else if (!key.startsWith(JOB_KEY_PREFIX)) {
          const kept = o.batches.get(key.slice(batchStatePrefix(o.head.head.id).length) as BatchId);
          if (kept !== undefined) kept.version = found.item.version;
        }
      }
    } else await clock.sleep(RETRY_MS);
    this.signal.notify();
  }
}

/** Heads, then batches as they came, then notes: none of them refers to a later one. */
function inOrder(items: readonly KeyValue[]): KeyValue[] {
  const rank = (i: KeyValue): number => {
    if (i.key.includes('/n/')) return Infinity;
    return i.key.includes('/b/') ? decodeBatch(i.value).order : -1;
  };
  return items
    .map((item) => ({ item, rank: rank(item) }))
    .sort((a, b) => (a.rank === b.rank ? 0 : a.rank - b.rank))
    .map((x) => x.item);
}

function cotaskPrefix(): string {
  return 'wk-.gr-';
}

/** A room that runs task graphs. */
export function graphControllerFactory(): LeaderComponentFactory {
  return (term, cluster) => new GraphController(term, cluster);
}
