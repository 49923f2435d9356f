/**
 * Messages of all protocols, and the identifiers and errors that all packages share. Names that differ between the
 * protocols and the sources are mapped here, message by message, and nowhere else.
 *
 * @module
 */
export * from './errors.js';
export * from './ids.js';
export * from './paths.js';
export * as read from './json-fields.js';
export { ValidationError } from './json-fields.js';
export * from './jobs.js';
export * from './task-names.js';
export * from './heartbeats.js';
export * from './worker-commands.js';
export * from './cloud.js';
export * from './key-value.js';
export type { ForwardedHeartbeat, ForwardedHeartbeatResponse } from './peers/forwarded-heartbeat.js';
export type {
  PeerConfigurationStatus,
  PeerShardStatus,
  PeerStatus,
  PeerStoreStatus,
} from './peers/peer-status.js';
export * from './peers/peer-message.js';
export * from './peers/errors.js';
export * from './tariff.js';
export * from './graphs/ids.js';
export * from './graphs/graph-spec.js';
export * from './graphs/batch.js';
export * from './graphs/result-update.js';
