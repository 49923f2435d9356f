/**
 * What a client reports about the results of a graph's tasks.
 *
 * @module
 */
import * as read from '../json-fields.js';
import type { GraphTaskId } from './ids.js';
import { asGraphTaskId, isBatchId } from './ids.js';

/** The results that are lost, those that the client starts to hold, and those that it releases. */
export interface ResultUpdate {
  /** Unique within the graph: the same update sent again has no further effect. */
  readonly id: string;
  readonly lost: readonly GraphTaskId[];
  readonly hold: readonly GraphTaskId[];
  readonly release: readonly GraphTaskId[];
}

/** Maximum number of tasks in each list of an update. */
const MAX_LISTED_TASKS = 200;

function parseTaskIds(fields: read.JsonObject, field: string): GraphTaskId[] {
  const ids = read.optionalStrings(fields, field) ?? [];
  if (ids.length > MAX_LISTED_TASKS)
    throw new read.ValidationError(field, `at most ${MAX_LISTED_TASKS} tasks`);
  return ids.map((id, index) => asGraphTaskId(id, `${field}[${index}]`));
}

/** Reads an update on results; throws a `ValidationError`. */
export function parseResultUpdate(body: unknown): ResultUpdate {
  const fields = read.asObject(body, 'body');
  const id = read.string(fields, 'note');
  // An update's id has the form of a batch id.
  if (!isBatchId(id)) throw new read.ValidationError('note', '1 to 60 letters, digits or any of _.~-');
  return {
    id,
    lost: parseTaskIds(fields, 'lost'),
    hold: parseTaskIds(fields, 'hold'),
    release: parseTaskIds(fields, 'release'),
  };
}
