/**
 * An HTTP server for tests of clients: it responds to everything as it was last told.
 *
 * @module
 */
import http from 'node:http';
import type { AddressInfo } from 'node:net';

/** What the server responds from now on, and what it was asked. */
export interface ScriptedServer {
  status: number;
  body: unknown;
  /** Method, path and body of all requests so far. */
  readonly requests: readonly string[];
}

/** Runs `use` with a server at `address`, which responds 200 with an empty object at first, and closes it. */
export async function withScriptedServer(
  use: (server: ScriptedServer, address: string) => Promise<void>,
): Promise<void> {
  const requests: string[] = [];
  const script: ScriptedServer = { status: 200, body: {}, requests };
  const server = http.createServer((request, response) => {
    let text = '';
    request.on('data', (chunk: Buffer) => (text += chunk.toString('utf8')));
    request.on('end', () => {
      requests.push(`${request.method ?? ''} ${request.url ?? ''} ${text}`.trim());
      response.writeHead(script.status);
      response.end(JSON.stringify(script.body));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  try {
    await use(script, `127.0.0.1:${(server.address() as AddressInfo).port}`);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}
