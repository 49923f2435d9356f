/**
 * Tables of allowed state transitions; every state machine of spurbridge checks its transitions against one.
 *
 * @module
 */

import { InvalidTransitionError } from './errors.js';

/** The allowed transitions between the named states of one kind of subject. */
export class TransitionTable<State extends string> {
  constructor(
    /** The kind of object that the states belong to; named in errors. */
    private readonly subject: string,
    private readonly allowed: Readonly<Record<State, readonly State[]>>,
  ) {}

  /** @throws {InvalidTransitionError} when the table does not list the transition. */
  assertAllowed(from: State, to: State): void {
    if (!this.allowed[from].includes(to)) throw new InvalidTransitionError(this.subject, from, to);
  }
}
