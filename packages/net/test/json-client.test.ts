import assert from 'node:assert/strict';
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { JsonClient, NoResponseError } from '../src/index.js';

const TIMEOUT_MS = 2000;

/** Runs `use` with a client that is connected to a server with the given request listener. */
async function withServer(
  listener: RequestListener,
  use: (client: JsonClient) => Promise<void>,
): Promise<void> {
  const server = http.createServer(listener);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const client = new JsonClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, 2);
  try {
    await use(client);
  } finally {
    client.close();
    server.closeAllConnections();
    server.close();
  }
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

function respond(response: ServerResponse, status: number, body: string): void {
  response.writeHead(status, { 'content-length': Buffer.byteLength(body) });
  response.end(body);
}

async function noResponseErrorOf(call: Promise<unknown>): Promise<NoResponseError> {
  const error: unknown = await call.then(
    () => undefined,
    (reason: unknown) => reason,
  );
  assert.ok(error instanceof NoResponseError);
  return error;
}

test('call sends the body as JSON and parses the response of any status', async () => {
  const echo: RequestListener = (request, response) => {
    void readBody(request).then((body) => {
      const { method, url, headers } = request;
      const type = headers['content-type'] ?? null;
      respond(response, 409, JSON.stringify({ method, url, type, length: headers['content-length'], body }));
    });
  };
  await withServer(echo, async (client) => {
    const response = await client.call('POST', '/commit?x=1', { when: ['ä'] }, TIMEOUT_MS);
    assert.equal(response.status, 409);
    assert.deepEqual(response.body, {
      method: 'POST',
      url: '/commit?x=1',
      type: 'application/json',
      length: '15',
      body: '{"when":["ä"]}',
    });
    const empty = await client.call('DELETE', '/leases/7', undefined, TIMEOUT_MS);
    assert.deepEqual(empty.body, { method: 'DELETE', url: '/leases/7', type: null, body: '' });
  });
});

test('a response body that is empty or not JSON is returned as null', async () => {
  const bodies: Record<string, string> = { '/empty': '', '/text': 'bad gateway' };
  await withServer(
    (request, response) => {
      respond(response, 502, bodies[request.url ?? ''] ?? '');
    },
    async (client) => {
      for (const path of Object.keys(bodies))
        assert.deepEqual(await client.call('GET', path, undefined, TIMEOUT_MS), { status: 502, body: null });
    },
  );
});

test('a request that times out is reported as possibly sent', async () => {
  await withServer(
    () => undefined,
    async (client) => {
      const error = await noResponseErrorOf(client.call('GET', '/', undefined, 50));
      assert.equal(error.message, 'no response within 50 ms');
      assert.equal(error.notSent, false);
      assert.equal(error.isLocalFault, false);
    },
  );
});

test('a request fails as possibly sent when the connection closes in the middle of the response', async () => {
  await withServer(
    (_request, response) => {
      response.writeHead(200, { 'content-length': 100 });
      response.write('{"half":');
      setTimeout(() => response.destroy(), 20);
    },
    async (client) => {
      const error = await noResponseErrorOf(client.call('GET', '/', undefined, TIMEOUT_MS));
      assert.equal(error.notSent, false);
    },
  );
});

test('a refused connection is reported as not sent and not as a local fault', async () => {
  const server = http.createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  await new Promise((resolve) => server.close(resolve));
  const client = new JsonClient(address, 1);
  const error = await noResponseErrorOf(client.call('GET', '/', undefined, TIMEOUT_MS));
  assert.equal(error.notSent, true);
  assert.equal(error.isLocalFault, false);
  client.close();
});

test('a client is busy while a call is in flight and idle after the call has failed', async () => {
  await withServer(
    () => undefined,
    async (client) => {
      assert.equal(client.isBusy, false);
      const call = client.call('GET', '/', undefined, 50);
      assert.equal(client.isBusy, true);
      await noResponseErrorOf(call);
      assert.equal(client.isBusy, false);
    },
  );
});
