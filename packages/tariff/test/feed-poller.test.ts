import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { ProcessClock, SimTime } from '@spurbridge/testkit';
import type { TariffDocument } from '@spurbridge/wire';
import { MAX_TARIFF_BYTES, formatTariff, parseTariff } from '@spurbridge/wire';
import type { FeedResponse } from '../src/index.js';
import { TariffFeedPoller, HttpTariffFeed, rejectionReason } from '../src/index.js';

function tariff(revision: number, issuedAt = revision * 1000): TariffDocument {
  return parseTariff({
    format: 1,
    revision,
    timeZone: 'Europe/Riga',
    issuedAt: new Date(issuedAt).toISOString(),
    nextUpdateS: 60,
    base: { price: 1 },
  });
}

/** Runs a poller against scripted responses, one per request; the last one is repeated. */
async function runPoller(
  responses: readonly FeedResponse[],
  durationMs: number,
  initial: TariffDocument | null = null,
) {
  const time = new SimTime();
  const requestedAt: number[] = [];
  const tags: (string | null)[] = [];
  const errors: string[] = [];
  const states: string[] = [];
  let accepted = initial;
  const poller = new TariffFeedPoller({
    source: {
      fetch: (tag) => {
        const response = responses[Math.min(requestedAt.length, responses.length - 1)] as FeedResponse;
        requestedAt.push(time.now);
        tags.push(tag);
        return Promise.resolve(response);
      },
    },
    clock: new ProcessClock(time, 1, 0),
    log: {
      debug: () => undefined,
      info: (f) => states.push((f as { to: string }).to),
      error: (f) => errors.push((f as { refused: string }).refused),
    },
    seed: 3,
    silentS: 600,
    lastAccepted: () => accepted,
    apply: (document) => {
      accepted = document;
      return Promise.resolve(true);
    },
  });
  void poller.run(() => time.now < durationMs);
  await new Promise((resolve) => setImmediate(resolve));
  await time.runUntil(durationMs);
  return { requestedAt, tags, errors, states, accepted: accepted as TariffDocument | null };
}

const documentResponse = (t: TariffDocument, tag = '"a"'): FeedResponse => ({
  outcome: 'document',
  body: formatTariff(t),
  etag: tag,
});
const failed: FeedResponse = { outcome: 'failed', why: 'status 500', retryAfterS: null };

test('the poller sends requests at the stated interval with jitter, each with the last entity tag', async () => {
  const r = await runPoller([documentResponse(tariff(1)), { outcome: 'unchanged' }], 600_000);
  assert.deepEqual(r.tags.slice(0, 3), [null, '"a"', '"a"']);
  const gaps = r.requestedAt.slice(1).map((at, i) => at - (r.requestedAt[i] as number));
  assert.ok(
    gaps.every((g) => g >= 45_000 && g <= 75_001),
    gaps.join(),
  );
  assert.ok(new Set(gaps.map(Math.round)).size > 5);
  assert.deepEqual(r.states, ['fresh']);
});

test('a failing feed is polled with backoff, becomes silent in time, and becomes fresh again', async () => {
  const failing = await runPoller([documentResponse(tariff(1)), failed], 3_600_000);
  assert.deepEqual(failing.states, ['fresh', 'failing', 'silent']);
  assert.equal(failing.accepted?.revision, 1);
  assert.ok(failing.requestedAt.length < 25, `${failing.requestedAt.length} requests in an hour`);
  const gaps = failing.requestedAt.slice(1).map((at, i) => at - (failing.requestedAt[i] as number));
  assert.ok((gaps[1] as number) < 3000 && Math.max(...gaps) <= 375_001 && Math.max(...gaps) > 200_000);
  const recovered = await runPoller(
    [documentResponse(tariff(1)), failed, failed, documentResponse(tariff(2))],
    300_000,
  );
  assert.deepEqual(recovered.states, ['fresh', 'failing', 'fresh']);
  assert.equal(recovered.accepted?.revision, 2);
  const withRetryAfter = await runPoller([{ ...failed, retryAfterS: 200 }], 500_000);
  assert.ok((withRetryAfter.requestedAt[1] as number) >= 150_000, 'Retry-After is observed');
});

test('a malformed, oversized or outdated document is rejected with its field, and the last accepted one stays', async () => {
  const accepted = tariff(5);
  const window = { name: 'w', from: '01:00', to: '02:00', price: 1 };
  const invalid: readonly [RegExp, unknown][] = [
    [/^tariff: expected an object/, 'hello'],
    [
      /^windows: expected at most/,
      { ...formatTariff(accepted), revision: 6, windows: Array(1_000_000).fill(window) },
    ],
    [/^base\.price/, { ...formatTariff(accepted), revision: 6, base: { price: null } }],
    [/^timeZone/, { ...formatTariff(accepted), revision: 6, timeZone: 'Nowhere/Here' }],
    [/^revision: expected at least 5/, formatTariff(tariff(4))],
    [/^issuedAt/, formatTariff(tariff(6, 1000))],
    [/^revision: expected a new number/, { ...formatTariff(accepted), base: { price: 2 } }],
  ];
  for (const [reason, body] of invalid) {
    const r = await runPoller([{ outcome: 'document', body, etag: null }], 1000, accepted);
    assert.equal(r.errors.length, 1);
    assert.match(r.errors[0] as string, reason);
    assert.deepEqual(r.accepted, accepted);
  }
  assert.equal(rejectionReason(tariff(6), accepted), null);
  assert.equal(rejectionReason(accepted, accepted), null);
});

test('the HTTP feed handles entity tags, Retry-After, oversized bodies and no response', async () => {
  let mode: 'good' | 'busy' | 'huge' | 'text' = 'good';
  const server = createServer((request, response) => {
    if (mode === 'busy') response.writeHead(503, { 'retry-after': '7' }).end();
    else if (mode === 'huge') response.writeHead(200).end('x'.repeat(MAX_TARIFF_BYTES + 1));
    else if (mode === 'text') response.writeHead(200).end('<html>');
    else if (request.headers['if-none-match'] === '"v1"') response.writeHead(304).end();
    else response.writeHead(200, { etag: '"v1"' }).end(JSON.stringify(formatTariff(tariff(1))));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const feed = new HttpTariffFeed(`http://127.0.0.1:${(server.address() as AddressInfo).port}/tariff`);
  try {
    const first = await feed.fetch(null);
    assert.ok(first.outcome === 'document' && first.etag === '"v1"');
    assert.equal(parseTariff(first.body).revision, 1);
    assert.deepEqual(await feed.fetch('"v1"'), { outcome: 'unchanged' });
    mode = 'busy';
    assert.deepEqual(await feed.fetch(null), { outcome: 'failed', why: 'status 503', retryAfterS: 7 });
    mode = 'huge';
    const huge = await feed.fetch(null);
    assert.ok(huge.outcome === 'failed' && huge.why.includes('at most'));
    mode = 'text';
    assert.equal((await feed.fetch(null)).outcome, 'failed');
  } finally {
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  }
  assert.equal((await feed.fetch(null)).outcome, 'failed');
});
