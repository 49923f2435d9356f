/**
 * Clocks, rate limits and JSON over HTTP.
 *
 * @module
 */
export * from './clock.js';
export * from './rate-limiter.js';
export * from './http-status.js';
export * from './json-client.js';
export * from './socket-address.js';
