/**
 * Clients' requests about task graphs. Any node can handle them, using only the key-value store.
 *
 * @module
 */
import type { Settings } from '@spurbridge/controller';
import type { CommitOutcome, KeyValueStore } from '@spurbridge/store';
import type { Batch, GraphSpec, GraphTaskId, MachineType, ResultUpdate } from '@spurbridge/wire';
import { KEY_ABSENT, isGraphId, parseBatch, parseGraphSpec, parseResultUpdate, read } from '@spurbridge/wire';
import type { GraphLimits } from './batch-admission.js';
import { BatchAdmission, DEFAULT_GRAPH_LIMITS } from './batch-admission.js';
import { GraphQueries } from './graph-queries.js';
import type { FoundGraph } from './graph-reader.js';
import { GraphReader } from './graph-reader.js';
import type { GraphFailure, GraphResult } from './graph-result.js';
import {
  GRAPH_NOT_FOUND,
  describeGraph,
  storeDidNotConfirm,
  storeDoesNotRespond,
  unavailable,
} from './graph-result.js';
import { batchKey, graphKey, openGraphKey, openGraphPrefix, resultUpdateKey } from './keys.js';
import { NORMAL_PRIORITY } from './priorities.js';
import type { GraphRecord } from './records.js';
import { encodeGraph, isActivePhase } from './records.js';

/** Maximum number of attempts to change a graph under concurrent changes. */
const MAX_ATTEMPTS = 6;
/** Seconds after which a team with too many open graphs should retry. */
const LIMITED_RETRY_S = 15;
/** Maximum number of subtrees of one graph that can be cancelled individually. */
const MAX_CANCELLED_SUBTREES = 100;

/** The outcome of changing a graph's record: a new record, no change, or a rejection of the request. */
type RecordChange =
  { readonly kind: 'changed'; readonly record: GraphRecord } | { readonly kind: 'unchanged' } | GraphFailure;

const UNCHANGED: RecordChange = { kind: 'unchanged' };

/** Creates, extends, cancels and describes graphs. All requests are idempotent. */
export class GraphService {
  private readonly reader: GraphReader;
  private readonly admission: BatchAdmission;
  private readonly queries: GraphQueries;

  constructor(
    private readonly settings: Pick<Settings, 'teams' | 'storeLimits'>,
    private readonly store: KeyValueStore,
    machineTypes: () => readonly MachineType[],
    private readonly limits: GraphLimits = DEFAULT_GRAPH_LIMITS,
  ) {
    this.reader = new GraphReader(store);
    this.admission = new BatchAdmission(
      store,
      this.reader,
      machineTypes,
      limits,
      settings.storeLimits.valueKb,
    );
    this.queries = new GraphQueries(store, this.reader);
  }

  // --- creation and extension ------------------------------------------------------------------

  /**
   * Creates a graph, or finds the existing identical one.
   *
   * @throws ValidationError naming the field
   */
  async create(body: unknown): Promise<GraphResult> {
    const spec = parseGraphSpec(body);
    if (!this.settings.teams.some((team) => team.name === spec.team))
      return { kind: 'unprocessable', error: `team: expected a known team, got ${spec.team}` };
    const found = await this.reader.findGraph(spec.id);
    if (found.kind === 'found') return describeExisting(found.record, spec);
    if (found.kind !== 'not-found') return found;
    const rejection = await this.checkOpenGraphs(spec.team);
    if (rejection !== null) return rejection;
    const record: GraphRecord = {
      spec,
      phase: 'open',
      tasks: 0,
      batches: 0,
      cancelledSubtrees: [],
      summary: null,
    };
    const outcome = await this.store.commit(
      [{ key: graphKey(spec.id), version: KEY_ABSENT }],
      [
        { put: openGraphKey(spec.team, spec.id), value: {} },
        { put: graphKey(spec.id), value: encodeGraph(record) },
      ],
      NORMAL_PRIORITY,
    );
    return outcome.outcome === 'committed'
      ? { kind: 'created', body: describeGraph(record) }
      : storeDidNotConfirm();
  }

