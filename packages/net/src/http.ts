import http from 'node:http';

export interface HttpResponse {
  readonly status: number;
  readonly body: unknown;
}

/** No answer: the request may or may not have been executed, now or later. */
export class NoResponseError extends Error {
  constructor(
    reason: string,
    /** True when the request certainly never left this process. */
    readonly notSent: boolean,
    /** True when this process had nothing left to send it with, such as a socket: it says nothing of the other side. */
    readonly isLocalFault = false,
  ) {
    super(reason);
  }
}

/** Errors of a connection that never was, for want of something here. */
const OURS = new Set(['EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM', 'EADDRNOTAVAIL', 'EAGAIN']);

export type HttpMethod = 'GET' | 'POST' | 'DELETE';

/** JSON over HTTP/1.1 to one address, on a few kept-open connections. */
export class JsonClient {
  private readonly agent: http.Agent;
  private readonly host: string;
  private readonly port: number;
  private calls = 0;

  constructor(address: string, maxSockets: number) {
    const colon = address.lastIndexOf(':');
    this.host = address.slice(0, colon);
    this.port = Number(address.slice(colon + 1));
    this.agent = new http.Agent({ keepAlive: true, maxSockets, maxFreeSockets: maxSockets });
  }

  /** Whether a call is under way. */
  get isBusy(): boolean {
    return this.calls > 0;
  }

  async call(method: HttpMethod, path: string, body: unknown, timeoutMs: number): Promise<HttpResponse> {
    this.calls += 1;
    try {
      return await this.request(method, path, body, timeoutMs);
    } finally {
      this.calls -= 1;
    }
  }

  private request(method: HttpMethod, path: string, body: unknown, timeoutMs: number): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
      const payload = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
      let connected = false;
      let settled = false;
      const fail = (reason: string, isOurs = false): void => {
        if (settled) return;
        settled = true;
        clearTimeout(timer);
        reject(new NoResponseError(reason, !connected, isOurs));
        request.destroy();
      };
      const request = http.request(
        {
          agent: this.agent,
          host: this.host,
          port: this.port,
          method,
          path,
          headers:
            payload === undefined
              ? {}
              : { 'content-type': 'application/json', 'content-length': payload.length },
        },
        (response) => {
          const chunks: Buffer[] = [];
          response.on('data', (c: Buffer) => chunks.push(c));
          response.on('error', (e) => {
            fail(e.message);
          });
          response.on('aborted', () => {
            fail('aborted');
          });
          response.on('end', () => {
            if (settled) return;
            settled = true;
            clearTimeout(timer);
            const text = Buffer.concat(chunks).toString('utf8');
            let parsed: unknown = null;
            try {
              parsed = text === '' ? null : JSON.parse(text);
            } catch {
              parsed = null;
            }
            resolve({ status: response.statusCode ?? 0, body: parsed });
          });
        },
      );
      const timer = setTimeout(() => {
        // A process behind its share runs late timers before it reads what has arrived: the answer may
        // be there already.
        setImmediate(() => {
          fail(`no answer within ${timeoutMs} ms`);
        });
      }, timeoutMs);
      request.on('socket', (socket) => {
        if (socket.connecting) socket.once('connect', () => (connected = true));
        else connected = true;
      });
      request.on('error', (e: Error & { code?: string }) => {
        fail(e.message, !connected && OURS.has(e.code ?? ''));
      });
      request.end(payload);
    });
  }

  close(): void {
    this.agent.destroy();
  }
}
