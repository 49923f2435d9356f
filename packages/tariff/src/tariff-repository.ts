import { brotliCompressSync, brotliDecompressSync } from 'node:zlib';
import type { LeaderTerm } from '@spurbridge/controller';
import type { CommitOutcome } from '@spurbridge/store';
import type { Mutation, Compare, KeyValue, TariffDocument, Version } from '@spurbridge/wire';
import { KEY_ABSENT, formatTariff, parseTariff, read } from '@spurbridge/wire';
import { CapacityEstimator } from './capacity.js';
import type { DeferralPage } from './deferral.js';
import { DEFERRAL_PREFIX, DeferralTable, deferralPageKey } from './deferral.js';
import { RunTimeEstimator } from './run-times.js';

const PREFIX = 'tariff/';
const HEAD = `${PREFIX}head`;
const CAPACITY = `${PREFIX}capacity`;
const PART = `${PREFIX}part/`;
const CLASS = `${PREFIX}class/`;
/** What was learned can wait; a release is the start of work. */
const URGENCY = 2;
const RELEASE_URGENCY = 1;
const MOST_COMMIT_BYTES = 48 * 1024;
const MOST_KEY_BYTES = 200;
const RETRY_MS = 300;

/** What deferring knows beyond the jobs' own records, and keeps in the state service for the next leader. */
export class TariffRepository {
  readonly book: DeferralTable;
  readonly capacity = new CapacityEstimator();
  readonly classes = new Map<string, RunTimeEstimator>();
  document: TariffDocument | null = null;
  private readonly versions = new Map<string, Version>();
  private keptPeak = 0;

  constructor(private readonly term: LeaderTerm) {
    this.book = new DeferralTable(term.context.settings.storeLimits.valueKb);
  }

  /** Reads all of it; returns early when deposed. */
  async load(): Promise<void> {
    const { store, clock, log } = this.term.context;
    while (this.term.isActive) {
      const kept = await store.list(PREFIX, 1);
      const pages = kept.outcome === 'listed' ? await store.list(DEFERRAL_PREFIX, 1) : kept;
      if (kept.outcome === 'listed' && pages.outcome === 'listed') {
        for (const item of kept.items) this.versions.set(item.key, item.version);
        this.restore(kept.items);
        for (const item of pages.items)
          this.guard(item.key, () => {
            const index = Number(item.key.slice(DEFERRAL_PREFIX.length));
            this.book.restore(index, item.value, item.version);
          });
        log.info(
          { revision: this.document?.revision ?? null, deferred: [...this.book.all()].length },
          'tariff restored',
        );
        return;
      }
      await clock.sleep(RETRY_MS);
    }
  }

  private guard(key: string, run: () => void): void {
    try {
      run();
    } catch (e) {
      this.term.context.log.error({ key, error: String(e) }, 'tariff record cannot be read');
    }
  }

  private restore(items: readonly KeyValue[]): void {
    const byKey = new Map(items.map((i) => [i.key, i.value]));
    const head = byKey.get(HEAD);
    if (head !== undefined)
      this.guard(HEAD, () => {
        const parts: string[] = [];
        for (let i = 0; i < read.count(read.asObject(head, 'head'), 'parts'); i += 1)
          parts.push(read.string(read.asObject(byKey.get(PART + String(i)), 'part'), 'text'));
        const text = brotliDecompressSync(Buffer.from(parts.join(''), 'base64')).toString('utf8');
        this.document = parseTariff(JSON.parse(text));
      });
    for (const { key, value } of items)
      if (key === CAPACITY)
        this.guard(key, () => {
          this.capacity.restore(value);
        });
      else if (key.startsWith(CLASS))
        this.guard(key, () => {
          this.classes.set(decodeURIComponent(key.slice(CLASS.length)), RunTimeEstimator.decode(value));
        });
  }

  runTimes(name: string): RunTimeEstimator {
    let r = this.classes.get(name);
    if (r === undefined) {
      r = new RunTimeEstimator();
      this.classes.set(name, r);
    }
    return r;
  }

