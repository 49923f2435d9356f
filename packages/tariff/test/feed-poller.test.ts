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

/** A client against scripted answers; one for each request, the last one for all that follow. */
async function play(answers: readonly FeedResponse[], forMs: number, first: TariffDocument | null = null) {
  const time = new SimTime();
  const asked: number[] = [];
  const tags: (string | null)[] = [];
  const errors: string[] = [];
  const states: string[] = [];
  let held = first;
  const client = new TariffFeedPoller({
    source: {
      fetch: (tag) => {
        const answer = answers[Math.min(asked.length, answers.length - 1)] as FeedResponse;
        asked.push(time.now);
        tags.push(tag);
        return Promise.resolve(answer);
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
    last: () => held,
    take: (t) => {
      held = t;
      return Promise.resolve(true);
    },
  });
  void client.run(() => time.now < forMs);
  await new Promise((resolve) => setImmediate(resolve));
  await time.runUntil(forMs);
  return { asked, tags, errors, states, held: held as TariffDocument | null };
}

const sent = (t: TariffDocument, tag = '"a"'): FeedResponse => ({
  outcome: 'document',
  body: formatTariff(t),
  etag: tag,
});
const failed: FeedResponse = { outcome: 'failed', why: 'status 500', retryAfterS: null };

test('the poller asks at the interval of the document, with jitter, and an unchanged document is not sent again', async () => {
  const r = await play([sent(tariff(1)), { outcome: 'unchanged' }], 600_000);
  assert.deepEqual(r.tags.slice(0, 3), [null, '"a"', '"a"']);
  const gaps = r.asked.slice(1).map((at, i) => at - (r.asked[i] as number));
  assert.ok(
    gaps.every((g) => g >= 45_000 && g <= 75_001),
    gaps.join(),
  );
  assert.ok(new Set(gaps.map(Math.round)).size > 5);
  assert.deepEqual(r.states, ['fresh']);
});

test('a failing feed is polled with backoff, becomes silent in time, and becomes fresh again', async () => {
  const down = await play([sent(tariff(1)), failed], 3_600_000);
  assert.deepEqual(down.states, ['fresh', 'failing', 'silent']);
  assert.equal(down.held?.revision, 1);
  assert.ok(down.asked.length < 25, `${down.asked.length} requests in an hour`);
  const gaps = down.asked.slice(1).map((at, i) => at - (down.asked[i] as number));
  assert.ok((gaps[1] as number) < 3000 && Math.max(...gaps) <= 375_001 && Math.max(...gaps) > 200_000);
  const back = await play([sent(tariff(1)), failed, failed, sent(tariff(2))], 300_000);
  assert.deepEqual(back.states, ['fresh', 'failing', 'fresh']);
  assert.equal(back.held?.revision, 2);
  const told = await play([{ ...failed, retryAfterS: 200 }], 500_000);
  assert.ok((told.asked[1] as number) >= 150_000, 'Retry-After is obeyed');
});

test('a malformed, absurd or backdated document is refused with its field, and the last good one stays', async () => {
  const good = tariff(5);
  const window = { name: 'w', from: '01:00', to: '02:00', price: 1 };
  const bad: readonly [RegExp, unknown][] = [
    [/^tariff: expected an object/, 'hello'],
    [
      /^windows: expected at most/,
      { ...formatTariff(good), revision: 6, windows: Array(1_000_000).fill(window) },
    ],
    [/^base\.price/, { ...formatTariff(good), revision: 6, base: { price: null } }],
    [/^timeZone/, { ...formatTariff(good), revision: 6, timeZone: 'Nowhere/Here' }],
    [/^revision: expected at least 5/, formatTariff(tariff(4))],
    [/^issuedAt/, formatTariff(tariff(6, 1000))],
    [/^revision: expected a new number/, { ...formatTariff(good), base: { price: 2 } }],
  ];
  for (const [why, body] of bad) {
    const r = await play([{ outcome: 'document', body, etag: null }], 1000, good);
    assert.equal(r.errors.length, 1);
    assert.match(r.errors[0] as string, why);
    assert.deepEqual(r.held, good);
  }
  assert.equal(rejectionReason(tariff(6), good), null);
  assert.equal(rejectionReason(good, good), null);
});

test('the HTTP feed handles entity tags, Retry-After, oversized bodies and no response', async () => {
  let mode: 'good' | 'busy' | 'huge' | 'text' = 'good';
  const server = createServer((q, a) => {
    if (mode === 'busy') a.writeHead(503, { 'retry-after': '7' }).end();
    else if (mode === 'huge') a.writeHead(200).end('x'.repeat(MAX_TARIFF_BYTES + 1));
    else if (mode === 'text') a.writeHead(200).end('<html>');
    else if (q.headers['if-none-match'] === '"v1"') a.writeHead(304).end();
    else a.writeHead(200, { etag: '"v1"' }).end(JSON.stringify(formatTariff(tariff(1))));
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
