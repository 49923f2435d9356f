/**
 * The kinds of requests of users.
 *
 * @module
 */

/** What a user asks of a controller. */
export type UserCall = 'submit' | 'poll' | 'cancel';
