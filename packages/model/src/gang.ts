/**
 * Gang scheduling: the state of a job whose tasks run together under one shared attempt, or not at all.
 *
 * @module
 */

import type { Attempt, MachineId } from '@spurbridge/wire';
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

/** The part of a placement that a gang's state depends on. */
type GangTaskState = 'starting' | 'fetching' | 'waiting' | 'intended' | 'running' | 'saving' | 'breaking';

/** What a gang remembers of one of its placements. */
interface GangMember {
  readonly state: GangTaskState;
  readonly machine: MachineId;
  readonly attempt: Attempt;
}

/** The tasks of a gang on one machine. */
export interface GangMachine {
  /** The number of its placed tasks. */
  readonly placed: number;
  /** How many of them may not have been started yet. */
  readonly starting: number;
  /** How many of them wait for the other tasks of the gang. */
  readonly waiting: number;
}

const NO_TASKS: GangMachine = { placed: 0, starting: 0, waiting: 0 };

/**
 * The tasks of a job that run together under one attempt, or not at all. It is told of each change of a placement, so
 * that a change does not take a walk over all tasks.
 */
export class Gang {
  private currentState: GangState = 'gone';
  private doneCount = 0;
  private readonly members = new Map<number, GangMember>();
  private readonly countByState = new Map<GangTaskState, number>();
  private readonly countByAttempt = new Map<Attempt, number>();
  private readonly machineCounts = new Map<MachineId, GangMachine>();
  private readonly unstopped = new Set<number>();

  constructor(private readonly taskCount: number) {}

  /** The state that follows from the placements. */
  get state(): GangState {
    return this.currentState;
  }

  /** The attempt that the placed tasks share; null while no task is placed. */
  get attempt(): Attempt | null {
    return this.countByAttempt.size === 0 ? null : (Math.max(...this.countByAttempt.keys()) as Attempt);
  }

  /** The machines that its tasks are placed on. */
  get machines(): ReadonlyMap<MachineId, GangMachine> {
    return this.machineCounts;
  }

  /** The placed tasks that are not to be stopped. */
  get unstoppedTasks(): ReadonlySet<number> {
    return this.unstopped;
  }

  /** Whether every placed task was reported as running, and none is to be stopped. */
  get isRunningUnstopped(): boolean {
    return this.count('running') === this.members.size;
  }

  /**
   * Updates the state after a change of a placement, or after its removal.
   *
   * @throws {InvalidTransitionError} when the placement contradicts the previous state.
   */
  updatePlacement(task: number, placement: Placement | null): void {
    const before = this.members.get(task);
    if (before !== undefined) this.addToCounts(before, -1);
    if (placement === null) this.members.delete(task);
    else {
      const member = gangMemberOf(placement);
      this.members.set(task, member);
      this.addToCounts(member, 1);
    }
    if (placement?.stopRequest === null) this.unstopped.add(task);
    else this.unstopped.delete(task);
    this.updateState();
  }

  /** Updates the state after a task is done. */
  recordDone(doneCount: number): void {
    this.doneCount = doneCount;
    this.updateState();
  }

  /**
   * Whether a lost task may be replaced under the same attempt. All other tasks must have been reported as
   * `fetching` or `waiting`: a gang restored from a record may already be running, and then the replacement
   * would wait forever.
   */
  get awaitsReplacement(): boolean {
    if (this.currentState !== 'fetching' && this.currentState !== 'waiting') return false;
    const placed = this.members.size;
    if (this.doneCount > 0 || placed === 0 || placed >= this.taskCount) return false;
    return this.count('fetching') + this.count('waiting') === placed;
  }

  private updateState(): void {
    if (this.currentState === 'done') return;
    const placed = this.members.size;
    let next = this.mostSignificantState();
    const hasLostTask = placed + this.doneCount < this.taskCount;
    if (this.doneCount === this.taskCount) next = 'done';
    else if (placed === 0) next = 'gone';
    else if (this.currentState === 'breaking' || (this.hasStarted && hasLostTask)) next = 'breaking';
    // Heartbeats may be delayed, so a gang that has started never returns to a state before its start.
    else if (this.hasStarted) next = moreSignificantState(this.currentState, next);
    this.transitionTo(next);
  }

  private mostSignificantState(): GangState {
    let state: GangState = 'waiting';
    for (const [taskState, count] of this.countByState)
      if (count > 0) state = moreSignificantState(state, taskState === 'starting' ? 'fetching' : taskState);
    return state;
  }

  private count(state: GangTaskState): number {
    return this.countByState.get(state) ?? 0;
  }

  private addToCounts({ state, machine, attempt }: GangMember, change: 1 | -1): void {
    this.countByState.set(state, this.count(state) + change);
    addToCount(this.countByAttempt, attempt, change);
    const { placed, starting, waiting } = this.machineCounts.get(machine) ?? NO_TASKS;
    if (placed + change === 0) this.machineCounts.delete(machine);
    else
      this.machineCounts.set(machine, {
        placed: placed + change,
        starting: starting + (state === 'starting' ? change : 0),
        waiting: waiting + (state === 'waiting' ? change : 0),
      });
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

function gangMemberOf(placement: Placement): GangMember {
  const { machine, attempt } = placement;
  return { state: gangTaskStateOf(placement), machine, attempt };
}

/** The state of one task, as far as it matters to the gang. */
function gangTaskStateOf({ state, stopRequest }: Placement): GangTaskState {
  if (state === 'saving') return 'saving';
  if (stopRequest !== null) return stopRequest.graceS > 0 && state === 'running' ? 'saving' : 'breaking';
  switch (state) {
    case 'intended':
    case 'fetching':
    case 'waiting':
    case 'running':
      return state;
    default:
      return 'starting';
  }
}

/** Adds to the count of a key, which is removed when its count is 0. */
function addToCount<Key>(counts: Map<Key, number>, key: Key, change: 1 | -1): void {
  const count = (counts.get(key) ?? 0) + change;
  if (count === 0) counts.delete(key);
  else counts.set(key, count);
}
