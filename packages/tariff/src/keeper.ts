import { brotliCompressSync, brotliDecompressSync } from 'node:zlib';
import type { LeaderTerm } from '@spurbridge/controller';
import type { CommitOutcome } from '@spurbridge/store';
import type { Change, Condition, Item, TariffDocument, Version } from '@spurbridge/wire';
import { ABSENT, formatTariff, parseTariff, read } from '@spurbridge/wire';
import { CapacityMemory } from './capacity.js';
import type { Page } from './deferral.js';
import { DEFERRAL_PREFIX, DeferralBook, pageKey } from './deferral.js';
import { RunTimes } from './run-times.js';

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
export class Keeper {
  readonly book: DeferralBook;
  readonly capacity = new CapacityMemory();
  readonly classes = new Map<string, RunTimes>();
  document: TariffDocument | null = null;
  private readonly versions = new Map<string, Version>();
  private keptPeak = 0;

  constructor(private readonly term: LeaderTerm) {
    this.book = new DeferralBook(term.c.settings.state.valueKb);
  }

  /** Reads all of it; returns early when deposed. */
  async load(): Promise<void> {
    const { store, clock, log } = this.term.c;
    while (this.term.active) {
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
      this.term.c.log.error({ key, error: String(e) }, 'tariff record cannot be read');
    }
  }

  private restore(items: readonly Item[]): void {
    const byKey = new Map(items.map((i) => [i.key, i.value]));
    const head = byKey.get(HEAD);
    if (head !== undefined)
      this.guard(HEAD, () => {
        const parts: string[] = [];
        for (let i = 0; i < read.count(read.asObject(head, 'head'), 'parts'); i += 1)
          parts.push(read.str(read.asObject(byKey.get(PART + String(i)), 'part'), 'text'));
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
          this.classes.set(decodeURIComponent(key.slice(CLASS.length)), RunTimes.decode(value));
        });
  }

  runTimes(name: string): RunTimes {
    let r = this.classes.get(name);
    if (r === undefined) {
      r = new RunTimes();
      this.classes.set(name, r);
    }
    return r;
  }

  /** Replaces the tariff, all parts at once; false where it is too large to be kept or could not be written. */
  async keepDocument(t: TariffDocument): Promise<boolean> {
    const { settings, log } = this.term.c;
    const text = brotliCompressSync(JSON.stringify(formatTariff(t))).toString('base64');
    const partBytes = settings.state.valueKb * 1024 - 64;
    const parts: string[] = [];
    for (let at = 0; at < text.length; at += partBytes) parts.push(text.slice(at, at + partBytes));
    if (parts.length + 1 > settings.state.txnOps || text.length > MOST_COMMIT_BYTES) {
      log.error({ refused: `slots: expected fewer (${text.length} bytes packed)` }, 'tariff is too large');
      return false;
    }
    const changes: Change[] = [
      { put: HEAD, value: { revision: t.revision, parts: parts.length } },
      ...parts.map((part, i) => ({ put: PART + String(i), value: { text: part } })),
    ];
    const kept = await this.write(changes);
    if (kept) this.document = t;
    return kept;
  }

  /** Writes what was learned and has changed. */
  async keepLearned(): Promise<void> {
    const { settings } = this.term.c;
    const changes: Change[] = [];
    const done: RunTimes[] = [];
    for (const [name, times] of this.classes) {
      const key = CLASS + encodeURIComponent(name);
      if (!times.changed || key.length > MOST_KEY_BYTES || changes.length >= settings.state.txnOps - 1)
        continue;
      changes.push({ put: key, value: times.encode() });
      done.push(times);
    }
    const { peak } = this.capacity;
    if (Math.abs(peak - this.keptPeak) > this.keptPeak * 0.02)
      changes.push({ put: CAPACITY, value: this.capacity.encode() });
    if (changes.length === 0) return;
    for (const times of done) times.changed = false;
    if (await this.write(changes)) this.keptPeak = peak;
    else for (const times of done) times.changed = true;
  }

  private async write(changes: readonly Change[]): Promise<boolean> {
    const { store, leadership } = this.term.c;
    const conditions: Condition[] = [leadership.condition()];
    for (const c of changes)
      if ('put' in c) conditions.push({ key: c.put, version: this.versions.get(c.put) ?? ABSENT });
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
    const { store, leadership, settings } = this.term.c;
    const due: { page: Page; edition: number; change: Change }[] = [];
    let bytes = 0;
    for (const page of this.book.pages) {
      if (page.edition === page.written) continue;
      const value = this.book.encode(page);
      bytes += JSON.stringify(value).length + 100;
      if (due.length > 0 && (due.length >= settings.state.txnOps || bytes > MOST_COMMIT_BYTES)) break;
      const key = pageKey(page.index);
      if (page.entries.size === 0 && page.version === ABSENT) {
        page.written = page.edition;
        continue;
      }
      const change: Change = page.entries.size === 0 ? { delete: key } : { put: key, value };
      due.push({ page, edition: page.edition, change });
    }
    if (due.length === 0) return true;
    const conditions: Condition[] = [
      leadership.condition(),
      ...due.map((d) => ({ key: pageKey(d.page.index), version: d.page.version })),
    ];
    const outcome = await store.commit(
      conditions,
      due.map((d) => d.change),
      RELEASE_URGENCY,
    );
    if (!this.term.active) return false;
    if (outcome.outcome === 'committed')
      for (const d of due) {
        d.page.version = 'delete' in d.change ? ABSENT : (outcome.revision as number as Version);
        d.page.written = d.edition;
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
    const { store, leadership, clock } = this.term.c;
    if (leadership.isLostBy(outcome)) return;
    if (outcome.outcome === 'conflict')
      for (const key of outcome.failed) {
        const found = await store.read(key, URGENCY);
        if (found.outcome === 'found') set(key, found.item.version);
        else if (found.outcome === 'absent') set(key, ABSENT);
      }
    else await clock.sleep(RETRY_MS);
  }
}
