/**
 * Gang scheduling: the state of a job whose tasks run together under one shared attempt, or not at all.
 *
 * @module
 */

import type { Attempt } from '@spurbridge/wire';
import type { Placement } from './placement.js';
import { TransitionTable } from './transition-table.js';

/**
 * The state of a gang's attempt, derived from its placements.
 *
 * - `gone`: no task is placed.
 * - `intended`: the intent of some task is not durable yet.
 * - `fetching`: starts were sent; some task does not have its image yet.
 * - `waiting`: every placed task waits for the others.
 * - `running`, `saving`: at least one task was reported to be in this state.
 * - `breaking`: a task was lost or is being stopped; the other tasks must be gone before the gang starts again.
 * - `done`: all tasks are done.
 */
export type GangState =
  'gone' | 'intended' | 'fetching' | 'waiting' | 'running' | 'saving' | 'breaking' | 'done';

const gangTransitions = new TransitionTable<GangState>('gang', {
  gone: ['intended', 'fetching', 'waiting', 'running', 'saving', 'breaking', 'done'],
  // Before the gang has started, a lost task may be replaced under the same attempt, which requires
  // transitions back.
  intended: ['fetching', 'waiting', 'running', 'saving', 'breaking', 'gone', 'done'],
  fetching: ['intended', 'waiting', 'running', 'saving', 'breaking', 'gone', 'done'],
  waiting: ['intended', 'fetching', 'running', 'saving', 'breaking', 'gone', 'done'],
  running: ['saving', 'breaking', 'gone', 'done'],
  saving: ['breaking', 'gone', 'done'],
  breaking: ['gone', 'done'],
  done: [],
});

/** The tasks of a job that run together under one attempt, or not at all. */
export class Gang {
  private currentState: GangState = 'gone';
  private sharedAttempt: Attempt | null = null;

  constructor(private readonly taskCount: number) {}

  /** The state that follows from the placements of the last `update`. */
  get state(): GangState {
    return this.currentState;
  }

  /** The attempt that the placed tasks share; null while no task is placed. */
  get attempt(): Attempt | null {
    return this.sharedAttempt;
  }

  /**
   * Derives the state from the placements; must be called after every change to one of them.
   *
   * @throws {InvalidTransitionError} when the placements contradict the previous state.
   */
  update(placements: ReadonlyMap<number, Placement>, doneCount: number): void {
    if (this.currentState === 'done') return;
    this.sharedAttempt = null;
    let next: GangState = 'waiting';
    for (const placement of placements.values()) {
      this.sharedAttempt = placement.attempt;
      next = moreSignificantState(next, gangStateOf(placement));
    }
    const hasLostTask = placements.size + doneCount < this.taskCount;
    if (doneCount === this.taskCount) next = 'done';
    else if (placements.size === 0) next = 'gone';
    else if (this.currentState === 'breaking' || (this.hasStarted && hasLostTask)) next = 'breaking';
    // Heartbeats may be delayed, so a gang that has started never returns to a state before its start.
    else if (this.hasStarted) next = moreSignificantState(this.currentState, next);
    this.transitionTo(next);
  }

  /**
   * Whether a lost task may be replaced under the same attempt. All other tasks must have been reported as
   * `fetching` or `waiting`: a gang restored from a record may already be running, and then the replacement
   * would wait forever.
   */
  awaitsReplacement(placements: ReadonlyMap<number, Placement>, doneCount: number): boolean {
    if (this.currentState !== 'fetching' && this.currentState !== 'waiting') return false;
    if (doneCount > 0 || placements.size === 0 || placements.size >= this.taskCount) return false;
    for (const { stopRequest, state } of placements.values())
      if (stopRequest !== null || (state !== 'fetching' && state !== 'waiting')) return false;
    return true;
  }

  private get hasStarted(): boolean {
    return this.currentState === 'running' || this.currentState === 'saving';
  }

  /** The only function that changes the gang's state. */
  private transitionTo(next: GangState): void {
    if (next === this.currentState) return;
    gangTransitions.assertAllowed(this.currentState, next);
    this.currentState = next;
  }
}

/** The states that follow from single tasks; a later one takes precedence over the earlier ones. */
const STATES_BY_SIGNIFICANCE: readonly GangState[] = [
  'waiting',
  'fetching',
  'intended',
  'running',
  'saving',
  'breaking',
];

function moreSignificantState(first: GangState, second: GangState): GangState {
  return STATES_BY_SIGNIFICANCE.indexOf(second) > STATES_BY_SIGNIFICANCE.indexOf(first) ? second : first;
}

/** The state that the gang would have if all its tasks were in the state of this one. */
function gangStateOf({ state, stopRequest }: Placement): GangState {
  if (state === 'saving') return 'saving';
  if (stopRequest !== null) return stopRequest.graceS > 0 && state === 'running' ? 'saving' : 'breaking';
  switch (state) {
    case 'intended':
    case 'waiting':
    case 'running':
      return state;
    default:
      return 'fetching';
  }
}
