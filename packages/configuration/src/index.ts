export * from './change.js';
export * from './client.js';
export * from './editor.js';
export * from './replica.js';
export * from './records.js';
export * from './requests.js';
export * from './types.js';
