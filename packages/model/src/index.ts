export * from './gang.js';
export * from './job.js';
export * from './machine.js';
export * from './record.js';
export * from './admission.js';
export { Transitions } from './transition.js';
