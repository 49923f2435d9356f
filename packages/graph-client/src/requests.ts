/**
 * Sends requests to one server after another until there is a final response.
 *
 * @module
 */
import { RefusedError, RequestTimeoutError } from './errors.js';
import type { Method, Reply, Transport } from './transport.js';

/** Servers, and how requests are retried. */
export interface RetryOptions {
  readonly servers: readonly string[];
  readonly transport: Transport;
  /** Total time for all attempts of a request, in milliseconds. */
  readonly timeoutMs: number;
  readonly sleep: (ms: number) => Promise<void>;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
  /** A random number from 0 up to 1; spreads the retries of clients. */
  readonly random: () => number;
}

/** Body of a successful response. */
export type ResponseBody = Readonly<Record<string, unknown>>;

const MIN_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 5000;
const MAX_BACKOFF_DOUBLINGS = 8;
const TOO_MANY_REQUESTS = 429;
const FIRST_SERVER_ERROR = 500;

/** Why an attempt gave no final response. */
interface AttemptFailure {
  readonly problem: string;
  readonly cause: unknown;
  readonly retryAfterS: number;
}

/** Sends requests. All of them are idempotent, so one without a response can be retried. */
export class RequestSender {
  constructor(readonly options: RetryOptions) {}

  /**
   * Sends a GET request.
   *
   * @throws RefusedError, RequestTimeoutError, or the reason of the signal once that is aborted
   */
  get(path: string, signal?: AbortSignal): Promise<ResponseBody> {
    return this.request('GET', path, undefined, signal);
  }

  /**
   * Sends a POST request.
   *
   * @throws RefusedError or RequestTimeoutError
   */
  post(path: string, body: unknown): Promise<ResponseBody> {
    return this.request('POST', path, body);
  }

  private async request(
    method: Method,
    path: string,
    body: unknown,
    signal?: AbortSignal,
  ): Promise<ResponseBody> {
    const { servers, transport, timeoutMs, now, sleep, random } = this.options;
    const deadline = now() + timeoutMs;
    let last: AttemptFailure = { problem: 'no server is configured', cause: undefined, retryAfterS: 0 };
    for (let attempt = 0; attempt === 0 || now() < deadline; attempt += 1) {
      signal?.throwIfAborted();
      const server = servers[attempt % servers.length];
      if (server === undefined) break;
      try {
        const reply = await transport(server, method, path, body, signal);
        if (reply.status === 200 || reply.status === 201) return reply.body;
        last = retryable(reply);
      } catch (error) {
        // Either the server's rejection, or the transport's own error, which may be of any type.
        if (error instanceof RefusedError) throw error;
        signal?.throwIfAborted();
        last = {
          problem: error instanceof Error ? error.message : String(error),
          cause: error,
          retryAfterS: 0,
        };
      }
      const pauseMs = Math.max(this.backoffMs(attempt), last.retryAfterS * 1000);
      await sleep(pauseMs * (0.75 + 0.5 * random()));
    }
    throw new RequestTimeoutError(method, path, last.problem, { cause: last.cause });
  }

  /** The delay doubles after each round over all servers. */
  private backoffMs(attempt: number): number {
    const rounds = Math.floor(attempt / this.options.servers.length);
    return Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** Math.min(MAX_BACKOFF_DOUBLINGS, rounds));
  }
}

/** @throws RefusedError if the response is final */
function retryable(reply: Reply): AttemptFailure {
  const problem = String(reply.body['error'] ?? `status ${reply.status}`);
  if (reply.status !== TOO_MANY_REQUESTS && reply.status < FIRST_SERVER_ERROR)
    throw new RefusedError(reply.status, problem);
  return { problem, cause: undefined, retryAfterS: reply.retryAfterS ?? 0 };
}
