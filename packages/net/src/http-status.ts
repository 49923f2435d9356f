/**
 * HTTP status codes that the protocols use.
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
