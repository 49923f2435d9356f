/**
 * Priorities of the requests that recovery itself sends to the key-value store.
 *
 * @module
 */
import type { RequestPriority } from '@spurbridge/net';

/** For requests that decide whether the store is trusted, or that end an outage. */
export const CONTROL_PRIORITY: RequestPriority = 0;

/** For requests that no other operation waits for. */
export const BACKGROUND_PRIORITY: RequestPriority = 3;
