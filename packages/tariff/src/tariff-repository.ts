/**
 * The state of deferral beyond the jobs' own records, stored in the key-value store for the next leader.
 *
 * @module
 */
import type { LeaderTerm } from '@spurbridge/controller';
import type { CommitOutcome } from '@spurbridge/store';
import type { Mutation, Compare, KeyValue, TariffDocument, Version } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';
import { CapacityEstimator } from './capacity.js';
import type { DeferralPage } from './deferral-table.js';
import { DEFERRAL_PREFIX, DeferralTable, deferralPageKey, parseDeferralPageKey } from './deferral-table.js';
import { packDocument, unpackDocument } from './document-record.js';
import { RunTimeEstimator } from './run-times.js';

const TARIFF_PREFIX = 'tariff/';
const DOCUMENT_KEY = `${TARIFF_PREFIX}head`;
const CAPACITY_KEY = `${TARIFF_PREFIX}capacity`;
const DOCUMENT_PART_PREFIX = `${TARIFF_PREFIX}part/`;
const RUN_TIMES_PREFIX = `${TARIFF_PREFIX}class/`;
/** Priority of reads by a new leader, and of releases: work cannot start before them. */
const RELEASE_PRIORITY = 1;
/** Priority of writing observations, which can wait. */
const OBSERVATION_PRIORITY = 2;
const MAX_COMMIT_BYTES = 48 * 1024;
/** Bytes in a commit for a page's key, version and the surrounding JSON. */
const PAGE_OVERHEAD_BYTES = 100;
const MAX_KEY_BYTES = 200;
/** Pause before a failed request is retried, in milliseconds. */
const RETRY_DELAY_MS = 300;
/** The observed peak is stored again if it changed by more than this share. */
const MIN_PEAK_CHANGE = 0.02;

/** A page as it is being written. */
interface PageWrite {
  readonly page: DeferralPage;
  /** The page's generation when the write began. */
  readonly generation: number;
  readonly mutation: Mutation;
}

/**
 * Holds the tariff, the deferrals and the observations. Each write is conditional on this node's leadership.
 */
export class TariffRepository {
  readonly deferrals: DeferralTable;
  readonly capacity = new CapacityEstimator();
  /** The tariff in force. */
  document: TariffDocument | null = null;
  private readonly runTimesByClass = new Map<string, RunTimeEstimator>();
  private readonly versions = new Map<string, Version>();
  private storedPeak = 0;

  constructor(private readonly term: LeaderTerm) {
    this.deferrals = new DeferralTable(term.context.settings.storeLimits.valueKb);
  }

  /** Run times of a class. */
  runTimes(name: string): RunTimeEstimator {
    let runTimes = this.runTimesByClass.get(name);
    if (runTimes === undefined) {
      runTimes = new RunTimeEstimator();
      this.runTimesByClass.set(name, runTimes);
    }
    return runTimes;
  }

  // --- loading ---------------------------------------------------------------------------------

  /** Reads all records; resolves early if this node no longer leads. */
  async load(): Promise<void> {
    const { store, clock, log } = this.term.context;
    while (this.term.isActive) {
      const records = await store.list(TARIFF_PREFIX, RELEASE_PRIORITY);
      const pages =
        records.outcome === 'listed' ? await store.list(DEFERRAL_PREFIX, RELEASE_PRIORITY) : records;
      if (records.outcome === 'listed' && pages.outcome === 'listed') {
        this.restoreRecords(records.items);
        this.restorePages(pages.items);
        const deferred = [...this.deferrals.all()].length;
        log.info({ revision: this.document?.revision ?? null, deferred }, 'tariff restored');
        return;
      }
      await clock.sleep(RETRY_DELAY_MS);
    }
  }

  private restoreRecords(items: readonly KeyValue[]): void {
    for (const { key, version } of items) this.versions.set(key, version);
    this.restoreDocument(new Map(items.map(({ key, value }) => [key, value])));
    for (const { key, value } of items)
      if (key === CAPACITY_KEY)
        this.tryRestore(key, () => {
          this.capacity.restore(value);
        });
      else if (key.startsWith(RUN_TIMES_PREFIX))
        this.tryRestore(key, () => {
          const name = decodeURIComponent(key.slice(RUN_TIMES_PREFIX.length));
          this.runTimesByClass.set(name, RunTimeEstimator.decode(value));
        });
  }

  private restoreDocument(values: ReadonlyMap<string, unknown>): void {
    const head = values.get(DOCUMENT_KEY);
    if (head === undefined) return;
    this.tryRestore(DOCUMENT_KEY, () => {
      this.document = unpackDocument(head, (index) => values.get(documentPartKey(index)));
    });
  }

  private restorePages(items: readonly KeyValue[]): void {
    for (const { key, value, version } of items)
      this.tryRestore(key, () => {
        this.deferrals.restore(parseDeferralPageKey(key), value, version);
      });
  }

  /** Logs and skips a record that cannot be read. */
  private tryRestore(key: string, restore: () => void): void {
    try {
      restore();
    } catch (error) {
      this.term.context.log.error({ key, error: String(error) }, 'tariff record cannot be read');
    }
  }

  // --- the tariff and observations -------------------------------------------------------------

