/**
 * Builds the transaction that commits one version of the configuration.
 *
 * @module
 */
import type { Compare, KeyValue, Mutation } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';
import type { FieldChange } from './differences.js';
import { InvalidChangeError } from './errors.js';
import { appendHistory } from './history.js';
import type { Proposal } from './proposal.js';
import type { ConfigurationHead, HistoryEntry, TeamPage } from './records.js';
import {
  HEAD_KEY,
  OBJECTIVES_KEY,
  encodeHead,
  encodeObjectives,
  encodePage,
  historyKey,
  pageKey,
} from './records.js';
import type { StoredConfiguration } from './stored-configuration.js';
import { groupIntoPages, initialPageCount, pageIndexOf } from './team-pages.js';
import type { Configuration } from './types.js';

const BYTES_PER_KIB = 1024;
/** Maximum number of field changes that a history entry lists. For the others it records only their number. */
const MAX_LISTED_FIELD_CHANGES = 40;
const MAX_TRANSACTION_BYTES = 60 * BYTES_PER_KIB;
/** Records that a change may write besides the pages: head, objectives and history. */
const NON_PAGE_RECORDS = 3;
/** The fence that is compared with every commit needs no mutation; one mutation is left as a reserve. */
const RESERVED_MUTATIONS = 1;

/** Limits of the key-value store. */
export interface TransactionLimits {
  /** Size limit of a value, in KiB. */
  readonly valueKb: number;
  /** Maximum number of mutations in a transaction. */
  readonly txnOps: number;
}

/** The step from one version of the configuration to the next. */
export interface VersionStep {
  readonly before: Configuration;
  readonly after: Configuration;
  readonly fieldChanges: readonly FieldChange[];
  readonly proposal: Proposal;
  /** Wall-clock time of the change, in milliseconds since 1970. */
  readonly changedAt: number;
}

/** The state of the key-value store that a transaction is based on. */
export interface TransactionBase {
  /** Null: no change was ever committed. */
  readonly stored: StoredConfiguration | null;
  /** All configuration records by key. */
  readonly records: ReadonlyMap<string, KeyValue>;
}

/** Mutations, and the record versions that must still be in place for them to be made. */
export interface ConfigurationTransaction {
  readonly compares: Compare[];
  readonly mutations: Mutation[];
}

/** Encodes versions of the configuration within the limits of the key-value store. */
export class TransactionBuilder {
  private readonly maxValueBytes: number;

  constructor(private readonly limits: TransactionLimits) {
    this.maxValueBytes = limits.valueKb * BYTES_PER_KIB;
  }

  /**
   * Builds the transaction that writes all records that the step changes, each on the condition that it is still the
   * one that was read.
   *
   * @throws `InvalidChangeError` if the configuration does not fit the store's limits
   */
  build(base: TransactionBase, step: VersionStep): ConfigurationTransaction {
    const values = this.changedRecords(base, step);
    this.checkSizes(values);
    const compares = [...values.keys()].map((key) => ({
      key,
      version: base.records.get(key)?.version ?? KEY_ABSENT,
    }));
    const mutations = [...values].map(([put, value]) => ({ put, value }));
    return { compares, mutations };
  }

  private changedRecords(base: TransactionBase, step: VersionStep): Map<string, unknown> {
    const { before, after } = step;
    const values = new Map<string, unknown>();
    const pages = this.layOutPages(base.stored, before, after);
    pages.forEach((page, pageIndex) => {
      if (page.version === after.version) values.set(pageKey(pageIndex), encodePage(page));
    });
    const storedHead = base.stored?.head ?? null;
    const writesObjectives = storedHead === null || after.objectives !== before.objectives;
    if (writesObjectives)
      values.set(OBJECTIVES_KEY, encodeObjectives({ version: after.version, objectives: after.objectives }));
    const appended = appendHistory(
      base.records,
      storedHead?.segment ?? 0,
      historyEntry(step),
      this.maxValueBytes,
    );
    values.set(historyKey(appended.segmentIndex), appended.value);
    const head: ConfigurationHead = {
      version: after.version,
      pages: pages.map((page) => page.version),
      objectives: writesObjectives ? after.version : storedHead.objectives,
      changeId: step.proposal.changeId,
      segment: appended.segmentIndex,
    };
    values.set(HEAD_KEY, encodeHead(head));
    return values;
  }

