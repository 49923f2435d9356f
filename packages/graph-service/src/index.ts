export * from './records.js';
export * from './graph-controller.js';
export * from './graph-service.js';
export * from './routes.js';
