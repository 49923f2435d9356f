/**
 * The states of a node's leadership and the transitions between them.
 *
 * @module
 */
import { SpurbridgeError } from '@spurbridge/wire';

/**
 * - `following`: another node leads, or there is no leader.
 * - `campaigning`: no node leads; this one requests a lease and writes the leader's record.
 * - `leading`: the lease is valid.
 * - `holding`: the lease may have ended, but no other leader is known. Heartbeats may still be responded to with the
 *   old token and without commands, for a limited time (docs/design.md); nothing else is allowed.
 */
export type LeadershipState = 'following' | 'campaigning' | 'leading' | 'holding';

const TRANSITIONS: Readonly<Record<LeadershipState, readonly LeadershipState[]>> = {
  following: ['campaigning'],
  campaigning: ['leading', 'following'],
  leading: ['holding', 'following'],
  holding: ['leading', 'following'],
};

/** A transition that `TRANSITIONS` does not allow, which is a programming error. */
export class InvalidLeadershipTransitionError extends SpurbridgeError {
  constructor(from: LeadershipState, to: LeadershipState) {
    super('INVALID_LEADERSHIP_TRANSITION', `leadership: transition ${from} -> ${to} is not allowed`);
  }
}

/** Throws an `InvalidLeadershipTransitionError` if the transition is not allowed. */
export function checkTransition(from: LeadershipState, to: LeadershipState): void {
  if (!TRANSITIONS[from].includes(to)) throw new InvalidLeadershipTransitionError(from, to);
}

/** Whether a node in this state is the leader, as far as it knows. */
export function isLeaderState(state: LeadershipState): boolean {
  return state === 'leading' || state === 'holding';
}
