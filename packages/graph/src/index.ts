export * from './graph.js';
