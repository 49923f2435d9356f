import type { Attempt } from '@spurbridge/wire';
import type { Placement } from './placement.js';
import { TransitionTable } from './transition-table.js';

/**
 * The life of a gang's attempt, read off its placements.
 * `gone`: none of its tasks may be on a machine. `intended`: an intent is not durable yet. `fetching`:
 * starts are out, some task has no image yet. `waiting`: every task that is there waits for the others.
 * `running`, `saving`: a task was seen to. `breaking`: it lost a task or is being stopped, and the rest has
 * to go before it starts anew. `done`: complete.
 */
export type GangState =
  'gone' | 'intended' | 'fetching' | 'waiting' | 'running' | 'saving' | 'breaking' | 'done';

const gangTransitions = new TransitionTable<GangState>('gang', {
  gone: ['intended', 'fetching', 'waiting', 'running', 'saving', 'breaking', 'done'],
  // Before it has started a lost task may be replaced under the same attempt: hence the ways back.
  intended: ['fetching', 'waiting', 'running', 'saving', 'breaking', 'gone', 'done'],
  fetching: ['intended', 'waiting', 'running', 'saving', 'breaking', 'gone', 'done'],
  waiting: ['intended', 'fetching', 'running', 'saving', 'breaking', 'gone', 'done'],
  running: ['saving', 'breaking', 'gone', 'done'],
  saving: ['breaking', 'gone', 'done'],
  breaking: ['gone', 'done'],
  done: [],
});

/** Tasks that run together under one attempt, or not at all. */
export class Gang {
  private currentState: GangState = 'gone';
  private sharedAttempt: Attempt | null = null;

  constructor(private readonly taskCount: number) {}

  get state(): GangState {
    return this.currentState;
  }

  /** The attempt that its tasks share, while any of them may be on a machine. */
  get attempt(): Attempt | null {
    return this.sharedAttempt;
  }

  /** The only function that changes the gang's state. */
  private transitionTo(next: GangState): void {
    if (next === this.currentState) return;
    gangTransitions.assertAllowed(this.currentState, next);
    this.currentState = next;
  }

  /** Follows what became of its tasks; called after every change to one of them. */
  update(placements: ReadonlyMap<number, Placement>, doneCount: number): void {
    if (this.currentState === 'done') return;
    this.sharedAttempt = null;
    let next: GangState = 'waiting';
    for (const p of placements.values()) {
      this.sharedAttempt = p.attempt;
      next = furtherState(next, gangStateOf(p));
    }
    const lost = placements.size + doneCount < this.taskCount;
    if (doneCount === this.taskCount) next = 'done';
    else if (placements.size === 0) next = 'gone';
    else if (this.currentState === 'breaking' || (this.hasStarted && lost)) next = 'breaking';
    // What has started has started, whatever a late report says.
    else if (this.hasStarted) next = furtherState(this.currentState, next);
    this.transitionTo(next);
  }

  private get hasStarted(): boolean {
    return this.currentState === 'running' || this.currentState === 'saving';
  }

  /**
   * Whether a lost task may be replaced under the same attempt. That takes every other task to have been
   * seen to fetch or to wait: restored from a record alone, the gang may have been running, and a
   * replacement would then wait for nobody.
   */
  awaitsReplacement(placements: ReadonlyMap<number, Placement>, doneCount: number): boolean {
    if (this.currentState !== 'fetching' && this.currentState !== 'waiting') return false;
    if (doneCount > 0 || placements.size === 0 || placements.size >= this.taskCount) return false;
    for (const p of placements.values())
      if (p.stopRequest !== null || (p.state !== 'fetching' && p.state !== 'waiting')) return false;
    return true;
  }
}

const STAGES: readonly GangState[] = ['waiting', 'fetching', 'intended', 'running', 'saving', 'breaking'];

/** Of two stages, the one that says more of the gang as a whole. */
function furtherState(a: GangState, b: GangState): GangState {
  return STAGES.indexOf(b) > STAGES.indexOf(a) ? b : a;
}

function gangStateOf(p: Placement): GangState {
  if (p.state === 'saving') return 'saving';
  if (p.stopRequest !== null)
    return p.stopRequest.graceS > 0 && p.state === 'running' ? 'saving' : 'breaking';
  switch (p.state) {
    case 'intended':
    case 'waiting':
    case 'running':
      return p.state;
    default:
      return 'fetching';
  }
}
