/**
 * Names of tasks in messages: job id and task number, such as `wk-000412/3`.
 *
 * @module
 */
import type { Attempt, JobId } from './ids.js';
import { isJobId } from './ids.js';
import { ValidationError } from './json-fields.js';

/** A task by its job and its number within the job, counted from 0. */
export interface TaskName {
  readonly job: JobId;
  readonly task: number;
}

const TASK_NUMBER = /^\d{1,9}$/;

/** Cache of parsed names, because consecutive heartbeats contain mostly the same ones. Cleared when full. */
const parsedNames = new Map<string, TaskName>();
const MAX_PARSED_NAMES = 20_000;

/** The name of a task in messages. */
export function formatTaskName(job: JobId, task: number): string {
  return `${job}/${task}`;
}

/** The name of one attempt at a task, such as `wk-000412/3#2`: a machine may report several attempts at a task. */
export function formatAttemptName(job: JobId, task: number, attempt: Attempt): string {
  return `${formatTaskName(job, task)}#${attempt}`;
}

/** Reads a task's name; throws a `ValidationError`. */
export function parseTaskName(text: string): TaskName {
  let taskName = parsedNames.get(text);
  if (taskName === undefined) {
    taskName = splitTaskName(text);
    if (parsedNames.size >= MAX_PARSED_NAMES) parsedNames.clear();
    parsedNames.set(text, taskName);
  }
  return taskName;
}

function splitTaskName(text: string): TaskName {
  const slash = text.lastIndexOf('/');
  const job = text.slice(0, slash);
  const digits = text.slice(slash + 1);
  if (slash < 0 || !isJobId(job) || !TASK_NUMBER.test(digits))
    throw new ValidationError('piece', 'a task name such as wk-000412/3');
  return { job, task: Number(digits) };
}
