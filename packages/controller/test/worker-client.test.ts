import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HttpWorkerClient } from '../src/index.js';

// Two open connections to each of 500 workers exhausted a node's 2,000 sockets during a failover.
test('open connections to workers stay within a small share of the sockets, regardless of the number of workers', async () => {
  const client = new HttpWorkerClient(100);
  for (let port = 1; port <= 30; port += 1)
    assert.equal(await client.fetchHeartbeat(`127.0.0.1:${port}`), null);
  assert.ok(client.openConnections > 0 && client.openConnections <= 6, `${client.openConnections}`);
});
