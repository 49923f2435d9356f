/**
 * Errors of the model: changes of state or of placements that its rules do not allow.
 *
 * @module
 */

import { SpurbridgeError } from '@spurbridge/wire';

/** A state machine was to make a transition that its transition table does not list. */
export class InvalidTransitionError extends SpurbridgeError {
  constructor(
    /** What the state belongs to, such as `job`. */
    readonly subject: string,
    readonly from: string,
    readonly to: string,
  ) {
    super('INVALID_TRANSITION', `${subject}: ${from} -> ${to} is no transition`);
  }
}

/** A task number that is beyond the job's tasks. */
export class UnknownTaskError extends SpurbridgeError {
  constructor(job: string, task: number) {
    super('UNKNOWN_TASK', `${job} has no task ${task}`);
  }
}

/** A task cannot be placed: its job is not active, it is done, or it already has a placement. */
export class TaskNotPlaceableError extends SpurbridgeError {
  constructor(job: string, task: number) {
    super('TASK_NOT_PLACEABLE', `${job}/${task} cannot be placed`);
  }
}

/** A task was to be abandoned although it still has a placement. */
export class TaskStillPlacedError extends SpurbridgeError {
  constructor(job: string, task: number) {
    super('TASK_STILL_PLACED', `${job}/${task} may still be on a machine`);
  }
}
