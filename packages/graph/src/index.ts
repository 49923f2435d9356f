export * from './task-graph.js';
