import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobId } from '@spurbridge/wire';
import { formatSubmission } from '@spurbridge/wire';
import { TEAMS, TYPES, World, ZONES, jobSpec } from '@spurbridge/testkit';
import { buildHttpServer } from '../src/index.js';

const spec = jobSpec({ id: 'wk-000001' as JobId });
const silent = { debug: () => undefined, info: () => undefined, error: () => undefined };

interface Reply {
  readonly code: number;
  readonly body: Record<string, unknown>;
  readonly retryAfter: unknown;
}

async function service() {
  const w = new World({
    seed: 1,
    teams: TEAMS,
    types: TYPES,
    zones: ZONES,
    capacity: 2,
    leaseS: 12,
    cancelS: 26,
  });
  await w.runUntil(4000);
  const node = w.nodes[0];
  assert.ok(node !== undefined);
  const app = buildHttpServer(node.controller, silent);
  await app.ready();
  const call = async (method: 'GET' | 'POST', url: string, payload?: unknown): Promise<Reply> => {
    const text = typeof payload === 'string' ? payload : JSON.stringify(payload);
    const headers = { 'content-type': 'application/json' };
    const request = payload === undefined ? { method, url } : { method, url, payload: text, headers };
    const answers: Reply[] = [];
    void app.inject(request).then((r) => {
      answers.push({ code: r.statusCode, body: r.json(), retryAfter: r.headers['retry-after'] });
    });
    for (let i = 0; answers.length === 0 && i < 400; i += 1) {
      await new Promise((resolve) => setImmediate(resolve));
      await w.runUntil(w.time.now + 20);
    }
    const answer = answers[0];
    assert.ok(answer !== undefined, 'no answer');
    return answer;
  };
  return { w, call };
}

test('the four calls of users, from submission to the end', async () => {
  const { w, call } = await service();
  assert.equal((await call('GET', '/up')).code, 200);
  assert.equal((await call('GET', '/submissions/wk-000001')).code, 404);
  w.checker.jobSubmitted(spec);
  const first = await call('POST', '/submissions', formatSubmission(spec));
  assert.deepEqual([first.code, first.body['phase']], [201, 'queued']);
  assert.equal((await call('POST', '/submissions', formatSubmission(spec))).code, 200);
  await w.runUntil(w.time.now + 40_000);
  assert.deepEqual((await call('GET', '/submissions/wk-000001')).body, {
    nameId: 'wk-000001',
    phase: 'done',
    done: 4,
    running: 0,
  });
  assert.equal((await call('POST', '/submissions/wk-000001/cancel')).body['phase'], 'done');
  assert.equal((await call('POST', '/submissions/wk-000002/cancel')).code, 404);
});

test('bad input is 400, what can never run 422, and neither forgets a known job', async () => {
  const { call } = await service();
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
    const answer = await call('POST', '/submissions', retry);
    assert.deepEqual([answer.code, answer.body['nameId']], [200, 'wk-000001']);
  }
});

test('a cancelled job remains cancelled, told by every later answer', async () => {
  const { call } = await service();
  await call('POST', '/submissions', formatSubmission(spec));
  // An empty body under a content type was refused as malformed.
  assert.equal((await call('POST', '/submissions/wk-000001/cancel', '')).body['phase'], 'cancelled');
  assert.equal((await call('POST', '/submissions/wk-000001/cancel')).body['phase'], 'cancelled');
  assert.equal((await call('GET', '/submissions/wk-000001')).body['phase'], 'cancelled');
  assert.equal((await call('POST', '/submissions', formatSubmission(spec))).body['phase'], 'cancelled');
});

test('while the state service is away, callers are told at once when to come back', async () => {
  const { w, call } = await service();
  w.store.setOutage(true);
  const before = w.time.now;
  for (const answer of [
    await call('POST', '/submissions', formatSubmission(spec)),
    await call('GET', '/submissions/wk-000001'),
    await call('POST', '/submissions/wk-000001/cancel'),
  ])
    assert.deepEqual([answer.code, answer.retryAfter], [503, '1']);
  assert.ok(w.time.now - before < 500, 'nothing is held back');
});
