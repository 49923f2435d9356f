/**
 * The kinds of requests of users.
 *
 * @module
 */

/** A user's request to a controller. */
export type UserCall = 'submit' | 'poll' | 'cancel';
