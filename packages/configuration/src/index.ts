/**
 * Teams and objectives that operators change while jobs run: records in the key-value store, an editor that commits
 * changes, a replica on each node, and a client of the operators' HTTP API.
 *
 * @module
 */
export * from './api.js';
export { applyChanges } from './apply-changes.js';
export * from './client.js';
export * from './differences.js';
export * from './editor.js';
export * from './errors.js';
export * from './proposal.js';
export * from './records.js';
export * from './replica.js';
export * from './requests.js';
export * from './stored-configuration.js';
export type { TransactionLimits } from './transaction.js';
export * from './types.js';
