/**
 * States of tasks and of their results, and the transitions between them.
 *
 * @module
 */
import { TransitionTable } from '@spurbridge/model';

/**
 * waiting -> ready -> submitted -> done | failed.
 *
 * `submitted`: part of a cotask in the scheduler. `cancelling`: cancelled, but possibly still on a machine.
 * done -> waiting: the result is lost and still needed. A ready task waits again if a result that it depends
 * on is lost.
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

/** The allowed transitions of a task's state. */
export const taskTransitions = new TransitionTable<TaskState>('graph task', {
  waiting: ['ready', 'failed', 'cancelled'],
  ready: ['waiting', 'submitted', 'failed', 'cancelled'],
  submitted: ['waiting', 'ready', 'cancelling', 'done', 'failed'],
  cancelling: ['cancelled'],
  done: ['waiting'],
  failed: [],
  cancelled: [],
});

/** Whether a task in this state has ended. Only the loss of its result can still change it. */
export function isTerminal(state: TaskState): boolean {
  return state === 'done' || state === 'failed' || state === 'cancelled';
}

/** Whether a task in this state has not been submitted to the scheduler. */
export function isPending(state: TaskState): boolean {
  return state === 'waiting' || state === 'ready';
}

/** Whether a task in this state is cancelled, or will be once proven to be on no machine. */
export function isCancelled(state: TaskState): boolean {
  return state === 'cancelled' || state === 'cancelling';
}

/** none -> kept -> dropped | lost. `dropped`: no longer referenced. A repeated run starts with `none` again. */
export type ResultState = 'none' | 'kept' | 'dropped' | 'lost';

/** All states of a result; records hold a state as its position in this list. */
export const RESULT_STATES: readonly ResultState[] = ['none', 'kept', 'dropped', 'lost'];

/**
 * Why a task ended without a result. `error`: its own runs failed. `upstream`: a task that it depends on
 * failed. `lineage`: its result was lost, and a task needed to recompute it cannot run any more.
 */
export type FailureKind = 'error' | 'upstream' | 'lineage';

/** All kinds of failures; records hold a kind as its position in this list, counted from 1. */
export const FAILURE_KINDS: readonly FailureKind[] = ['error', 'upstream', 'lineage'];
