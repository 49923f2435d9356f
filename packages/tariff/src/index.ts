export * from './calendar.js';
export * from './capacity.js';
export * from './deferral.js';
export * from './feed.js';
export * from './outlook.js';
export * from './release.js';
export * from './room.js';
export * from './run-times.js';