  /** Replaces the tariff in one transaction. Returns false if it is too large or could not be written. */
  async storeDocument(document: TariffDocument): Promise<boolean> {
    const { settings, log } = this.term.context;
    const packed = packDocument(document, settings.storeLimits.valueKb);
    if (packed.parts.length + 1 > settings.storeLimits.txnOps || packed.bytes > MAX_COMMIT_BYTES) {
      log.error(
        { refused: `slots: expected fewer, got ${packed.bytes} bytes in the stored form` },
        'tariff is too large to store',
      );
      return false;
    }
    const isStored = await this.write([
      { put: DOCUMENT_KEY, value: packed.head },
      ...packed.parts.map((value, index) => ({ put: documentPartKey(index), value })),
    ]);
    if (isStored) this.document = document;
    return isStored;
  }

  /** Writes the observations that changed since the last write. */
  async storeObservations(): Promise<void> {
    const mutations: Mutation[] = [];
    const written: RunTimeEstimator[] = [];
    const maxRunTimes = this.term.context.settings.storeLimits.txnOps - 1;
    for (const [name, runTimes] of this.runTimesByClass) {
      const key = RUN_TIMES_PREFIX + encodeURIComponent(name);
      if (!runTimes.isDirty || key.length > MAX_KEY_BYTES || mutations.length >= maxRunTimes) continue;
      mutations.push({ put: key, value: runTimes.encode() });
      written.push(runTimes);
    }
    const { peak } = this.capacity;
    if (Math.abs(peak - this.storedPeak) > this.storedPeak * MIN_PEAK_CHANGE)
      mutations.push({ put: CAPACITY_KEY, value: this.capacity.encode() });
    if (mutations.length === 0) return;
    for (const runTimes of written) runTimes.isDirty = false;
    if (await this.write(mutations)) this.storedPeak = peak;
    else for (const runTimes of written) runTimes.isDirty = true;
  }

  private async write(mutations: readonly Mutation[]): Promise<boolean> {
    const { store, leadership } = this.term.context;
    const keys = mutations.flatMap((mutation) => ('put' in mutation ? [mutation.put] : []));
    const compares: Compare[] = [
      leadership.leadershipCompare(),
      ...keys.map((key) => ({ key, version: this.versions.get(key) ?? KEY_ABSENT })),
    ];
    const outcome = await store.commit(compares, mutations, OBSERVATION_PRIORITY);
    if (outcome.outcome === 'committed') {
      for (const key of keys) this.versions.set(key, outcome.revision as number as Version);
      return true;
    }
    await this.recover(outcome, (key, version) => this.versions.set(key, version));
    return false;
  }

  // --- deferrals -------------------------------------------------------------------------------

  /** Writes changed pages, as many as fit one commit; true if none is left to write. */
  async flush(): Promise<boolean> {
    const { store, leadership } = this.term.context;
    const writes = this.pageWrites();
    if (writes.length === 0) return true;
    const outcome = await store.commit(
      [
        leadership.leadershipCompare(),
        ...writes.map(({ page }) => ({ key: deferralPageKey(page.index), version: page.version })),
      ],
      writes.map(({ mutation }) => mutation),
      RELEASE_PRIORITY,
    );
    if (!this.term.isActive) return false;
    if (outcome.outcome === 'committed')
      for (const { page, generation, mutation } of writes) {
        page.version = 'delete' in mutation ? KEY_ABSENT : (outcome.revision as number as Version);
        page.durableGeneration = generation;
      }
    else
      await this.recover(outcome, (key, version) => {
        const page = this.deferrals.pages[parseDeferralPageKey(key)];
        if (page !== undefined) page.version = version;
      });
    return false;
  }

  private pageWrites(): PageWrite[] {
    const { txnOps } = this.term.context.settings.storeLimits;
    const writes: PageWrite[] = [];
    let bytes = 0;
    for (const page of this.deferrals.pages) {
      if (page.generation === page.durableGeneration) continue;
      const value = this.deferrals.encode(page);
      bytes += JSON.stringify(value).length + PAGE_OVERHEAD_BYTES;
      if (writes.length > 0 && (writes.length >= txnOps || bytes > MAX_COMMIT_BYTES)) break;
      const key = deferralPageKey(page.index);
      const isEmpty = page.entries.size === 0;
      if (isEmpty && page.version === KEY_ABSENT) {
        page.durableGeneration = page.generation;
        continue;
      }
      const mutation: Mutation = isEmpty ? { delete: key } : { put: key, value };
      writes.push({ page, generation: page.generation, mutation });
    }
    return writes;
  }

  /**
   * After a conflict, reads the versions again: an earlier commit without a response may have been executed.
   * After any other failure, waits before the next attempt.
   */
  private async recover(
    outcome: CommitOutcome,
    setVersion: (key: string, version: Version) => void,
  ): Promise<void> {
    const { store, leadership, clock } = this.term.context;
    if (leadership.stepDownOnConflict(outcome)) return;
    if (outcome.outcome === 'conflict')
      for (const key of outcome.failed) {
        const found = await store.read(key, OBSERVATION_PRIORITY);
        if (found.outcome === 'found') setVersion(key, found.item.version);
        else if (found.outcome === 'absent') setVersion(key, KEY_ABSENT);
      }
    else await clock.sleep(RETRY_DELAY_MS);
  }
}

function documentPartKey(index: number): string {
  return DOCUMENT_PART_PREFIX + String(index);
}
