/**
 * States of tasks and of their results, and the transitions between them.
 *
 * @module
 */
import { TransitionTable } from '@spurbridge/model';

/**
 * waiting -> ready -> submitted -> done | failed.
 *
 * `submitted`: part of a cotask that the scheduler has. `cancelling`: cancelled, and may still be on a
 * machine. done -> waiting: the result is lost and something still needs it. A ready task waits again when a
 * result that it takes is lost.
 */
export type TaskState = 'waiting' | 'ready' | 'submitted' | 'cancelling' | 'done' | 'failed' | 'cancelled';

/** All states of a task; records hold a state as its position in this list. */
export const TASK_STATES: readonly TaskState[] = [
  'waiting',
  'ready',
  'submitted',
  'cancelling',
  'done',
  'failed',
  'cancelled',
];

/** The transitions that a task's state may make. */
export const taskTransitions = new TransitionTable<TaskState>('graph task', {
  waiting: ['ready', 'failed', 'cancelled'],
  ready: ['waiting', 'submitted', 'failed', 'cancelled'],
  submitted: ['waiting', 'ready', 'cancelling', 'done', 'failed'],
  cancelling: ['cancelled'],
  done: ['waiting'],
  failed: [],
  cancelled: [],
});

/** Whether a task in this state has ended: only the loss of its result can change it any more. */
export function isTerminal(state: TaskState): boolean {
  return state === 'done' || state === 'failed' || state === 'cancelled';
}

/** Whether a task in this state is not with the scheduler yet. */
export function isPending(state: TaskState): boolean {
  return state === 'waiting' || state === 'ready';
}

/** Whether a task in this state is cancelled, or will be once it is proven to be on no machine. */
export function isCancelled(state: TaskState): boolean {
  return state === 'cancelled' || state === 'cancelling';
}

/** none -> kept -> dropped | lost. `dropped`: nothing refers to the result any more. */
export type ResultState = 'none' | 'kept' | 'dropped' | 'lost';

/** All states of a result; records hold a state as its position in this list. */
export const RESULT_STATES: readonly ResultState[] = ['none', 'kept', 'dropped', 'lost'];

/**
 * Why a task ended without a result. `error`: its own runs failed. `upstream`: a task whose result it takes
 * failed. `lineage`: its result was lost, and a task that is needed to make it again cannot run any more.
 */
export type FailureKind = 'error' | 'upstream' | 'lineage';

/** All kinds of failures; records hold a kind as its position in this list, counted from 1. */
export const FAILURE_KINDS: readonly FailureKind[] = ['error', 'upstream', 'lineage'];
