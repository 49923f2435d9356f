/**
 * Priorities of the requests that recovery itself sends to the key-value store.
 *
 * @module
 */
import type { RequestPriority } from '@spurbridge/net';

/** Of requests that decide whether the store is trusted, or that end an outage: before all others. */
export const CONTROL_PRIORITY: RequestPriority = 0;

/** Of requests that nothing waits for: after all others. */
export const BACKGROUND_PRIORITY: RequestPriority = 3;
