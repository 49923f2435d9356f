export * from './grant.js';
export * from './balance.js';
export * from './share.js';
export * from './pending.js';