  private async checkOpenGraphs(team: string): Promise<GraphFailure | null> {
    const open = await this.store.list(openGraphPrefix(team), NORMAL_PRIORITY);
    if (open.outcome !== 'listed') return storeDoesNotRespond();
    const limit = this.limits.openPerTeam;
    if (open.items.length < limit) return null;
    const error = `team: ${team} has ${open.items.length} open graphs, and the limit is ${limit}`;
    return { kind: 'limited', error, retryAfterS: LIMITED_RETRY_S };
  }

  /**
   * Adds a whole batch, or nothing.
   *
   * @throws ValidationError naming the field
   */
  async addBatch(id: string, body: unknown): Promise<GraphResult> {
    const batch = parseBatch(body);
    const shapesRejection = this.admission.checkShapes(batch);
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const found = await this.reader.findGraph(id);
      if (found.kind !== 'found') return found;
      const { record } = found;
      const earlier = await this.admission.findEarlier(record.spec.id, batch);
      if (earlier !== null) return earlier;
      if (record.phase !== 'open') return phaseConflict(record);
      if (shapesRejection !== null) return shapesRejection;
      const admitted = await this.admission.admit(record, batch);
      if (admitted.kind !== 'admitted') return admitted;
      const outcome = await this.commitBatch(found, batch, admitted.value);
      if (outcome.outcome === 'committed')
        return { kind: 'created', body: { batch: batch.id, tasks: batch.tasks.length } };
      if (outcome.outcome !== 'conflict') return storeDidNotConfirm();
    }
    return unavailable('the graph was changed concurrently during every attempt');
  }

  private commitBatch(
    { record, version }: FoundGraph,
    batch: Batch,
    value: Record<string, unknown>,
  ): Promise<CommitOutcome> {
    const { id } = record.spec;
    const next: GraphRecord = {
      ...record,
      tasks: record.tasks + batch.tasks.length,
      batches: record.batches + 1,
    };
    return this.store.commit(
      [
        { key: graphKey(id), version },
        { key: batchKey(id, batch.id), version: KEY_ABSENT },
      ],
      [
        { put: graphKey(id), value: encodeGraph(next) },
        { put: batchKey(id, batch.id), value },
      ],
      NORMAL_PRIORITY,
    );
  }

  // --- end and cancellation --------------------------------------------------------------------

  /** Seals the graph: no batch can be added any more, and the graph ends once all its tasks have ended. */
  async seal(id: string): Promise<GraphResult> {
    return this.changeRecord(id, (record) =>
      record.phase === 'open' ? { kind: 'changed', record: { ...record, phase: 'sealed' } } : UNCHANGED,
    );
  }

  /**
   * Cancels the whole graph, or tasks together with those that wait for them and, if `recursive`, those that
   * they spawned.
   *
   * @throws ValidationError naming the field
   */
  async cancel(id: string, body: unknown): Promise<GraphResult> {
    const fields = body === null || body === undefined ? {} : read.asObject(body, 'body');
    const names = read.optionalStrings(fields, 'tasks');
    const recursive = fields['recursive'] === undefined ? true : read.boolean(fields, 'recursive');
    if (names === null) return this.changeRecord(id, cancelGraph);
    const tasks = names as GraphTaskId[];
    const rejection = isGraphId(id) ? await this.reader.checkTasks(id, tasks, 'tasks') : GRAPH_NOT_FOUND;
    if (rejection !== null) return rejection;
    return this.changeRecord(id, (record) => cancelSubtrees(record, tasks, recursive));
  }

  /** Replaces a graph's record by the result of `change`; retries after a concurrent change. */
  private async changeRecord(
    id: string,
    change: (record: GraphRecord) => RecordChange,
  ): Promise<GraphResult> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const found = await this.reader.findGraph(id);
      if (found.kind !== 'found') return found;
      const next = change(found.record);
      if (next.kind === 'unchanged') return { kind: 'ok', body: describeGraph(found.record) };
      if (next.kind !== 'changed') return next;
      const key = graphKey(found.record.spec.id);
      const outcome = await this.store.commit(
        [{ key, version: found.version }],
        [{ put: key, value: encodeGraph(next.record) }],
        NORMAL_PRIORITY,
      );
      if (outcome.outcome === 'committed') return { kind: 'ok', body: describeGraph(next.record) };
      if (outcome.outcome !== 'conflict') return storeDidNotConfirm();
    }
    return unavailable('the graph was changed concurrently during every attempt');
  }

  // --- results ---------------------------------------------------------------------------------

  /**
   * Records that results are lost, held or released; the leader applies the update.
   *
   * @throws ValidationError naming the field
   */
  async updateResults(id: string, body: unknown): Promise<GraphResult> {
    const update = parseResultUpdate(body);
    const found = await this.reader.findGraph(id);
    if (found.kind !== 'found') return found;
    const { record, version } = found;
    if (!isActivePhase(record.phase)) return phaseConflict(record);
    const rejection = await this.checkUpdatedTasks(record, update);
    if (rejection !== null) return rejection;
    const key = resultUpdateKey(record.spec.id, update.id);
    const { lost, hold, release } = update;
    const outcome = await this.store.commit(
      [
        { key: graphKey(record.spec.id), version },
        { key, version: KEY_ABSENT },
      ],
      [{ put: key, value: { note: update.id, lost, hold, release } }],
      NORMAL_PRIORITY,
    );
    if (outcome.outcome === 'committed') return { kind: 'created', body: { note: update.id } };
    if (outcome.outcome === 'conflict' && outcome.failed.includes(key))
      return { kind: 'ok', body: { note: update.id } };
    return storeDidNotConfirm();
  }

  private async checkUpdatedTasks(
    { spec }: GraphRecord,
    { lost, hold, release }: ResultUpdate,
  ): Promise<GraphFailure | null> {
    for (const [field, tasks] of Object.entries({ lost, hold, release })) {
      const rejection = await this.reader.checkTasks(spec.id, tasks, field);
      if (rejection !== null) return rejection;
    }
    return null;
  }

  // --- queries ---------------------------------------------------------------------------------

  /** Phase of a graph, and how many of its tasks are in which state. */
  async status(id: string): Promise<GraphResult> {
    return this.queries.status(id);
  }

  /** Why a task failed, and the chain of tasks from the one that failed first. */
  async explainFailure(id: string, task: string): Promise<GraphResult> {
    return this.queries.explainFailure(id, task);
  }

  /** States of a batch's tasks from the given position on, at most one page. */
  async listTasks(id: string, batch: string, from: number): Promise<GraphResult> {
    return this.queries.listTasks(id, batch, from);
  }
}

