/**
 * Proposals of configuration changes, and their outcomes.
 *
 * @module
 */
import type { FieldChange } from './differences.js';
import type { ConfigurationChange, ConfigurationVersion } from './types.js';

/** A set of changes that an author wants to be committed together. */
export interface Proposal {
  /** The version that the author saw and that the changes are based on. */
  readonly baseVersion: ConfigurationVersion;
  /** Idempotency key: the author chooses it once and repeats it when the request is sent again. */
  readonly changeId: string;
  readonly author: string;
  readonly changes: readonly ConfigurationChange[];
  /** Only report what would change. */
  readonly isDryRun: boolean;
}

/**
 * The outcome of a proposal. Nodes send it to operators as it is.
 *
 * - `committed`: the changes are durable as `version`.
 * - `known`: an earlier request with the same id was committed as `version`.
 * - `dry run`: nothing was written; `version` is still the newest.
 * - `unchanged`: the changes make no difference to `version`.
 * - `conflict`: the base version is not the newest, which is `version`.
 * - `refused`: the changes are invalid.
 * - `unsure`: it is unknown whether the changes were committed. Repeating the request with the same id is safe.
 */
export type ProposalOutcome =
  | {
      readonly outcome: 'committed' | 'known' | 'dry run' | 'unchanged';
      readonly version: ConfigurationVersion;
      readonly differences: readonly FieldChange[];
    }
  | { readonly outcome: 'conflict'; readonly version: ConfigurationVersion }
  | { readonly outcome: 'refused'; readonly field: string; readonly reason: string }
  | { readonly outcome: 'unsure' };
