/**
 * A task graph as its client creates it. Task graphs are a spurbridge API in addition to the job API (docs/graphs.md).
 *
 * @module
 */
import type { JobPriority } from '../jobs.js';
import * as read from '../json-fields.js';
import type { GraphId } from './ids.js';
import { isGraphId } from './ids.js';

/** Properties that all tasks of a graph share. */
export interface GraphSpec {
  readonly id: GraphId;
  /** The class of jobs that its tasks belong to. */
  readonly class: string;
  readonly team: string;
  readonly priority: JobPriority;
}

const PRIORITIES: readonly JobPriority[] = ['production', 'high', 'normal', 'low'];

/** Reads the request that creates a graph; throws a `ValidationError`. */
export function parseGraphSpec(body: unknown): GraphSpec {
  const fields = read.asObject(body, 'body');
  const id = read.string(fields, 'graph');
  if (!isGraphId(id)) throw new read.ValidationError('graph', 'a graph id such as gr-nightly');
  return {
    id,
    class: read.name(fields, 'class'),
    team: read.name(fields, 'team'),
    priority: read.oneOf(fields, 'priority', PRIORITIES),
  };
}
