/**
 * A simulated world with graph controllers, and a client that adds the measured graph to it.
 *
 * @module
 */
import { GraphService, graphControllerFactory, graphKey, respond } from '@spurbridge/graph-service';
import type { GraphResponse, GraphResult } from '@spurbridge/graph-service';
import { World, ZONES, machineType } from '@spurbridge/testkit';
import type { GraphId, TaskShape } from '@spurbridge/wire';
import { GraphRequestRefusedError, NoSuchNodeError } from './errors.js';

/** Name of the measured graph. */
export const GRAPH_ID = 'gr-measured' as GraphId;
/** Number of tasks of one batch. */
export const BATCH_SIZE = 400;
/** Time within which the world elects its first leader. */
const WARM_UP_MS = 3000;
const RESPONSE_STEP_MS = 10;
const MAX_RESPONSE_STEPS = 2000;
const RETRY_DELAY_MS = 300;
const HTTP_TOO_MANY_REQUESTS = 429;
const STORE_LIMITS = { rps: 250, writeRps: 100, valueKb: 16, txnOps: 12 };

/** Shape of all tasks of the graph. */
export const TASK_SHAPE: TaskShape = {
  cpus: 1,
  gpus: 0,
  memoryGb: 1,
  image: 'img',
  imageGb: 0,
  estimateS: 5,
  retries: 0,
  spot: true,
};

/** Creates a world with two teams that have equal quotas. */
export function createWorld(seed: number, capacity: number, cpusMax: number): World {
  return new World({
    seed,
    teams: [
      { name: 'red', cpus: cpusMax / 2, cpusMax, gpus: 0, gpusMax: 0 },
      { name: 'blue', cpus: cpusMax / 2, cpusMax, gpus: 0, gpusMax: 0 },
    ],
    types: [machineType('m16', 16)],
    zones: ZONES,
    capacity,
    leaseS: 22,
    cancelS: 42,
    userPollMs: 30_000,
    storeLimits: STORE_LIMITS,
    leaderComponents: () => [graphControllerFactory()],
  });
}

/** Creates a graph service on one node. */
function graphServiceOn(world: World, node: number): GraphService {
  const host = world.nodes[node];
  if (host === undefined) throw new NoSuchNodeError(node);
  const teams = ['red', 'blue'].map((name) => ({ name, cpus: 0, cpusMax: Infinity, gpus: 0, gpusMax: 0 }));
  return new GraphService({ teams, storeLimits: STORE_LIMITS }, host.store, () => [machineType('m16', 16)]);
}

/**
 * Repeats a request on one node after another until it succeeds.
 *
 * @throws GraphRequestRefusedError on a response that is not retryable
 */
async function requestUntilAccepted(
  world: World,
  call: (service: GraphService) => Promise<GraphResult>,
): Promise<void> {
  for (let n = 0; ; n += 1) {
    const responses: GraphResponse[] = [];
    void respond(() => call(graphServiceOn(world, n % 3))).then((response) => responses.push(response));
    for (let i = 0; responses.length === 0 && i < MAX_RESPONSE_STEPS; i += 1) {
      await new Promise((resolve) => setImmediate(resolve));
      await world.runUntil(world.time.now + RESPONSE_STEP_MS);
    }
    const [response] = responses;
    if (response !== undefined && response.code < 300) return;
    if (response !== undefined && response.code < 500 && response.code !== HTTP_TOO_MANY_REQUESTS)
      throw new GraphRequestRefusedError(response);
    await world.runUntil(world.time.now + RETRY_DELAY_MS);
  }
}

/** Adds tasks in batches. Each task depends on the task at its position in the previous layer. */
export async function addTasks(world: World, tasks: number, layers: number): Promise<void> {
  const batches = Math.ceil(tasks / BATCH_SIZE);
  const perLayer = Math.max(1, Math.floor(batches / layers));
  for (let batch = 0; batch < batches; batch += 1) {
    const before = batch - perLayer;
    const size = Math.min(BATCH_SIZE, tasks - batch * BATCH_SIZE);
    const body = {
      batch: `b${batch}`,
      shapes: [TASK_SHAPE],
      tasks: Array.from({ length: size }, (_, i) =>
        before < 0 ? [0] : [0, [`b${before}:${i % BATCH_SIZE}`]],
      ),
    };
    await requestUntilAccepted(world, (service) => service.addBatch(GRAPH_ID, body));
  }
}

/** Runs until a leader is elected and creates the graph. */
export async function createGraph(world: World): Promise<void> {
  await world.runUntil(WARM_UP_MS);
  await requestUntilAccepted(world, (service) =>
    service.create({ graph: GRAPH_ID, class: 'video', team: 'red', priority: 'normal' }),
  );
}

/** Seals the graph, after which no more tasks can be added. */
export async function sealGraph(world: World): Promise<void> {
  await requestUntilAccepted(world, (service) => service.seal(GRAPH_ID));
}

/** Runs until the sealed graph has ended, for at most `steps` steps. */
export async function runUntilGraphEnds(world: World, stepMs: number, steps: number): Promise<void> {
  for (let step = 0; step < steps && graphRecord(world)?.phase === 'sealed'; step += 1)
    await world.runUntil(world.time.now + stepMs);
}

/** Number of completed tasks according to the stored record of the graph. */
export function completedTasks(world: World): number {
  return graphRecord(world)?.tally?.done ?? 0;
}

interface GraphRecord {
  readonly phase?: unknown;
  readonly tally?: { readonly done?: number };
}

function graphRecord(world: World): GraphRecord | undefined {
  return world.store.peek(graphKey(GRAPH_ID)) as GraphRecord | undefined;
}
