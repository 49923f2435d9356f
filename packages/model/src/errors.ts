/**
 * Errors of the model: state transitions and placement changes that are not allowed.
 *
 * @module
 */

import { SpurbridgeError } from '@spurbridge/wire';

/** A state transition that the transition table does not list. */
export class InvalidTransitionError extends SpurbridgeError {
  constructor(
    /** The kind of object that the state belongs to, such as `job`. */
    readonly subject: string,
    readonly from: string,
    readonly to: string,
  ) {
    super('INVALID_TRANSITION', `${subject}: the transition ${from} -> ${to} is not allowed`);
  }
}

/** A task index that the job does not have. */
export class UnknownTaskError extends SpurbridgeError {
  constructor(job: string, task: number) {
    super('UNKNOWN_TASK', `job ${job} has no task ${task}`);
  }
}

/** A task cannot be placed: its job is not active, it is done, or it already has a placement. */
export class TaskNotPlaceableError extends SpurbridgeError {
  constructor(job: string, task: number) {
    super(
      'TASK_NOT_PLACEABLE',
      `task ${job}/${task} cannot be placed: it is done or placed already, or its job is not active`,
    );
  }
}

/** A task cannot be abandoned, because it still has a placement. */
export class TaskStillPlacedError extends SpurbridgeError {
  constructor(job: string, task: number) {
    super(
      'TASK_STILL_PLACED',
      `task ${job}/${task} cannot be abandoned: it is placed and may be on a machine`,
    );
  }
}
