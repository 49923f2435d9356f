/**
 * The key-value store as the controller nodes use it, and the leader's lease in it.
 *
 * @module
 */
export * from './key-value-store.js';
export * from './http-key-value-store.js';
export * from './leadership/campaign-delay.js';
export * from './leadership/leader-record.js';
export * from './leadership/leadership.js';
export * from './leadership/leadership-listener.js';
export * from './leadership/leadership-state.js';
export * from './leadership/leader-lease.js';
export * from './leadership/term-tokens.js';
