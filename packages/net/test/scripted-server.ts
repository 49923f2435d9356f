/**
 * An HTTP server for tests of clients. It gives every request the response that the test has set last.
 *
 * @module
 */
import http from 'node:http';
import type { AddressInfo } from 'node:net';

/** The response to all further requests, and the requests received so far. */
export interface ScriptedServer {
  status: number;
  body: unknown;
  /** Method, path and body of all requests received so far. */
  readonly requests: readonly string[];
}

/**
 * Runs `use` with a server that listens on `address`, and closes the server afterwards. The server responds 200 with an
 * empty object until the test sets another response.
 */
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
