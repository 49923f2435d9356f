/**
 * The cloud as the controller nodes use it.
 *
 * @module
 */
export * from './cloud-provider.js';
export * from './http-cloud-provider.js';
