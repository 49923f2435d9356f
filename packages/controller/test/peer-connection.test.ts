import assert from 'node:assert/strict';
import type { AddressInfo } from 'node:net';
import net from 'node:net';
import { test } from 'node:test';
import type { Clock, MonotonicMs } from '@spurbridge/net';
import type { NodeId } from '@spurbridge/wire';
import { PeerConnection } from '../src/peers/peer-connection.js';

const silent = { debug: () => undefined, info: () => undefined, error: () => undefined };
/** Nothing is tried again by itself. */
const stopped: Clock = { now: () => 0 as MonotonicMs, sleep: () => new Promise(() => undefined) };

async function listen(port: number, met: () => void): Promise<net.Server> {
  const server = net.createServer((socket) => {
    met();
    socket.destroy();
  });
  await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
  return server;
}

// Nodes that ran on dialled a process that was back only a second later: it had met nobody by then, and led.
test('a link that waits to be tried again is tried at once when its node is heard', async () => {
  const first = await listen(0, () => undefined);
  const { port } = first.address() as AddressInfo;
  await new Promise((resolve) => first.close(resolve));
  const link = new PeerConnection('spur-1' as NodeId, `127.0.0.1:${port}`, stopped, silent, () => undefined);
  const greeting = { jobProgress: [], sender: 'spur-0' as NodeId };
  void link.run(() => greeting);
  // The first attempt is refused.
  await new Promise((resolve) => setTimeout(resolve, 100));
  let connections = 0;
  const server = await listen(port, () => (connections += 1));
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.equal(connections, 0);
  link.onStatusReceived();
  await new Promise((resolve) => setTimeout(resolve, 200));
  assert.equal(connections, 1);
  server.close();
});
