import type { Clock } from '@spurbridge/net';
import type { KeyValueStore } from '@spurbridge/store';
import type { Mutation, Compare, KeyValue } from '@spurbridge/wire';
import { KEY_ABSENT, ValidationError } from '@spurbridge/wire';
import type { FieldChange } from './change.js';
import { applyChanges, diffConfigurations } from './change.js';
import { pageIndexOf, groupIntoPages, initialPageCount } from './paging.js';
import type { ConfigurationHead, HistoryEntry, StoredConfiguration, TeamPage } from './records.js';
import {
  CONFIGURATION_PREFIX,
  HEAD_KEY,
  InconsistentRecordsError,
  OBJECTIVES_KEY,
  decodeHistory,
  encodeHead,
  encodeHistory,
  encodeObjectives,
  encodePage,
  historyKey,
  pageKey,
  readConfiguration,
} from './records.js';
import type { Configuration, ConfigurationChange, ConfigurationVersion, GuaranteeBound } from './types.js';
import { InvalidChangeError } from './types.js';

/** Segments of the history; with 1,300 changes a day and some sixty in a segment they hold about a day. */
export const HISTORY_SEGMENT_COUNT = 24;
/** Differences of one change that are kept one by one. */
const MOST_DIFFERENCES = 40;
const HISTORY_SHARE = 0.75;
const MOST_TRANSACTION_BYTES = 60 * 1024;
/** Beside the pages: head, objectives and history. */
const OTHER_RECORDS = 3;
/** The fence that every commit asks for takes no change; one is left for safety. */
const SPARE_CHANGES = 1;
/** Less urgent than intents, renewals and what users ask. */
const URGENCY = 2;
const TRIES = 3;
const RETRY_MS = 30;

/** What an author asks for. */
export interface Proposal {
  /** The version that the author saw. */
  readonly baseVersion: ConfigurationVersion;
  /** Drawn by the author once for the change, and the same when it is sent again. */
  readonly changeId: string;
  readonly author: string;
  readonly changes: readonly ConfigurationChange[];
  /** Says what would change, and changes nothing. */
  readonly isDryRun: boolean;
}

export type ProposalOutcome =
  | {
      readonly outcome: 'committed' | 'known' | 'dry run' | 'unchanged';
      readonly version: ConfigurationVersion;
      readonly differences: readonly FieldChange[];
    }
  | { readonly outcome: 'conflict'; readonly version: ConfigurationVersion }
  | { readonly outcome: 'refused'; readonly field: string; readonly reason: string }
  /** Not known whether it was made; asked again with the same id it is not made twice. */
  | { readonly outcome: 'unsure' };

export interface ConfigurationEditorOptions {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly wallNow: () => number;
  readonly limits: { readonly valueKb: number; readonly txnOps: number };
  /** What the settings file states: holds as long as no change was made. */
  readonly settingsFile: Configuration;
  readonly guaranteeBound: GuaranteeBound;
}

interface LoadedRecords {
  readonly stored: StoredConfiguration | null;
  readonly history: HistoryEntry[];
  readonly items: ReadonlyMap<string, KeyValue>;
}

/** Makes changes of the configuration: each is one commit on the version that its author saw. */
export class ConfigurationEditor {
  constructor(private readonly p: ConfigurationEditorOptions) {}

  async propose(proposal: Proposal): Promise<ProposalOutcome> {
    const loaded = await this.load();
    if (loaded === null) return { outcome: 'unsure' };
    const before = loaded.stored?.configuration ?? this.p.settingsFile;
    const known = loaded.history.find((e) => e.changeId === proposal.changeId);
    if (known !== undefined)
      return { outcome: 'known', version: known.version, differences: known.differences };
    if (before.version !== proposal.baseVersion) return { outcome: 'conflict', version: before.version };
    try {
      return await this.change(loaded, before, proposal);
    } catch (e) {
      if (!(e instanceof InvalidChangeError)) throw e;
      return { outcome: 'refused', field: e.field, reason: e.message };
    }
  }

  private async change(
    loaded: LoadedRecords,
    before: Configuration,
    proposal: Proposal,
  ): Promise<ProposalOutcome> {
    const next = applyChanges(before, proposal.changes, this.p.guaranteeBound);
    const found = diffConfigurations(before, next);
    if (found.length === 0) return { outcome: 'unchanged', version: before.version, differences: [] };
    const { conditions, changes } = this.transaction(loaded, before, next, proposal, found);
    if (proposal.isDryRun) return { outcome: 'dry run', version: before.version, differences: found };
    const outcome = await this.p.store.commit(conditions, changes, URGENCY);
    switch (outcome.outcome) {
      case 'committed':
        return { outcome: 'committed', version: next.version, differences: found };
      case 'conflict': {
        const now = await this.load();
        // A request of ours that got no answer may have been carried out meanwhile.
        const own = now?.history.find((e) => e.changeId === proposal.changeId);
        if (own !== undefined)
          return { outcome: 'known', version: own.version, differences: own.differences };
        const version = now?.stored?.configuration.version;
        return version === undefined ? { outcome: 'unsure' } : { outcome: 'conflict', version };
      }
      default:
        return { outcome: 'unsure' };
    }
  }

  /** All records, oldest history first; null where they cannot be read now. */
  async load(): Promise<LoadedRecords | null> {
    for (let n = 0; n < TRIES; n += 1) {
      const listed = await this.p.store.list(CONFIGURATION_PREFIX, URGENCY);
      if (listed.outcome !== 'listed') return null;
      const items = new Map(listed.items.map((i) => [i.key, i]));
      try {
        const stored = readConfiguration((key) => items.get(key));
        return { stored, history: readHistory(items), items };
      } catch (e) {
        if (!(e instanceof InconsistentRecordsError) && !(e instanceof ValidationError)) throw e;
        await this.p.clock.sleep(RETRY_MS);
      }
    }
    return null;
  }

