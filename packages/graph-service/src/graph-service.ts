import type { Settings } from '@spurbridge/controller';
import { fitsMachineType } from '@spurbridge/model';
import type { KeyValueStore } from '@spurbridge/store';
import type {
  Batch,
  BatchId,
  GraphId,
  GraphTaskId,
  JobId,
  MachineType,
  TaskShape,
  Version,
} from '@spurbridge/wire';
import {
  KEY_ABSENT,
  ValidationError,
  formatGraphTaskId,
  isGraphId,
  parseBatch,
  parseGraphSpec,
  parseResultUpdate,
  read,
  parseGraphTaskId,
} from '@spurbridge/wire';
import type { GraphRecord, StoredBatch } from './records.js';
import {
  batchKey,
  batchPrefix,
  decodeBatch,
  decodeGraph,
  decodeBatchState,
  encodeBatch,
  encodeGraph,
  graphKey,
  resultNoteKey,
  openGraphKey,
  OPEN_GRAPH_PREFIX,
  batchStateKey,
  batchStatePrefix,
} from './records.js';

/** What one team may have at a time, and one graph at all. */
export interface GraphLimits {
  readonly openPerTeam: number;
  readonly tasks: number;
  /** Tasks that spawn tasks that spawn tasks. */
  readonly depth: number;
  /** Other batches whose results one batch takes. */
  readonly references: number;
}

export const DEFAULT_GRAPH_LIMITS: GraphLimits = {
  openPerTeam: 200,
  tasks: 100_000,
  depth: 64,
  references: 32,
};

export type GraphResponse =
  | { readonly code: 200 | 201; readonly body: Record<string, unknown> }
  | { readonly code: 400 | 404 | 409 | 422; readonly error: string }
  | { readonly code: 429 | 503; readonly error: string; readonly retryAfterS: number };

const TRIES = 6;
const BUSY_S = 15;
const MOST_CANCELLED = 100;
const PAGE = 50;
/** Sizes and depths of batches never change: those looked up lately. */
const MOST_KNOWN = 5000;

const unsure = (error: string): GraphResponse => ({ code: 503, error, retryAfterS: 1 });
const NONE: GraphResponse = { code: 404, error: 'no such graph' };

type Found = { readonly record: GraphRecord; readonly version: Version };

/** Clients' calls about graphs, answered by any node from the state service alone. */
export class GraphService {
  private readonly known = new Map<string, { readonly size: number; readonly depth: number }>();

  constructor(
    private readonly settings: Pick<Settings, 'storeLimits' | 'teams'>,
    private readonly store: KeyValueStore,
    private readonly types: () => readonly MachineType[],
    private readonly limits: GraphLimits = DEFAULT_GRAPH_LIMITS,
  ) {}

  /** @throws MalformedError naming the field */
  async create(body: unknown): Promise<GraphResponse> {
    const head = parseGraphSpec(body);
    if (!this.settings.teams.some((t) => t.name === head.team)) return { code: 422, error: 'team: unknown' };
    const before = await this.head(head.id);
    if ('code' in before) {
      if (before.code !== 404) return before;
    } else if (JSON.stringify(before.record.head) === JSON.stringify(head)) return shown(200, before.record);
    else
      return { code: 409, error: `graph: ${head.id} is there already, with another class, team or priority` };
    const open = await this.store.list(`${OPEN_GRAPH_PREFIX}${encodeURIComponent(head.team)}/`, 1);
    if (open.outcome !== 'listed') return unsure('the state service does not answer');
    if (open.items.length >= this.limits.openPerTeam)
      return {
        code: 429,
        error: `team: ${head.team} has ${open.items.length} open graphs, and may have ${this.limits.openPerTeam}`,
        retryAfterS: BUSY_S,
      };
    const record: GraphRecord = { head, phase: 'open', tasks: 0, batches: 0, cancelled: [], summary: null };
    const outcome = await this.store.commit(
      [{ key: graphKey(head.id), version: KEY_ABSENT }],
      [
        { put: openGraphKey(head.team, head.id), value: {} },
        { put: graphKey(head.id), value: encodeGraph(record) },
      ],
      1,
    );
    if (outcome.outcome === 'committed') return shown(201, record);
    return unsure('the state service did not confirm');
  }

  private async head(id: string): Promise<Found | GraphResponse> {
    if (!isGraphId(id)) return NONE;
    const found = await this.store.read(graphKey(id), 1);
    if (found.outcome === 'absent') return NONE;
    if (found.outcome !== 'found') return unsure('the state service does not answer');
    return { record: decodeGraph(found.item.value), version: found.item.version };
  }

