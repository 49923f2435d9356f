/**
 * The HTTP API for operators: paths and response bodies. Members have the names of the JSON fields.
 *
 * @module
 */
import type { FieldChange } from './differences.js';

/** Paths of the operators' HTTP API. */
export const CONFIGURATION_PATHS = {
  current: '/configuration',
  changes: '/configuration/changes',
  history: '/configuration/history',
  status: '/configuration/status',
} as const;

/** The newest configuration; a limit of null means no limit. */
export interface ConfigurationResponse {
  readonly version: number;
  readonly teams: readonly Record<string, unknown>[];
  readonly objectives: readonly Record<string, unknown>[];
}

/** The response to changes that were committed, or checked by a dry run. */
export interface AppliedChange {
  readonly outcome: string;
  readonly version: number;
  readonly differences: readonly FieldChange[];
}

/** The configuration that applies on one node. */
export interface NodeVersion {
  readonly node: string;
  /** Null: the node has not reported its version yet. */
  readonly version: number | null;
  /**
   * Time since the node last confirmed that its replica of the key-value store was current, in milliseconds.
   */
  readonly ageMs: number;
  readonly leads: boolean;
}
