/**
 * Priorities of requests about graphs to the key-value store: the lower the number, the less a request is
 * delayed when the store's rate limit is nearly used up.
 *
 * @module
 */

/** Reads that a new leader needs before anything else. */
export const URGENT_PRIORITY = 0;
/** Other reads, and commits that start or end work. */
export const NORMAL_PRIORITY = 1;
/** Reads for clients' queries, and commits that record past events. */
export const BACKGROUND_PRIORITY = 2;
/** Deletion of obsolete records. */
export const CLEANUP_PRIORITY = 3;