  /**
   * Adds a batch whole, or not at all; the same one again is the same.
   *
   * @throws MalformedError naming the field
   */
  async addBatch(id: string, body: unknown): Promise<GraphResponse> {
    const batch = parseBatch(body);
    const never = this.neverFits(batch);
    for (let n = 0; n < TRIES; n += 1) {
      const found = await this.head(id);
      if ('code' in found) return found;
      const { record } = found;
      const known = await this.again(record.head.id, batch);
      if (known !== null) return known;
      if (record.phase !== 'open') return { code: 409, error: `graph: ${id} is ${record.phase}` };
      if (never !== null) return never;
      if (record.tasks + batch.tasks.length > this.limits.tasks)
        return {
          code: 422,
          error: `tasks: a graph has at most ${this.limits.tasks}, and ${id} ${record.tasks}`,
        };
      const depth = await this.checkReferences(record.head.id, batch);
      if (typeof depth !== 'number') return depth;
      const kept: StoredBatch = { batch, order: record.batches, depth };
      const value = encodeBatch(kept);
      if (JSON.stringify(value).length > this.settings.storeLimits.valueKb * 1024 - 256)
        return {
          code: 422,
          error: `tasks: a batch takes at most ${this.settings.storeLimits.valueKb} KiB; send fewer`,
        };
      const next: GraphRecord = {
        ...record,
        tasks: record.tasks + batch.tasks.length,
        batches: record.batches + 1,
      };
      const outcome = await this.store.commit(
        [
          { key: graphKey(record.head.id), version: found.version },
          { key: batchKey(record.head.id, batch.id), version: KEY_ABSENT },
        ],
        [
          { put: graphKey(record.head.id), value: encodeGraph(next) },
          { put: batchKey(record.head.id, batch.id), value },
        ],
        1,
      );
      if (outcome.outcome === 'committed')
        return { code: 201, body: { batch: batch.id, tasks: batch.tasks.length } };
      if (outcome.outcome !== 'conflict') return unsure('the state service did not confirm');
    }
    return unsure('the graph keeps changing');
  }

  /** The answer to a batch that is there already, or null. */
  private async again(id: GraphId, batch: Batch): Promise<GraphResponse | null> {
    const found = await this.store.read(batchKey(id, batch.id), 1);
    if (found.outcome === 'absent') return null;
    if (found.outcome !== 'found') return unsure('the state service does not answer');
    const before = decodeBatch(found.item.value).batch;
    return JSON.stringify(before) === JSON.stringify(batch)
      ? { code: 200, body: { batch: batch.id, tasks: batch.tasks.length } }
      : { code: 409, error: `batch: ${batch.id} is there already, with other content` };
  }

  /** What can never run is refused with the batch, like a job that cannot. */
  private neverFits(batch: Batch): GraphResponse | null {
    const types = this.types();
    if (types.length === 0) return unsure('machine types are not known yet');
    const at = batch.shapes.findIndex((s) => !types.some((t) => fitsMachineType(jobSpecForShape(s), t)));
    return at < 0 ? null : { code: 422, error: `shapes[${at}]: a task fits no machine type` };
  }

  /** How deep the batch was spawned, or which task that it refers to is not there. */
  private async checkReferences(id: GraphId, batch: Batch): Promise<number | GraphResponse> {
    const refersTo = new Map<BatchId, { task: GraphTaskId; field: string }[]>();
    const refer = (task: GraphTaskId, field: string): void => {
      const on = parseGraphTaskId(task).batch;
      if (on !== batch.id) refersTo.set(on, [...(refersTo.get(on) ?? []), { task, field }]);
    };
    batch.tasks.forEach((t, i) => {
      for (const a of t.after) refer(a, `tasks[${i}][1]`);
    });
    if (batch.parent !== null) refer(batch.parent, 'parent');
    if (refersTo.size > this.limits.references)
      return { code: 422, error: `tasks: a batch refers to at most ${this.limits.references} others` };
    let depth = 0;
    for (const [other, names] of refersTo) {
      const b = await this.lookUp(id, other);
      if (b !== null && 'code' in b) return b;
      const missing = names.find((x) => b === null || parseGraphTaskId(x.task).task >= b.size);
      if (missing !== undefined)
        return {
          code: 400,
          error: `${missing.field}: expected a task of ${id}, and ${missing.task} is none`,
        };
      if (batch.parent !== null && parseGraphTaskId(batch.parent).batch === other)
        depth = (b?.depth ?? 0) + 1;
    }
    return depth <= this.limits.depth
      ? depth
      : { code: 422, error: `parent: tasks are spawned at most ${this.limits.depth} deep` };
  }

