/**
 * Commits changes of the configuration to the key-value store with optimistic concurrency control.
 *
 * @module
 */
import type { Clock } from '@spurbridge/net';
import type { KeyValueStore } from '@spurbridge/store';
import type { KeyValue } from '@spurbridge/wire';
import { ValidationError } from '@spurbridge/wire';
import { applyChanges } from './apply-changes.js';
import { diffConfigurations } from './differences.js';
import { InconsistentRecordsError, InvalidChangeError } from './errors.js';
import { readHistory } from './history.js';
import type { Proposal, ProposalOutcome } from './proposal.js';
import type { HistoryEntry } from './records.js';
import { CONFIGURATION_PREFIX } from './records.js';
import type { StoredConfiguration } from './stored-configuration.js';
import { readConfiguration } from './stored-configuration.js';
import type { TransactionLimits } from './transaction.js';
import { TransactionBuilder } from './transaction.js';
import type { Configuration, GuaranteeBound } from './types.js';

/** Lower priority than placements, lease renewals and users' requests. */
const REQUEST_PRIORITY = 2;
const MAX_LOAD_ATTEMPTS = 3;
const LOAD_RETRY_DELAY_MS = 30;

/** Dependencies of a {@link ConfigurationEditor}. */
export interface ConfigurationEditorOptions {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  /** Wall-clock time in milliseconds since 1970. */
  readonly wallNow: () => number;
  readonly limits: TransactionLimits;
  /** The configuration of the settings file, which applies until the first change is committed. */
  readonly settingsFile: Configuration;
  readonly guaranteeBound: GuaranteeBound;
}

/** All configuration records, decoded. */
export interface LoadedRecords {
  /** Null: no change was ever committed. */
  readonly stored: StoredConfiguration | null;
  /** All entries that are still stored, oldest first. */
  readonly history: HistoryEntry[];
  /** All configuration records by key. */
  readonly items: ReadonlyMap<string, KeyValue>;
}

/** Commits proposals, each as one transaction on top of the version that its author saw. */
export class ConfigurationEditor {
  private readonly transactions: TransactionBuilder;

  constructor(private readonly options: ConfigurationEditorOptions) {
    this.transactions = new TransactionBuilder(options.limits);
  }

  /** Validates and commits a proposal. A proposal with the id of a committed one is not committed again. */
  async propose(proposal: Proposal): Promise<ProposalOutcome> {
    const loaded = await this.load();
    if (loaded === null) return { outcome: 'unsure' };
    const earlier = findCommitted(loaded, proposal);
    if (earlier !== null) return earlier;
    const current = loaded.stored?.configuration ?? this.options.settingsFile;
    if (current.version !== proposal.baseVersion) return { outcome: 'conflict', version: current.version };
    try {
      return await this.commit(loaded, current, proposal);
    } catch (error) {
      if (!(error instanceof InvalidChangeError)) throw error;
      return { outcome: 'refused', field: error.field, reason: error.message };
    }
  }

  private async commit(
    loaded: LoadedRecords,
    before: Configuration,
    proposal: Proposal,
  ): Promise<ProposalOutcome> {
    const after = applyChanges(before, proposal.changes, this.options.guaranteeBound);
    const fieldChanges = diffConfigurations(before, after);
    if (fieldChanges.length === 0) return { outcome: 'unchanged', version: before.version, differences: [] };
    const { compares, mutations } = this.transactions.build(
      { stored: loaded.stored, records: loaded.items },
      { before, after, fieldChanges, proposal, changedAt: this.options.wallNow() },
    );
    if (proposal.isDryRun) return { outcome: 'dry run', version: before.version, differences: fieldChanges };
    const result = await this.options.store.commit(compares, mutations, REQUEST_PRIORITY);
    switch (result.outcome) {
      case 'committed':
        return { outcome: 'committed', version: after.version, differences: fieldChanges };
      case 'conflict':
        return this.resolveConflict(proposal);
      default:
        return { outcome: 'unsure' };
    }
  }

  /** Distinguishes another author's change from a request of this proposal whose response was lost. */
  private async resolveConflict(proposal: Proposal): Promise<ProposalOutcome> {
    const loaded = await this.load();
    if (loaded === null) return { outcome: 'unsure' };
    const earlier = findCommitted(loaded, proposal);
    if (earlier !== null) return earlier;
    const version = loaded.stored?.configuration.version;
    return version === undefined ? { outcome: 'unsure' } : { outcome: 'conflict', version };
  }

  /** Reads all records from the key-value store; null if they cannot be read now. */
  async load(): Promise<LoadedRecords | null> {
    for (let attempt = 0; attempt < MAX_LOAD_ATTEMPTS; attempt += 1) {
      const listed = await this.options.store.list(CONFIGURATION_PREFIX, REQUEST_PRIORITY);
      if (listed.outcome !== 'listed') return null;
      const items = new Map(listed.items.map((item) => [item.key, item]));
      try {
        const stored = readConfiguration((key) => items.get(key));
        return { stored, history: readHistory(items), items };
      } catch (error) {
        const isRetryable = error instanceof InconsistentRecordsError || error instanceof ValidationError;
        if (!isRetryable) throw error;
        await this.options.clock.sleep(LOAD_RETRY_DELAY_MS);
      }
    }
    return null;
  }
}

/** The outcome of an earlier request of the same proposal, or null where none was committed. */
function findCommitted(loaded: LoadedRecords, proposal: Proposal): ProposalOutcome | null {
  const entry = loaded.history.find(({ changeId }) => changeId === proposal.changeId);
  if (entry === undefined) return null;
  return { outcome: 'known', version: entry.version, differences: entry.differences };
}
