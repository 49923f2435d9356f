import assert from 'node:assert/strict';
import { test } from 'node:test';
import { buildHttpServer } from '@spurbridge/controller';
import { GraphService, graphControllerFactory, registerGraphRoutes } from '@spurbridge/graph-service';
import { TEAMS, TYPES, World, ZONES } from '@spurbridge/testkit';
import type { Transport } from '../src/index.js';
import { GraphClient, RefusedError, TaskCancelledError, TaskFailedError } from '../src/index.js';

const SHAPE = { cpus: 1, image: 'img', estimateS: 3 };
const silent = { debug: () => undefined, info: () => undefined, error: () => undefined };

/** A client of three nodes in a simulated world; its requests and pauses take simulated time. */
async function site(failFirst = 0) {
  const w = new World({
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
  await w.runUntil(3000);
  const state = { rps: 1000, writeRps: 1000, valueKb: 16, txnOps: 12 };
  const asked: string[] = [];
  const transport: Transport = async (server, method, path, body) => {
    const node = w.nodes[Number(server)];
    assert.ok(node !== undefined);
    asked.push(`${method} ${path}`);
    if (asked.length <= failFirst) throw new Error('connection reset');
    const app = buildHttpServer(node.controller, silent);
    registerGraphRoutes(app, new GraphService({ teams: TEAMS, storeLimits: state }, node.store, () => TYPES));
    await app.ready();
    const r = await app.inject({
      method,
      url: path,
      ...(body === undefined
        ? {}
        : { payload: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
    });
    const retry = r.headers['retry-after'];
    return { status: r.statusCode, body: r.json(), retryAfterS: retry === undefined ? null : Number(retry) };
  };
  const client = new GraphClient({
    servers: ['0', '1', '2'],
    transport,
    sleep: (ms) =>
      new Promise((resolve) => {
        w.time.after(ms, resolve);
      }),
    now: () => w.time.now,
  });
  /** Lets time pass while the client works. */
  const play = async <T>(work: Promise<T>): Promise<T> => {
    let over = false;
    const done = work.finally(() => {
      over = true;
    });
    done.catch(() => undefined);
    for (let i = 0; !over && i < 60_000; i += 1) {
      await new Promise((resolve) => setImmediate(resolve));
      await w.runUntil(w.time.now + 10);
    }
    return done;
  };
  return { w, client, play, asked };
}

test('futures as arguments make the dependencies, results arrive as tasks are done, and the graph can be sealed', async () => {
  const s = await site(2);
  await s.play(
    (async () => {
      const g = await s.client.graph({ name: 'videos', team: 'red', class: 'video' });
      const split = g.remote(SHAPE);
      const encode = g.remote({ ...SHAPE, estimateS: 6, retries: 1 });
      const join = g.remote(SHAPE);
      const parts = [split(), split(), split()];
      const encoded = parts.map((p) => encode(p));
      const whole = join(...encoded, encoded[0] as never);
      const { ready, pending } = await g.wait([...encoded, whole], 1);
      assert.ok(ready.length >= 1 && pending.includes(whole));
      const order: string[] = [];
      for await (const f of g.results([whole, ...encoded])) order.push(f.task);
      assert.equal(order.at(-1), whole.task);
      assert.equal(order.length, 4);
      const short = g.remote({ ...SHAPE, estimateS: 60 })(whole);
      const late = await g.wait([short], 1, 2000);
      assert.deepEqual([late.ready, late.pending], [[], [short]]);
      await g.cancel([short]);
      await assert.rejects(g.get(short), TaskCancelledError);
      await g.seal();
      await g.wait([whole]);
      assert.equal((await g.status())['team'], undefined);
    })(),
  );
  assert.deepEqual(s.w.checker.violations, []);
});

test('an error names the graph, the task that failed first and the chain from it', async () => {
  const s = await site();
  await s.play(
    (async () => {
      const g = await s.client.graph({ name: 'broken', team: 'red', class: 'video' });
      const bad = g.remote({ ...SHAPE, image: 'broken' })();
      const next = g.remote(SHAPE)(bad);
      const last = g.remote(SHAPE)(next);
      const error = await g.get(last).then(
        () => null,
        (e: unknown) => e,
      );
      assert.ok(error instanceof TaskFailedError, String(error));
      assert.deepEqual(error.chain, [bad.task, next.task, last.task]);
      assert.match(error.message, /^gr-broken: .* cannot run, since .* failed/);
      await assert.rejects(g.get(bad), /gr-broken: .* failed$/);
    })(),
  );
});

test('a task that runs again spawns the same children under the same names', async () => {
  const s = await site();
  await s.play(
    (async () => {
      const g = await s.client.graph({ name: 'spawn', team: 'red', class: 'video' });
      const parent = g.remote({ ...SHAPE, estimateS: 30 })();
      await g.flush();
      for (let run = 0; run < 2; run += 1) {
        const inside = s.client.within(g.id, parent.task);
        const child = inside.remote(SHAPE);
        child(child());
        await inside.flush();
      }
      assert.equal((await g.status())['tasks'], 3);
      await assert.rejects(
        (async () => {
          const inside = s.client.within(g.id, parent.task);
          inside.remote({ ...SHAPE, cpus: 2 })();
          await inside.flush();
        })(),
        (e) => e instanceof RefusedError && e.status === 409,
      );
    })(),
  );
});

test('many calls are sent in batches, an abort ends a wait, and a refused request is not retried', async () => {
  const s = await site();
  await s.play(
    (async () => {
      const g = await s.client.graph({ name: 'many', team: 'red', class: 'video' });
      const f = g.remote({ ...SHAPE, estimateS: 300 });
      const all = Array.from({ length: 900 }, () => f());
      await g.flush();
      assert.equal(s.asked.filter((a) => a.endsWith('/tasks')).length, 3);
      assert.equal((await g.status())['tasks'], 900);
      const stop = new AbortController();
      const waiting = g.wait(all.slice(0, 1), 1, Infinity, stop.signal);
      stop.abort();
      await assert.rejects(waiting, /abort/i);
      const before = s.asked.length;
      await assert.rejects(
        s.client.graph({ name: 'x', team: 'nobody', class: 'c' }),
        (e) => e instanceof RefusedError && e.status === 422,
      );
      assert.equal(s.asked.length, before + 1);
    })(),
  );
});