  /** The pages of the next version. Pages without a changed team stay as they are, unless one overflows. */
  private layOutPages(
    stored: StoredConfiguration | null,
    before: Configuration,
    after: Configuration,
  ): readonly TeamPage[] {
    if (stored !== null) {
      const pages = updatePages(stored.pages, before, after);
      if (pages.every((page) => this.fits(page))) return pages;
    }
    return this.rebuildPages(after);
  }

  /** Redistributes all teams over the smallest possible number of pages. */
  private rebuildPages({ version, teams }: Configuration): TeamPage[] {
    const totalBytes = JSON.stringify(encodePage({ version, teams })).length;
    const maxPages = Math.max(1, this.limits.txnOps - NON_PAGE_RECORDS - RESERVED_MUTATIONS);
    const firstCount = Math.min(maxPages, initialPageCount(totalBytes, this.maxValueBytes));
    for (let pageCount = firstCount; pageCount <= maxPages; pageCount += 1) {
      const pages = groupIntoPages(teams, pageCount).map((pageTeams) => ({ version, teams: pageTeams }));
      if (pages.every((page) => this.fits(page))) return pages;
    }
    throw new InvalidChangeError('teams', `${teams.length} teams do not fit into ${maxPages} records`);
  }

  private fits(page: TeamPage): boolean {
    return JSON.stringify(encodePage(page)).length <= this.maxValueBytes;
  }

  private checkSizes(values: ReadonlyMap<string, unknown>): void {
    if (values.size > this.limits.txnOps - RESERVED_MUTATIONS)
      throw new InvalidChangeError(
        'changes',
        `expected at most ${this.limits.txnOps - RESERVED_MUTATIONS} records, got ${values.size}`,
      );
    let totalBytes = 0;
    for (const [key, value] of values) {
      const bytes = Buffer.byteLength(JSON.stringify(value));
      if (bytes > this.maxValueBytes)
        throw new InvalidChangeError(key, `expected at most ${this.limits.valueKb} KiB, got ${bytes} bytes`);
      totalBytes += bytes;
    }
    if (totalBytes > MAX_TRANSACTION_BYTES)
      throw new InvalidChangeError(
        'changes',
        `expected at most ${MAX_TRANSACTION_BYTES} bytes per commit, got ${totalBytes}`,
      );
  }
}

/** The stored pages, with those that hold a changed team replaced by pages of the next version. */
function updatePages(
  storedPages: readonly TeamPage[],
  before: Configuration,
  after: Configuration,
): readonly TeamPage[] {
  const pageCount = storedPages.length;
  const teamsBefore = new Map(before.teams.map((team) => [team.name, team]));
  const changedTeams = after.teams.filter((team) => teamsBefore.get(team.name) !== team);
  const changedPages = new Set(changedTeams.map((team) => pageIndexOf(team.name, pageCount)));
  const teamsByPage = groupIntoPages(after.teams, pageCount);
  return storedPages.map((page, pageIndex) =>
    changedPages.has(pageIndex) ? { version: after.version, teams: teamsByPage[pageIndex] ?? [] } : page,
  );
}

function historyEntry(step: VersionStep): HistoryEntry {
  const { fieldChanges, proposal } = step;
  return {
    version: step.after.version,
    changeId: proposal.changeId,
    author: proposal.author,
    at: step.changedAt,
    differences: fieldChanges.slice(0, MAX_LISTED_FIELD_CHANGES),
    more: Math.max(0, fieldChanges.length - MAX_LISTED_FIELD_CHANGES),
  };
}