function describeExisting(record: GraphRecord, spec: GraphSpec): GraphResult {
  if (JSON.stringify(record.spec) === JSON.stringify(spec))
    return { kind: 'ok', body: describeGraph(record) };
  const error = `graph: ${spec.id} already exists with another class, team or priority`;
  return { kind: 'conflict', error };
}

function phaseConflict({ spec, phase }: GraphRecord): GraphFailure {
  return { kind: 'conflict', error: `graph: ${spec.id} is ${phase}` };
}

function cancelGraph(record: GraphRecord): RecordChange {
  return isActivePhase(record.phase)
    ? { kind: 'changed', record: { ...record, phase: 'cancelled' } }
    : UNCHANGED;
}

function cancelSubtrees(
  record: GraphRecord,
  tasks: readonly GraphTaskId[],
  recursive: boolean,
): RecordChange {
  if (!isActivePhase(record.phase)) return UNCHANGED;
  const { cancelledSubtrees: known } = record;
  const isCovered = (task: GraphTaskId): boolean =>
    known.some((subtree) => subtree.task === task && (subtree.recursive || !recursive));
  const added = tasks.filter((task) => !isCovered(task));
  if (added.length === 0) return UNCHANGED;
  if (known.length + added.length > MAX_CANCELLED_SUBTREES) {
    const error = `tasks: expected at most ${MAX_CANCELLED_SUBTREES} cancelled subtrees of a graph; cancel the whole graph`;
    return { kind: 'unprocessable', error };
  }
  const cancelledSubtrees = [...known, ...added.map((task) => ({ task, recursive }))];
  return { kind: 'changed', record: { ...record, cancelledSubtrees } };
}
