/**
 * Snapshots of the key-value store that outlive all nodes: the file format, the repository, the snapshotter of a node,
 * and the operators' commands that take and restore snapshots.
 *
 * @module
 */
export * from './directory.js';
export * from './errors.js';
export * from './format.js';
export * from './repository.js';
export * from './restore.js';
export * from './snapshotter.js';
export type { SnapshotToolOptions } from './store-reader.js';