  private get valueBytes(): number {
    return this.p.limits.valueKb * 1024;
  }

  /** The records that the change writes, with what each is conditioned on; refuses what does not fit one commit. */
  private transaction(
    loaded: LoadedRecords,
    before: Configuration,
    next: Configuration,
    proposal: Proposal,
    found: readonly FieldChange[],
  ): { conditions: Compare[]; changes: Mutation[] } {
    const { stored, items } = loaded;
    const pages = this.pagesOf(stored, before, next);
    const written = new Map<string, unknown>();
    pages.forEach((page, n) => {
      if (page.version === next.version) written.set(pageKey(n), encodePage(page));
    });
    const isNewObjectives = stored === null || next.objectives !== before.objectives;
    if (isNewObjectives)
      written.set(OBJECTIVES_KEY, encodeObjectives({ version: next.version, objectives: next.objectives }));
    const segment = this.addHistory(loaded, written, {
      version: next.version,
      changeId: proposal.changeId,
      author: proposal.author,
      at: this.p.wallNow(),
      differences: found.slice(0, MOST_DIFFERENCES),
      more: Math.max(0, found.length - MOST_DIFFERENCES),
    });
    const head: ConfigurationHead = {
      version: next.version,
      pages: pages.map((page) => page.version),
      objectives: isNewObjectives ? next.version : (stored.head.objectives satisfies ConfigurationVersion),
      changeId: proposal.changeId,
      segment,
    };
    written.set(HEAD_KEY, encodeHead(head));
    this.checkSizes(written);
    const conditions = [...written.keys()].map((key) => ({
      key,
      version: items.get(key)?.version ?? KEY_ABSENT,
    }));
    return { conditions, changes: [...written].map(([put, value]) => ({ put, value })) };
  }

  /** Pages of the next version; those that the change does not touch stay as they are. */
  private pagesOf(
    stored: StoredConfiguration | null,
    before: Configuration,
    next: Configuration,
  ): readonly TeamPage[] {
    const known = new Map(before.teams.map((t) => [t.name, t]));
    const changed = next.teams.filter((t) => known.get(t.name) !== t);
    if (stored !== null) {
      const count = stored.pages.length;
      const touched = new Set(changed.map((t) => pageIndexOf(t.name, count)));
      const teams = groupIntoPages(next.teams, count);
      const pages = stored.pages.map((page, n) =>
        touched.has(n) ? { version: next.version, teams: teams[n] ?? [] } : page,
      );
      if (pages.every((page) => this.fits(page))) return pages;
    }
    return this.pagedAnew(next);
  }

  private pagedAnew(next: Configuration): TeamPage[] {
    const whole = JSON.stringify(encodePage({ version: next.version, teams: next.teams })).length;
    const most = Math.max(1, this.p.limits.txnOps - OTHER_RECORDS - SPARE_CHANGES);
    for (let count = Math.min(most, initialPageCount(whole, this.valueBytes)); count <= most; count += 1) {
      const pages = groupIntoPages(next.teams, count).map((teams) => ({ version: next.version, teams }));
      if (pages.every((page) => this.fits(page))) return pages;
    }
    throw new InvalidChangeError('teams', `${next.teams.length} teams do not fit ${most} records`);
  }

  private fits(page: TeamPage): boolean {
    return JSON.stringify(encodePage(page)).length <= this.valueBytes;
  }

  /** Adds the change to the history's newest segment, or begins the next one, over the oldest. */
  private addHistory(loaded: LoadedRecords, written: Map<string, unknown>, entry: HistoryEntry): number {
    const segment = loaded.stored?.head.segment ?? 0;
    const item = loaded.items.get(historyKey(segment));
    const entries = item === undefined ? [] : decodeHistory(item.value);
    const value = encodeHistory([...entries, entry]);
    if (JSON.stringify(value).length <= this.valueBytes * HISTORY_SHARE || entries.length === 0) {
      written.set(historyKey(segment), value);
      return segment;
    }
    const next = (segment + 1) % HISTORY_SEGMENT_COUNT;
    written.set(historyKey(next), encodeHistory([entry]));
    return next;
  }

  private checkSizes(written: ReadonlyMap<string, unknown>): void {
    if (written.size > this.p.limits.txnOps - SPARE_CHANGES)
      throw new InvalidChangeError('changes', `${written.size} records are more than one commit takes`);
    let sum = 0;
    for (const [key, value] of written) {
      const bytes = Buffer.byteLength(JSON.stringify(value));
      if (bytes > this.valueBytes)
        throw new InvalidChangeError(key, `${bytes} bytes are more than ${this.p.limits.valueKb} KiB`);
      sum += bytes;
    }
    if (sum > MOST_TRANSACTION_BYTES)
      throw new InvalidChangeError('changes', `${sum} bytes are more than one commit takes`);
  }
}

/** All changes that are kept, oldest first. */
export function readHistory(items: ReadonlyMap<string, KeyValue>): HistoryEntry[] {
  const all: HistoryEntry[] = [];
  for (let n = 0; n < HISTORY_SEGMENT_COUNT; n += 1) {
    const item = items.get(historyKey(n));
    if (item !== undefined) all.push(...decodeHistory(item.value));
  }
  return all.sort((a, b) => a.version - b.version);
}
