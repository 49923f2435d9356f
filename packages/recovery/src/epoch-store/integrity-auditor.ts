/**
 * Audits: comparisons of the replica with the store that detect losses that no other request would reveal.
 *
 * @module
 */
import type { KeyValueStore, ListOutcome } from '@spurbridge/store';
import { KEY_ABSENT } from '@spurbridge/wire';
import { isTombstone } from '../epoch/tombstone.js';
import type { Replica } from '../replica/replica.js';
import type { RepairOverlay } from '../replica/repair-overlay.js';
import { CONTROL_PRIORITY } from '../request-priorities.js';
import type { AuditSelector } from './audit-selector.js';
import type { EpochTrust, ResponseValidator } from './response-validator.js';

/** One in this many audits is replaced by a full read. */
const AUDITS_PER_FULL_READ = 60;
/** Maximum number of records for which full reads are made. */
const FULL_READ_MAX_RECORDS = 20_000;

/** The dependencies of an `IntegrityAuditor`. */
export interface IntegrityAuditorDependencies {
  readonly underlyingStore: KeyValueStore;
  readonly replica: Replica;
  readonly overlay: RepairOverlay;
  readonly selector: AuditSelector;
  readonly validator: ResponseValidator;
  readonly trust: EpochTrust;
  /** Reads all records at the lowest priority, and validates them. */
  readonly readAll: () => Promise<ListOutcome>;
}

/** Verifies with transactions that only compare that the keys in the store match the replica. */
export class IntegrityAuditor {
  private auditCount = 0;

  constructor(private readonly dependencies: IntegrityAuditorDependencies) {}

  /** Runs one audit. */
  async run(): Promise<void> {
    this.auditCount += 1;
    const { replica, readAll } = this.dependencies;
    // A transaction only compares versions; a value that changed under the same version is only detected by reading it.
    if (this.auditCount % AUDITS_PER_FULL_READ === 0 && replica.size <= FULL_READ_MAX_RECORDS)
      await readAll();
    else await this.compareSelected();
  }

  private async compareSelected(): Promise<void> {
    const { replica, overlay, selector, validator, trust } = this.dependencies;
    const compares = selector.selectCompares(replica, (key) => overlay.has(key));
    const outcome = await validator.compare(compares);
    if (outcome.outcome !== 'conflict') return;
    for (const key of outcome.failed) if (!(await this.checkKey(key))) return;
    const lostKey = selector.findLostKey(replica);
    if (lostKey !== null) trust.suspect(`${lostKey} is missing`);
  }

  /** Reads a key whose comparison failed. Returns false if the epoch is no longer trusted. */
  private async checkKey(key: string): Promise<boolean> {
    const { underlyingStore, replica, selector, validator, trust } = this.dependencies;
    const known = replica.get(key);
    const found = await underlyingStore.read(key, CONTROL_PRIORITY);
    if (!trust.isCurrent()) return false;
    if (found.outcome === 'found') {
      const { version, value } = found.item;
      return isTombstone(value) || validator.accepts(key, known, version, value);
    }
    if (found.outcome === 'absent') {
      if (!validator.accepts(key, known, KEY_ABSENT, undefined)) return false;
      // The key was deleted meanwhile, or is lost. Only a deletion appears in the watch.
      selector.noteAbsent(key, found.revision);
    }
    return true;
  }
}
