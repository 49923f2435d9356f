/**
 * Status codes of HTTP responses that have a meaning in the protocols.
 *
 * @module
 */

/** The status codes by name. */
export const HTTP_STATUS = {
  ok: 200,
  badRequest: 400,
  notFound: 404,
  conflict: 409,
  gone: 410,
  tooManyRequests: 429,
  unavailable: 503,
} as const;
