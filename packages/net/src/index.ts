export * from './clock.js';
export * from './budget.js';
export * from './http.js';
