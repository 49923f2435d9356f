export * from './format.js';
export * from './keeper.js';
export * from './restore.js';
export * from './shelf.js';
