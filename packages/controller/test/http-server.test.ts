import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobId } from '@spurbridge/wire';
import { formatSubmission } from '@spurbridge/wire';
import { TEAMS, TYPES, World, ZONES, jobSpec } from '@spurbridge/testkit';
import { buildHttpServer } from '../src/index.js';

const spec = jobSpec({ id: 'wk-000001' as JobId });
const silentLogger = { debug: () => undefined, info: () => undefined, error: () => undefined };

interface HttpResponse {
  readonly code: number;
  readonly body: Record<string, unknown>;
  readonly retryAfter: unknown;
}

/** Starts a simulated deployment, and returns a function that calls the HTTP server of its first node. */
async function startServer() {
  const world = new World({
    seed: 1,
    teams: TEAMS,
    types: TYPES,
    zones: ZONES,
    capacity: 2,
    leaseS: 12,
    cancelS: 26,
  });
  await world.runUntil(4000);
  const node = world.nodes[0];
  assert.ok(node !== undefined);
  const app = buildHttpServer(node.controller, silentLogger);
  await app.ready();
  const call = async (method: 'GET' | 'POST', url: string, payload?: unknown): Promise<HttpResponse> => {
    const text = typeof payload === 'string' ? payload : JSON.stringify(payload);
    const headers = { 'content-type': 'application/json' };
    const request = payload === undefined ? { method, url } : { method, url, payload: text, headers };
    const responses: HttpResponse[] = [];
    void app.inject(request).then((r) => {
      responses.push({ code: r.statusCode, body: r.json(), retryAfter: r.headers['retry-after'] });
    });
    for (let i = 0; responses.length === 0 && i < 400; i += 1) {
      await new Promise((resolve) => setImmediate(resolve));
      await world.runUntil(world.time.now + 20);
    }
    const response = responses[0];
    assert.ok(response !== undefined, 'no response');
    return response;
  };
  return { world, call };
}

test('the health, submission, status and cancellation routes serve a job from its submission until it is done', async () => {
  const { world, call } = await startServer();
  assert.equal((await call('GET', '/up')).code, 200);
  assert.equal((await call('GET', '/submissions/wk-000001')).code, 404);
  world.checker.jobSubmitted(spec);
  const first = await call('POST', '/submissions', formatSubmission(spec));
  assert.deepEqual([first.code, first.body['phase']], [201, 'queued']);
  assert.equal((await call('POST', '/submissions', formatSubmission(spec))).code, 200);
  await world.runUntil(world.time.now + 40_000);
  assert.deepEqual((await call('GET', '/submissions/wk-000001')).body, {
    nameId: 'wk-000001',
    phase: 'done',
    done: 4,
    running: 0,
  });
  assert.equal((await call('POST', '/submissions/wk-000001/cancel')).body['phase'], 'done');
  assert.equal((await call('POST', '/submissions/wk-000002/cancel')).code, 404);
});

test('malformed submissions get 400 and jobs that can never run get 422, but a known job always gets its status', async () => {
  const { call } = await startServer();
  const body = formatSubmission(spec);
  for (const bad of [
    '{',
    '[]',
    '7',
    '',
    { ...body, nameId: 'x' },
    { ...body, cpus: '8' },
    { ...body, pieces: 0 },
  ])
    assert.equal((await call('POST', '/submissions', bad)).code, 400, JSON.stringify(bad));
  assert.equal((await call('POST', '/submissions', { ...body, kit: 'x'.repeat(70_000) })).code, 400);
  assert.equal((await call('POST', '/submissions', { ...body, crew: 'nobody' })).code, 422);
  assert.equal((await call('POST', '/submissions', body)).code, 201);
  for (const retry of [
    { ...body, crew: 'nobody' },
    { ...body, cpus: 'many' },
  ]) {
    const response = await call('POST', '/submissions', retry);
    assert.deepEqual([response.code, response.body['nameId']], [200, 'wk-000001']);
  }
});

test('every call after a cancellation reports the job as cancelled', async () => {
  const { call } = await startServer();
  await call('POST', '/submissions', formatSubmission(spec));
  // An empty body with a declared content type was once rejected as malformed.
  assert.equal((await call('POST', '/submissions/wk-000001/cancel', '')).body['phase'], 'cancelled');
  assert.equal((await call('POST', '/submissions/wk-000001/cancel')).body['phase'], 'cancelled');
  assert.equal((await call('GET', '/submissions/wk-000001')).body['phase'], 'cancelled');
  assert.equal((await call('POST', '/submissions', formatSubmission(spec))).body['phase'], 'cancelled');
});

test('calls immediately get 503 with Retry-After while the key-value store is unavailable', async () => {
  const { world, call } = await startServer();
  world.store.setOutage(true);
  const before = world.time.now;
  for (const response of [
    await call('POST', '/submissions', formatSubmission(spec)),
    await call('GET', '/submissions/wk-000001'),
    await call('POST', '/submissions/wk-000001/cancel'),
  ])
    assert.deepEqual([response.code, response.retryAfter], [503, '1']);
  assert.ok(world.time.now - before < 500, 'calls are not delayed');
});
