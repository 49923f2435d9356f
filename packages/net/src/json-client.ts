/**
 * A client for JSON over HTTP/1.1.
 *
 * @module
 */
import http from 'node:http';
import type { Socket } from 'node:net';
import { SpurbridgeError } from '@spurbridge/wire';
import { parseSocketAddress } from './socket-address.js';

/** A response of any status. */
export interface HttpResponse {
  readonly status: number;
  /** The parsed body; null if it was empty or not JSON. */
  readonly body: unknown;
}

/** No response was received: the request may or may not have been executed, and may still be executed later. */
export class NoResponseError extends SpurbridgeError {
  constructor(
    reason: string,
    /** True if the request was certainly not sent. */
    readonly notSent: boolean,
    /**
     * True if this process lacked a resource for sending the request, such as a socket. This is no evidence that the
     * server has failed.
     */
    readonly isLocalFault = false,
  ) {
    super('NO_RESPONSE', reason);
  }
}

/** Codes of connection errors caused by a lack of resources on this machine. */
const LOCAL_FAULT_CODES = new Set(['EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM', 'EADDRNOTAVAIL', 'EAGAIN']);

/** Methods that the protocols use. */
export type HttpMethod = 'GET' | 'POST' | 'DELETE';

/** Sends JSON over HTTP/1.1 to one address, over a small pool of keep-alive connections. */
export class JsonClient {
  private readonly agent: http.Agent;
  private readonly host: string;
  private readonly port: number;
  private callsInFlight = 0;

  /** The address is `host:port`. */
  constructor(address: string, maxSockets: number) {
    const { host, port } = parseSocketAddress(address);
    this.host = host;
    this.port = port;
    this.agent = new http.Agent({ keepAlive: true, maxSockets, maxFreeSockets: maxSockets });
  }

  /** Whether a call is in flight. */
  get isBusy(): boolean {
    return this.callsInFlight > 0;
  }

  /**
   * Sends a request, without a body if `body` is undefined. Throws a `NoResponseError` if no response is received in
   * time.
   */
  async call(method: HttpMethod, path: string, body: unknown, timeoutMs: number): Promise<HttpResponse> {
    this.callsInFlight += 1;
    try {
      return await this.exchange(method, path, body, timeoutMs);
    } finally {
      this.callsInFlight -= 1;
    }
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }

  private exchange(
    method: HttpMethod,
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
      const payload = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
      const { agent, host, port } = this;
      const options = { agent, host, port, method, path, headers: headersFor(payload) };
      new HttpExchange(options, payload, timeoutMs, { resolve, reject });
    });
  }
}

function headersFor(payload: Buffer | undefined): http.OutgoingHttpHeaders {
  if (payload === undefined) return {};
  return { 'content-type': 'application/json', 'content-length': payload.length };
}

function parseBody(text: string): unknown {
  if (text === '') return null;
  try {
    return JSON.parse(text);
  } catch {
    // A body that is not JSON is ignored, because callers only need the status in that case.
    return null;
  }
}

/** Callbacks for the end of an exchange; exactly one of them is called, once. */
interface ExchangeOutcome {
  resolve(response: HttpResponse): void;
  reject(error: NoResponseError): void;
}

/** One request and its response. It is sent on construction, and ends with a response, an error or its timeout. */
class HttpExchange {
  private readonly request: http.ClientRequest;
  private readonly timer: NodeJS.Timeout;
  private isConnected = false;
  private isSettled = false;

  constructor(
    options: http.RequestOptions,
    payload: Buffer | undefined,
    private readonly timeoutMs: number,
    private readonly outcome: ExchangeOutcome,
  ) {
    this.request = http.request(options, (response) => {
      this.receive(response);
    });
    this.timer = setTimeout(() => {
      this.onTimeout();
    }, timeoutMs);
    this.request.on('socket', (socket) => {
      this.onSocket(socket);
    });
    this.request.on('error', (error: NodeJS.ErrnoException) => {
      this.fail(error.message, !this.isConnected && LOCAL_FAULT_CODES.has(error.code ?? ''));
    });
    this.request.end(payload);
  }

  private onSocket(socket: Socket): void {
    if (!socket.connecting) {
      this.isConnected = true;
      return;
    }
    socket.once('connect', () => {
      this.isConnected = true;
    });
  }

  private onTimeout(): void {
    // The event loop runs expired timers before it reads from sockets, so a busy process may not have read a response
    // that has already arrived.
    setImmediate(() => {
      this.fail(`no response within ${this.timeoutMs} ms`);
    });
  }

  private receive(response: http.IncomingMessage): void {
    const chunks: Buffer[] = [];
    response.on('data', (chunk: Buffer) => chunks.push(chunk));
    response.on('error', (error) => {
      this.fail(error.message);
    });
    response.on('aborted', () => {
      this.fail('connection closed before the response was complete');
    });
    response.on('end', () => {
      const body = Buffer.concat(chunks).toString('utf8');
      this.succeed(response.statusCode ?? 0, body);
    });
  }

  private succeed(status: number, body: string): void {
    if (!this.settle()) return;
    this.outcome.resolve({ status, body: parseBody(body) });
  }

  private fail(reason: string, isLocalFault = false): void {
    if (!this.settle()) return;
    this.outcome.reject(new NoResponseError(reason, !this.isConnected, isLocalFault));
    this.request.destroy();
  }

  /** Ends the exchange; returns false if it had ended before. */
  private settle(): boolean {
    if (this.isSettled) return false;
    this.isSettled = true;
    clearTimeout(this.timer);
    return true;
  }
}
