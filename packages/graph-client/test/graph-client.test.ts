import assert from 'node:assert/strict';
import { test } from 'node:test';
import { buildHttpServer } from '@spurbridge/controller';
import { GraphService, graphControllerFactory, registerGraphRoutes } from '@spurbridge/graph-service';
import { TEAMS, TYPES, World, ZONES } from '@spurbridge/testkit';
import type { Transport } from '../src/index.js';
import { GraphClient, RefusedError, TaskCancelledError, TaskFailedError } from '../src/index.js';

const SHAPE = { cpus: 1, image: 'img', estimateS: 3 };
const silentLog = { debug: () => undefined, info: () => undefined, error: () => undefined };

/**
 * A client of three nodes in a simulated world; its requests and pauses take simulated time. The first
 * `failedRequests` requests get no response.
 */
async function createSite(failedRequests = 0) {
  const world = new World({
    seed: 4,
    teams: TEAMS,
    types: TYPES,
    zones: ZONES,
    capacity: 2,
    leaseS: 12,
    cancelS: 26,
    leaderComponents: () => [graphControllerFactory()],
    taskFails: (job) => job.image === 'broken',
  });
  await world.runUntil(3000);
  const storeLimits = { rps: 1000, writeRps: 1000, valueKb: 16, txnOps: 12 };
  const requests: string[] = [];
  const transport: Transport = async (server, method, path, body) => {
    const node = world.nodes[Number(server)];
    assert.ok(node !== undefined);
    requests.push(`${method} ${path}`);
    if (requests.length <= failedRequests) throw new Error('connection reset');
    const app = buildHttpServer(node.controller, silentLog);
    registerGraphRoutes(app, new GraphService({ teams: TEAMS, storeLimits }, node.store, () => TYPES));
    await app.ready();
    const response = await app.inject({
      method,
      url: path,
      ...(body === undefined
        ? {}
        : { payload: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
    });
    const retryAfter = response.headers['retry-after'];
    return {
      status: response.statusCode,
      body: response.json(),
      retryAfterS: retryAfter === undefined ? null : Number(retryAfter),
    };
  };
  const client = new GraphClient({
    servers: ['0', '1', '2'],
    transport,
    sleep: (ms) =>
      new Promise((resolve) => {
        world.time.after(ms, resolve);
      }),
    now: () => world.time.now,
  });
  /** Advances simulated time until the promise is settled. */
  const runUntilSettled = async <T>(work: Promise<T>): Promise<T> => {
    let isSettled = false;
    const settled = work.finally(() => {
      isSettled = true;
    });
    settled.catch(() => undefined);
    for (let i = 0; !isSettled && i < 60_000; i += 1) {
      await new Promise((resolve) => setImmediate(resolve));
      await world.runUntil(world.time.now + 10);
    }
    return settled;
  };
  return { world, client, runUntilSettled, requests };
}

test('futures as arguments create dependencies, results are yielded as tasks end, and a graph can be sealed', async () => {
  const site = await createSite(2);
  await site.runUntilSettled(
    (async () => {
      const g = await site.client.graph({ name: 'videos', team: 'red', class: 'video' });
      const split = g.remote(SHAPE);
      const encode = g.remote({ ...SHAPE, estimateS: 6, retries: 1 });
      const join = g.remote(SHAPE);
      const parts = [split(), split(), split()];
      const encoded = parts.map((p) => encode(p));
      const joined = join(...encoded, encoded[0] as never);
      const { ready, pending } = await g.wait([...encoded, joined], 1);
      assert.ok(ready.length >= 1 && pending.includes(joined));
      const order: string[] = [];
      for await (const f of g.results([joined, ...encoded])) order.push(f.task);
      assert.equal(order.at(-1), joined.task);
      assert.equal(order.length, 4);
      const slow = g.remote({ ...SHAPE, estimateS: 60 })(joined);
      const timedOut = await g.wait([slow], 1, 2000);
      assert.deepEqual([timedOut.ready, timedOut.pending], [[], [slow]]);
      await g.cancel([slow]);
      await assert.rejects(g.get(slow), TaskCancelledError);
      await g.seal();
      await g.wait([joined]);
      assert.equal((await g.status())['team'], undefined);
    })(),
  );
  assert.deepEqual(site.world.checker.violations, []);
});

test('the error of a failed task names the graph, the task that failed first and the chain from it', async () => {
  const site = await createSite();
  await site.runUntilSettled(
    (async () => {
      const g = await site.client.graph({ name: 'broken', team: 'red', class: 'video' });
      const bad = g.remote({ ...SHAPE, image: 'broken' })();
      const next = g.remote(SHAPE)(bad);
      const last = g.remote(SHAPE)(next);
      const error = await g.get(last).then(
        () => null,
        (e: unknown) => e,
      );
      assert.ok(error instanceof TaskFailedError, String(error));
      assert.deepEqual(error.chain, [bad.task, next.task, last.task]);
      assert.match(error.message, /^gr-broken: .* cannot run because .* failed/);
      await assert.rejects(g.get(bad), /gr-broken: .* failed$/);
    })(),
  );
});

test('a task that runs again spawns the same children under the same names', async () => {
  const site = await createSite();
  await site.runUntilSettled(
    (async () => {
      const g = await site.client.graph({ name: 'spawn', team: 'red', class: 'video' });
      const parent = g.remote({ ...SHAPE, estimateS: 30 })();
      await g.flush();
      for (let run = 0; run < 2; run += 1) {
        const taskGraph = site.client.within(g.id, parent.task);
        const child = taskGraph.remote(SHAPE);
        child(child());
        await taskGraph.flush();
      }
      assert.equal((await g.status())['tasks'], 3);
      await assert.rejects(
        (async () => {
          const taskGraph = site.client.within(g.id, parent.task);
          taskGraph.remote({ ...SHAPE, cpus: 2 })();
          await taskGraph.flush();
        })(),
        (e) => e instanceof RefusedError && e.status === 409,
      );
    })(),
  );
});

test('calls are sent in batches, an abort ends a wait, and a rejected request is not retried', async () => {
  const site = await createSite();
  await site.runUntilSettled(
    (async () => {
      const g = await site.client.graph({ name: 'many', team: 'red', class: 'video' });
      const f = g.remote({ ...SHAPE, estimateS: 300 });
      const all = Array.from({ length: 900 }, () => f());
      await g.flush();
      assert.equal(site.requests.filter((a) => a.endsWith('/tasks')).length, 3);
      assert.equal((await g.status())['tasks'], 900);
      const controller = new AbortController();
      const waiting = g.wait(all.slice(0, 1), 1, Infinity, controller.signal);
      controller.abort();
      await assert.rejects(waiting, /abort/i);
      const before = site.requests.length;
      await assert.rejects(
        site.client.graph({ name: 'x', team: 'nobody', class: 'c' }),
        (e) => e instanceof RefusedError && e.status === 422,
      );
      assert.equal(site.requests.length, before + 1);
    })(),
  );
});
