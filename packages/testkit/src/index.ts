export * from './clock.js';
export * from './network.js';
export * from './state.js';
export * from './checker.js';
export * from './worker.js';
export * from './world.js';
export * from './fixtures.js';
export * from './feed.js';
