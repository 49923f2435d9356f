export interface Reply {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
  readonly retryAfterS: number | null;
}

/** One request to one server; rejects when no answer comes. */
export type Transport = (
  server: string,
  method: 'GET' | 'POST',
  path: string,
  body: unknown,
  signal: AbortSignal | undefined,
) => Promise<Reply>;

const ANSWER_MS = 5000;

export const httpTransport: Transport = async (server, method, path, body, signal) => {
  const timeout = AbortSignal.timeout(ANSWER_MS);
  const answer = await fetch(server + path, {
    method,
    ...(body === undefined
      ? {}
      : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
    signal: signal === undefined ? timeout : AbortSignal.any([timeout, signal]),
  });
  const retry = Number(answer.headers.get('retry-after') ?? NaN);
  return {
    status: answer.status,
    body: (await answer.json().catch(() => ({}))) as Record<string, unknown>,
    retryAfterS: Number.isFinite(retry) ? retry : null,
  };
};

/** The server's final answer to a request: it is wrong, or what it asks cannot be. */
export class RefusedError extends Error {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

export interface RetryOptions {
  readonly servers: readonly string[];
  readonly transport: Transport;
  /** Milliseconds for which a request is tried in all. */
  readonly patienceMs: number;
  readonly sleep: (ms: number) => Promise<void>;
  readonly now: () => number;
  /** From 0 up to 1; spreads clients that wait. */
  readonly random: () => number;
}

const LEAST_PAUSE_MS = 200;
const MOST_PAUSE_MS = 5000;

/** Tries servers in turn until one gives a final answer. Requests are idempotent: a second try is the same. */
export async function request(
  o: RetryOptions,
  method: 'GET' | 'POST',
  path: string,
  body: unknown,
  signal?: AbortSignal,
): Promise<Readonly<Record<string, unknown>>> {
  const until = o.now() + o.patienceMs;
  let why = 'no server is named';
  for (let n = 0; n === 0 || o.now() < until; n += 1) {
    signal?.throwIfAborted();
    const server = o.servers[n % o.servers.length];
    if (server === undefined) break;
    let pauseMs = Math.min(
      MOST_PAUSE_MS,
      LEAST_PAUSE_MS * 2 ** Math.min(8, Math.floor(n / o.servers.length)),
    );
    try {
      const reply = await o.transport(server, method, path, body, signal);
      if (reply.status === 200 || reply.status === 201) return reply.body;
      why = String(reply.body['error'] ?? `status ${reply.status}`);
      if (reply.status !== 429 && reply.status < 500) throw new RefusedError(reply.status, why);
      pauseMs = Math.max(pauseMs, (reply.retryAfterS ?? 0) * 1000);
    } catch (e) {
      if (e instanceof RefusedError) throw e;
      signal?.throwIfAborted();
      why = e instanceof Error ? e.message : String(e);
    }
    await o.sleep(pauseMs * (0.75 + 0.5 * o.random()));
  }
  throw new Error(`${method} ${path}: no answer in time; last: ${why}`);
}
