export * from './client.js';
export * from './lease.js';
