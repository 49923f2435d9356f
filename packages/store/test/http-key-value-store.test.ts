import assert from 'node:assert/strict';
import { test } from 'node:test';
import { monotonicClock } from '@spurbridge/net';
import type { LeaseId, Revision, Version } from '@spurbridge/wire';
import type { ScriptedServer } from '../../net/test/scripted-server.js';
import { withScriptedServer } from '../../net/test/scripted-server.js';
import { HttpKeyValueStore } from '../src/index.js';

const LIMITS = { rps: 1000, writeRps: 1000, valueKb: 64, txnOps: 64 };

/** Runs `use` with a store whose server responds to every request with the configured status and body. */
async function withStore(
  use: (store: HttpKeyValueStore, server: ScriptedServer) => Promise<void>,
): Promise<void> {
  await withScriptedServer((server, address) =>
    use(new HttpKeyValueStore(address, LIMITS, monotonicClock), server),
  );
}

test('reading a key returns its value and version, or reports that it is absent', async () => {
  await withStore(async (store, server) => {
    server.body = { key: 'a/b', value: { x: 1 }, stamp: 412, permit: 7 };
    const item = { key: 'a/b', value: { x: 1 }, version: 412 };
    assert.deepEqual(await store.read('a/b', 1), { outcome: 'found', item });
    server.status = 404;
    server.body = { ledger: 431 };
    assert.deepEqual(await store.read('a/b', 1), { outcome: 'absent', revision: 431 });
    assert.deepEqual(server.requests, ['GET /keys/a/b', 'GET /keys/a/b']);
  });
});

test('a list is read page by page, each page starting after the last key of the previous one', async () => {
  await withStore(async (store, server) => {
    const pages = [
      { pairs: [{ key: 'c/7', value: 1, stamp: 3 }], more: true, ledger: 10 },
      { pairs: [{ key: 'c/9', value: 2, stamp: 11 }], more: false, ledger: 11 },
    ];
    server.body = pages[0];
    const listed = store.list('c/', 1);
    while (server.requests.length === 0) await new Promise((resolve) => setImmediate(resolve));
    server.body = pages[1];
    const items = [
      { key: 'c/7', value: 1, version: 3 },
      { key: 'c/9', value: 2, version: 11 },
    ];
    assert.deepEqual(await listed, { outcome: 'listed', items, revision: 10, latest: 11 });
    assert.deepEqual(server.requests, [
      'GET /keys?starts=c%2F&most=1000',
      'GET /keys?starts=c%2F&from=c%2F7&most=1000',
    ]);
  });
});

test('a commit reports whether it was executed, conflicted, or referred to a lease that has ended', async () => {
  await withStore(async (store, server) => {
    const commit = (): ReturnType<HttpKeyValueStore['commit']> =>
      store.commit([{ key: 'a', version: 0 as Version }], [{ delete: 'b' }], 0);
    server.body = { ledger: 432 };
    assert.deepEqual(await commit(), { outcome: 'committed', revision: 432 });
    server.status = 409;
    server.body = { failed: ['a'], ledger: 431 };
    assert.deepEqual(await commit(), { outcome: 'conflict', failed: ['a'], revision: 431 });
    server.status = 400;
    server.body = { error: 'no such lease' };
    assert.deepEqual(await commit(), { outcome: 'no_lease' });
    const request = 'POST /commit {"when":[{"key":"a","stamp":0}],"apply":[{"remove":"b"}]}';
    assert.deepEqual(server.requests, [request, request, request]);
  });
});

test('a watch returns changes, or reports that they were compacted', async () => {
  await withStore(async (store, server) => {
    server.body = { ledger: 433, log: [{ remove: 'c/d', stamp: 432 }] };
    const watch = (): ReturnType<HttpKeyValueStore['watch']> => store.watch('c/', 431 as Revision, 50);
    const events = [{ delete: 'c/d', version: 432 }];
    assert.deepEqual(await watch(), { outcome: 'events', revision: 433, events });
    server.status = 410;
    assert.deepEqual(await watch(), { outcome: 'compacted' });
    assert.equal(server.requests[0], 'GET /follow?starts=c%2F&from=431&blockMs=50');
  });
});

test('a lease can be granted, renewed and revoked, and its renewal fails after it has ended', async () => {
  await withStore(async (store, server) => {
    const lease = 7 as LeaseId;
    const renew = (): ReturnType<HttpKeyValueStore['renewLease']> => store.renewLease(lease);
    server.body = { permit: 7 };
    assert.deepEqual(await store.grantLease(3000), { outcome: 'granted', lease });
    assert.deepEqual(await renew(), { outcome: 'renewed' });
    server.status = 404;
    assert.deepEqual(await renew(), { outcome: 'ended' });
    await store.revokeLease(lease);
    assert.deepEqual(server.requests, [
      'POST /leases {"ttlMs":3000}',
      'POST /leases/7/touch {}',
      'POST /leases/7/touch {}',
      'DELETE /leases/7',
    ]);
  });
});

test('the store is reported as failing from the first refused request until a request is served', async () => {
  await withStore(async (store, server) => {
    assert.equal(store.failingSince(), null);
    server.status = 503;
    assert.deepEqual(await store.read('a', 1), { outcome: 'refused' });
    const since = store.failingSince();
    assert.notEqual(since, null);
    await store.read('a', 1);
    assert.equal(store.failingSince(), since);
    server.status = 404;
    server.body = { ledger: 1 };
    await store.read('a', 1);
    assert.equal(store.failingSince(), null);
  });
});

test('a commit with a malformed response has an unknown outcome', async () => {
  await withStore(async (store, server) => {
    server.body = { ledger: 'many' };
    assert.deepEqual(await store.commit([], [], 0), { outcome: 'unknown' });
    assert.notEqual(store.failingSince(), null);
  });
});

test('after a 429 response only critical requests are sent, and the store is not reported as failing', async () => {
  await withStore(async (store, server) => {
    server.status = 429;
    assert.deepEqual(await store.read('a', 1), { outcome: 'refused' });
    assert.equal(store.failingSince(), null);
    assert.deepEqual(await store.read('a', 1), { outcome: 'refused' });
    assert.equal(server.requests.length, 1);
    await store.read('a', 0);
    assert.equal(server.requests.length, 2);
  });
});