  /** Replaces the tariff, all parts at once; false where it is too large to be kept or could not be written. */
  async keepDocument(t: TariffDocument): Promise<boolean> {
    const { settings, log } = this.term.context;
    const text = brotliCompressSync(JSON.stringify(formatTariff(t))).toString('base64');
    const partBytes = settings.storeLimits.valueKb * 1024 - 64;
    const parts: string[] = [];
    for (let at = 0; at < text.length; at += partBytes) parts.push(text.slice(at, at + partBytes));
    if (parts.length + 1 > settings.storeLimits.txnOps || text.length > MOST_COMMIT_BYTES) {
      log.error({ refused: `slots: expected fewer (${text.length} bytes packed)` }, 'tariff is too large');
      return false;
    }
    const changes: Mutation[] = [
      { put: HEAD, value: { revision: t.revision, parts: parts.length } },
      ...parts.map((part, i) => ({ put: PART + String(i), value: { text: part } })),
    ];
    const kept = await this.write(changes);
    if (kept) this.document = t;
    return kept;
  }

  /** Writes what was learned and has changed. */
  async keepLearned(): Promise<void> {
    const { settings } = this.term.context;
    const changes: Mutation[] = [];
    const done: RunTimeEstimator[] = [];
    for (const [name, times] of this.classes) {
      const key = CLASS + encodeURIComponent(name);
      if (!times.isDirty || key.length > MOST_KEY_BYTES || changes.length >= settings.storeLimits.txnOps - 1)
        continue;
      changes.push({ put: key, value: times.encode() });
      done.push(times);
    }
    const { peak } = this.capacity;
    if (Math.abs(peak - this.keptPeak) > this.keptPeak * 0.02)
      changes.push({ put: CAPACITY, value: this.capacity.encode() });
    if (changes.length === 0) return;
    for (const times of done) times.isDirty = false;
    if (await this.write(changes)) this.keptPeak = peak;
    else for (const times of done) times.isDirty = true;
  }

  private async write(changes: readonly Mutation[]): Promise<boolean> {
    const { store, leadership } = this.term.context;
    const conditions: Compare[] = [leadership.leadershipCompare()];
    for (const c of changes)
      if ('put' in c) conditions.push({ key: c.put, version: this.versions.get(c.put) ?? KEY_ABSENT });
    const outcome = await store.commit(conditions, changes, URGENCY);
    if (outcome.outcome === 'committed') {
      for (const c of changes)
        if ('put' in c) this.versions.set(c.put, outcome.revision as number as Version);
      return true;
    }
    await this.reread(outcome, (key, version) => this.versions.set(key, version));
    return false;
  }

  /** Writes pages that changed, as many as one commit takes; true when nothing is left to write. */
  async flush(): Promise<boolean> {
    const { store, leadership, settings } = this.term.context;
    const due: { page: DeferralPage; edition: number; change: Mutation }[] = [];
    let bytes = 0;
    for (const page of this.book.pages) {
      if (page.generation === page.durableGeneration) continue;
      const value = this.book.encode(page);
      bytes += JSON.stringify(value).length + 100;
      if (due.length > 0 && (due.length >= settings.storeLimits.txnOps || bytes > MOST_COMMIT_BYTES)) break;
      const key = deferralPageKey(page.index);
      if (page.entries.size === 0 && page.version === KEY_ABSENT) {
        page.durableGeneration = page.generation;
        continue;
      }
      const change: Mutation = page.entries.size === 0 ? { delete: key } : { put: key, value };
      due.push({ page, edition: page.generation, change });
    }
    if (due.length === 0) return true;
    const conditions: Compare[] = [
      leadership.leadershipCompare(),
      ...due.map((d) => ({ key: deferralPageKey(d.page.index), version: d.page.version })),
    ];
    const outcome = await store.commit(
      conditions,
      due.map((d) => d.change),
      RELEASE_URGENCY,
    );
    if (!this.term.isActive) return false;
    if (outcome.outcome === 'committed')
      for (const d of due) {
        d.page.version = 'delete' in d.change ? KEY_ABSENT : (outcome.revision as number as Version);
        d.page.durableGeneration = d.edition;
      }
    else
      await this.reread(outcome, (key, version) => {
        const page = this.book.pages[Number(key.slice(DEFERRAL_PREFIX.length))];
        if (page !== undefined) page.version = version;
      });
    return false;
  }

  /** A conflict: an earlier write whose answer was lost may have been executed, so versions are read again. */
  private async reread(outcome: CommitOutcome, set: (key: string, version: Version) => void): Promise<void> {
    const { store, leadership, clock } = this.term.context;
    if (leadership.stepDownOnConflict(outcome)) return;
    if (outcome.outcome === 'conflict')
      for (const key of outcome.failed) {
        const found = await store.read(key, URGENCY);
        if (found.outcome === 'found') set(key, found.item.version);
        else if (found.outcome === 'absent') set(key, KEY_ABSENT);
      }
    else await clock.sleep(RETRY_MS);
  }
}
