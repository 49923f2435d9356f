export * from './records.js';
export * from './room.js';
export * from './service.js';
export * from './routes.js';
