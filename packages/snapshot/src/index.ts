export * from './format.js';
export * from './snapshotter.js';
export * from './restore.js';
export * from './repository.js';
