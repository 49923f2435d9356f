export * from './calendar.js';
export * from './capacity.js';
export * from './deferral.js';
export * from './feed.js';
export * from './cost-forecast.js';
export * from './release.js';
export * from './deferral-controller.js';
export * from './run-times.js';