  private async lookUp(
    id: GraphId,
    batch: BatchId,
  ): Promise<{ readonly size: number; readonly depth: number } | GraphResponse | null> {
    const key = batchKey(id, batch);
    const known = this.known.get(key);
    if (known !== undefined) return known;
    const found = await this.store.read(key, 1);
    if (found.outcome === 'absent') return null;
    if (found.outcome !== 'found') return unsure('the state service does not answer');
    const b = decodeBatch(found.item.value);
    const facts = { size: b.batch.tasks.length, depth: b.depth };
    if (this.known.size >= MOST_KNOWN) this.known.clear();
    this.known.set(key, facts);
    return facts;
  }

  /** No batch is added any more: the graph is over once all its tasks are. */
  async seal(id: string): Promise<GraphResponse> {
    return this.change(id, (r) => (r.phase === 'open' ? { ...r, phase: 'sealed' } : null));
  }

  /**
   * Cancels the whole graph, or tasks with what waits for them and, if `recursive`, what they spawned.
   *
   * @throws MalformedError naming the field
   */
  async cancel(id: string, body: unknown): Promise<GraphResponse> {
    const o = body === null || body === undefined ? {} : read.asObject(body, 'body');
    const names = read.optionalStrings(o, 'tasks');
    const recursive = o['recursive'] === undefined ? true : read.boolean(o, 'recursive');
    if (names === null)
      return this.change(id, (r) =>
        r.phase === 'open' || r.phase === 'sealed' ? { ...r, phase: 'cancelled' } : null,
      );
    const tasks = names as GraphTaskId[];
    const missing = isGraphId(id) ? await this.missing(id, tasks, 'tasks') : NONE;
    if (missing !== null) return missing;
    return this.change(id, (r) => {
      if (r.phase !== 'open' && r.phase !== 'sealed') return null;
      const added = tasks.filter(
        (t) => !r.cancelled.some((c) => c.task === t && (c.recursive || !recursive)),
      );
      if (added.length === 0) return null;
      if (r.cancelled.length + added.length > MOST_CANCELLED)
        return {
          code: 422,
          error: `tasks: at most ${MOST_CANCELLED} subtrees of a graph are cancelled; cancel the graph`,
        };
      return { ...r, cancelled: [...r.cancelled, ...added.map((task) => ({ task, recursive }))] };
    });
  }

  /**
   * Takes note of results that are lost, held or let go: the leader acts on it.
   *
   * @throws MalformedError naming the field
   */
  async updateResults(id: string, body: unknown): Promise<GraphResponse> {
    const note = parseResultUpdate(body);
    const found = await this.head(id);
    if ('code' in found) return found;
    const { record } = found;
    if (record.phase !== 'open' && record.phase !== 'sealed')
      return { code: 409, error: `graph: ${id} is ${record.phase}` };
    for (const [field, tasks] of Object.entries({
      lost: note.lost,
      hold: note.hold,
      release: note.release,
    })) {
      const missing = await this.missing(record.head.id, tasks, field);
      if (missing !== null) return missing;
    }
    const key = resultNoteKey(record.head.id, note.id);
    const outcome = await this.store.commit(
      [
        { key: graphKey(record.head.id), version: found.version },
        { key, version: KEY_ABSENT },
      ],
      [{ put: key, value: { note: note.id, lost: note.lost, hold: note.hold, release: note.release } }],
      1,
    );
    if (outcome.outcome === 'committed') return { code: 201, body: { note: note.id } };
    if (outcome.outcome === 'conflict' && outcome.failed.includes(key))
      return { code: 200, body: { note: note.id } };
    return unsure('the state service did not confirm');
  }

  /** The answer where one of the tasks is not there, or null. */
  private async missing(
    id: GraphId,
    tasks: readonly GraphTaskId[],
    field: string,
  ): Promise<GraphResponse | null> {
    for (const [i, t] of tasks.entries()) {
      const b = await this.lookUp(id, parseGraphTaskId(t).batch);
      if (b !== null && 'code' in b) return b;
      if (b === null || parseGraphTaskId(t).task >= b.size)
        return { code: 400, error: `${field}[${i}]: expected a task of ${id}, and ${t} is none` };
    }
    return null;
  }

  private async change(
    id: string,
    next: (r: GraphRecord) => GraphRecord | GraphResponse | null,
  ): Promise<GraphResponse> {
    for (let n = 0; n < TRIES; n += 1) {
      const found = await this.head(id);
      if ('code' in found) return found;
      const changed = next(found.record);
      if (changed === null) return shown(200, found.record);
      if ('code' in changed) return changed;
      const key = graphKey(found.record.head.id);
      const outcome = await this.store.commit(
        [{ key, version: found.version }],
        [{ put: key, value: encodeGraph(changed) }],
        1,
      );
      if (outcome.outcome === 'committed') return shown(200, changed);
      if (outcome.outcome !== 'conflict') return unsure('the state service did not confirm');
    }
    return unsure('the graph keeps changing');
  }

