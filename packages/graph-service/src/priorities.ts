/**
 * Priorities of requests about graphs to the key-value store: the lower the number, the less a request is
 * held back when the store's rate limit is nearly used up.
 *
 * @module
 */

/** Reads that a new leader cannot do without. */
export const URGENT_PRIORITY = 0;
/** Other reads, and commits that start or end work. */
export const NORMAL_PRIORITY = 1;
/** Reads for clients' questions, and commits that follow what has happened already. */
export const BACKGROUND_PRIORITY = 2;
/** Deleting what nobody needs any more. */
export const CLEANUP_PRIORITY = 3;
