/**
 * Names of hosts in the simulated network other than controllers and machines.
 *
 * @module
 */

/** The key-value store. */
export const STORE_HOST = 'state';

/** The cloud provider. */
export const CLOUD_HOST = 'cloud';

/** The users, who share one host. */
export const USER_HOST = 'user';

/** The tariff feed. */
export const FEED_HOST = 'feed';