  async status(id: string): Promise<GraphResponse> {
    const found = await this.head(id);
    if ('code' in found) return found;
    const { record } = found;
    if (record.summary !== null) return shown(200, record);
    const states = await this.store.list(batchStatePrefix(record.head.id), 2);
    if (states.outcome !== 'listed') return unsure('the state service does not answer');
    const counts = { done: 0, failed: 0, cancelled: 0, running: 0 };
    for (const item of states.items)
      for (const s of decodeBatchState(item.value).states) {
        if (s === '4') counts.done += 1;
        else if (s === '5') counts.failed += 1;
        else if (s === '6') counts.cancelled += 1;
        else if (s === '2' || s === '3') counts.running += 1;
      }
    return { code: 200, body: { ...headBody(record), ...counts } };
  }

  /** Why a task failed, and from which task that came, link by link. */
  async explainFailure(id: string, task: string): Promise<GraphResponse> {
    const found = await this.head(id);
    if ('code' in found) return found;
    const graph = found.record.head.id;
    const batches = await this.store.list(batchPrefix(graph), 2);
    const states = await this.store.list(batchStatePrefix(graph), 2);
    if (batches.outcome !== 'listed' || states.outcome !== 'listed')
      return unsure('the state service does not answer');
    const stateOf = new Map(
      states.items.map((s) => [s.key.slice(batchStatePrefix(graph).length), decodeBatchState(s.value)]),
    );
    const names: GraphTaskId[] = [];
    const kept = batches.items.map((b) => decodeBatch(b.value)).sort((a, b) => a.order - b.order);
    for (const b of kept) b.batch.tasks.forEach((_, n) => names.push(formatGraphTaskId(b.batch.id, n)));
    let at = names.indexOf(task as GraphTaskId);
    if (at < 0) return { code: 404, error: 'no such task' };
    const why = (i: number): { kind: number; by: number } => {
      const on = parseGraphTaskId(names[i] as GraphTaskId);
      const s = stateOf.get(on.batch);
      const of = (list: readonly (readonly [number, number])[] | undefined): number =>
        list?.find(([n]) => n === on.task)?.[1] ?? -1;
      return { kind: of(s?.failures), by: of(s?.endedBy) };
    };
    const first = why(at);
    const chain = [names[at]];
    while (chain.length < MOST_CHAIN && why(at).by >= 0) {
      at = why(at).by;
      chain.unshift(names[at]);
    }
    return { code: 200, body: { task, failure: FAILURE_NAMES[first.kind - 1] ?? null, chain } };
  }

  /** States of a batch's tasks, a page at a time. */
  async listTasks(id: string, batch: string, from: number): Promise<GraphResponse> {
    const found = await this.head(id);
    if ('code' in found) return found;
    const graph = found.record.head.id;
    const b = await this.lookUp(graph, batch as BatchId);
    if (b === null) return { code: 404, error: 'no such batch' };
    if ('code' in b) return b;
    const state = await this.store.read(batchStateKey(graph, batch as BatchId), 2);
    if (state.outcome !== 'found' && state.outcome !== 'absent')
      return unsure('the state service does not answer');
    const states = state.outcome === 'found' ? decodeBatchState(state.item.value).states : '';
    const tasks = Array.from({ length: Math.max(0, Math.min(PAGE, b.size - from)) }, (_, n) => ({
      task: `${batch}:${from + n}`,
      state: STATE_NAMES[Number(states[from + n] ?? 0)],
    }));
    return { code: 200, body: { tasks, more: from + PAGE < b.size } };
  }
}

const FAILURE_NAMES = ['error', 'upstream', 'lineage'];
const MOST_CHAIN = 1000;
const STATE_NAMES = ['waiting', 'ready', 'running', 'cancelling', 'done', 'failed', 'cancelled'];

function headBody(r: GraphRecord): Record<string, unknown> {
  return { graph: r.head.id, phase: r.phase, tasks: r.tasks };
}

function shown(code: 200 | 201, r: GraphRecord): GraphResponse {
  return { code, body: { ...headBody(r), ...(r.summary ?? {}) } };
}

/** A shape as a job of its own, for what is asked of jobs. */
export function jobSpecForShape(s: TaskShape): Parameters<typeof fitsMachineType>[0] {
  return {
    id: 'wk-none' as JobId,
    class: '',
    team: '',
    kind: 'array',
    priority: 'normal',
    tasks: 1,
    cpus: s.cpus,
    gpus: s.gpus,
    memoryGb: s.memoryGb,
    image: s.image,
    imageGb: s.imageGb,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: s.spot,
    estimateS: s.estimateS,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
  };
}

/** Wraps a call so that what is malformed is answered with its field. */
export async function respond(call: () => Promise<GraphResponse>): Promise<GraphResponse> {
  try {
    return await call();
  } catch (e) {
    if (e instanceof ValidationError) return { code: 400, error: e.message };
    throw e;
  }
}
