import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HttpWorkerClient } from '../src/index.js';

// Connections kept to 500 workers, two each, used up a node's 2,000 sockets in a takeover.
test('connections are kept to a small share of the sockets, however many workers there are', async () => {
  const link = new HttpWorkerClient(100);
  for (let port = 1; port <= 30; port += 1)
    assert.equal(await link.fetchHeartbeat(`127.0.0.1:${port}`), null);
  assert.ok(link.openConnections > 0 && link.openConnections <= 6, `${link.openConnections}`);
});
