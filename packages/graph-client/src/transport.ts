/**
 * Sends requests to one server.
 *
 * @module
 */

/** HTTP methods used by the graph interface. */
export type Method = 'GET' | 'POST';

/** A server's response. */
export interface Reply {
  /** HTTP status code. */
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
  /** Value of the server's `Retry-After` header, in seconds. */
  readonly retryAfterS: number | null;
}

/** Sends one request to one server; rejects if no response arrives. */
export type Transport = (
  server: string,
  method: Method,
  path: string,
  body: unknown,
  signal: AbortSignal | undefined,
) => Promise<Reply>;

/** Timeout of a request to one server, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 5000;

/** Sends JSON over HTTP. */
export const httpTransport: Transport = async (server, method, path, body, signal) => {
  const timeout = AbortSignal.timeout(RESPONSE_TIMEOUT_MS);
  const response = await fetch(server + path, {
    method,
    ...(body === undefined
      ? {}
      : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
    signal: signal === undefined ? timeout : AbortSignal.any([timeout, signal]),
  });
  const retryAfterS = Number(response.headers.get('retry-after') ?? NaN);
  return {
    status: response.status,
    // A body that is not JSON is ignored: the status code decides.
    body: (await response.json().catch(() => ({}))) as Record<string, unknown>,
    retryAfterS: Number.isFinite(retryAfterS) ? retryAfterS : null,
  };
};
