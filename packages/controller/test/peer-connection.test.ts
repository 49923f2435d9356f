import assert from 'node:assert/strict';
import type { AddressInfo } from 'node:net';
import net from 'node:net';
import { test } from 'node:test';
import type { Clock, MonotonicMs } from '@spurbridge/net';
import type { NodeId } from '@spurbridge/wire';
import { PeerConnection } from '../src/peers/peer-connection.js';

const silentLogger = { debug: () => undefined, info: () => undefined, error: () => undefined };
/** No sleep on this clock ends, so that no reconnection is attempted after an interval. */
const stoppedClock: Clock = { now: () => 0 as MonotonicMs, sleep: () => new Promise(() => undefined) };

async function listen(port: number, onConnection: () => void): Promise<net.Server> {
  const server = net.createServer((socket) => {
    onConnection();
    socket.destroy();
  });
  await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
  return server;
}

// Running peers reconnected to a restarted process only after their retry interval of a second. By then the process had
// seen no peer and had become leader.
test('a connection that waits for its next attempt reconnects immediately when its peer sends a status', async () => {
  const first = await listen(0, () => undefined);
  const { port } = first.address() as AddressInfo;
  await new Promise((resolve) => first.close(resolve));
  const connection = new PeerConnection(
    'spur-1' as NodeId,
    `127.0.0.1:${port}`,
    stoppedClock,
    silentLogger,
    () => undefined,
  );
  const statusMessage = { jobProgress: [], sender: 'spur-0' as NodeId };
  void connection.run(() => statusMessage);
  // Time for the first attempt, which is refused.
  await new Promise((resolve) => setTimeout(resolve, 100));
  let connections = 0;
  const server = await listen(port, () => (connections += 1));
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.equal(connections, 0);
  connection.onStatusReceived();
  await new Promise((resolve) => setTimeout(resolve, 200));
  assert.equal(connections, 1);
  server.close();
});
