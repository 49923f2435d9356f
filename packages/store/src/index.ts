export * from './client.js';
export * from './lease.js';
export * from './candidate.js';
