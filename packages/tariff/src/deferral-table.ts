/**
 * All deferrals, stored in a few records: one write per deferral would use up the key-value store's rate
 * limit.
 *
 * @module
 */
import type { JobId, Version } from '@spurbridge/wire';
import { KEY_ABSENT, read } from '@spurbridge/wire';
import { Deferral } from './deferral.js';

/** Keys of pages of deferrals. */
export const DEFERRAL_PREFIX = 'd/';

/** Upper bound of the bytes of one deferral in a page. */
const ENTRY_BYTES = 190;
/** Bytes of a page apart from its deferrals. */
const PAGE_BYTES = 64;

/** One record: an arbitrary subset of the deferrals. */
export interface DeferralPage {
  readonly index: number;
  version: Version;
  /** Incremented by every change. */
  generation: number;
  /** The generation in the key-value store; equal to `generation` if the page is durable. */
  durableGeneration: number;
  readonly entries: Map<JobId, Deferral>;
}

/** Key of a page's record. */
export function deferralPageKey(index: number): string {
  return DEFERRAL_PREFIX + String(index);
}

/** The page whose key {@link deferralPageKey} made. */
export function parseDeferralPageKey(key: string): number {
  return Number(key.slice(DEFERRAL_PREFIX.length));
}

/** Deferrals by job, and the pages that they are stored on. */
export class DeferralTable {
  readonly pages: DeferralPage[] = [];
  private readonly pageByJob = new Map<JobId, DeferralPage>();
  private readonly entriesPerPage: number;

  /** @param valueKb size limit of a value in the key-value store, in KiB */
  constructor(valueKb: number) {
    this.entriesPerPage = Math.max(1, Math.floor((valueKb * 1024 - PAGE_BYTES) / ENTRY_BYTES));
  }

  /** The deferral of a job. */
  get(id: JobId): Deferral | undefined {
    return this.pageByJob.get(id)?.entries.get(id);
  }

  /** All deferrals, page by page. */
  *all(): Generator<Deferral> {
    for (const page of this.pages) yield* page.entries.values();
  }

  /** Whether the job's deferral in the key-value store equals the one in memory. */
  isDurable(id: JobId): boolean {
    const page = this.pageByJob.get(id);
    return page === undefined || page.generation === page.durableGeneration;
  }

  /** Adds a job's deferral to the first page with room. */
  add(deferral: Deferral): void {
    const page =
      this.pages.find(({ entries }) => entries.size < this.entriesPerPage) ?? this.pageAt(this.pages.length);
    page.entries.set(deferral.job, deferral);
    page.generation += 1;
    this.pageByJob.set(deferral.job, page);
  }

  private pageAt(index: number): DeferralPage {
    for (let next = this.pages.length; next <= index; next += 1)
      this.pages.push({
        index: next,
        version: KEY_ABSENT,
        generation: 0,
        durableGeneration: 0,
        entries: new Map(),
      });
    return this.pages[index] as DeferralPage;
  }

  /** Marks the job's deferral as changed. */
  markChanged(id: JobId): void {
    const page = this.pageByJob.get(id);
    if (page !== undefined) page.generation += 1;
  }

  /** Removes a job's deferral. */
  remove(id: JobId): void {
    const page = this.pageByJob.get(id);
    if (page === undefined) return;
    page.entries.delete(id);
    page.generation += 1;
    this.pageByJob.delete(id);
  }

  /** The stored form of a page. */
  encode(page: DeferralPage): unknown {
    return { waiting: [...page.entries.values()].map((deferral) => deferral.encode()) };
  }

  /**
   * Restores a page that an earlier leader wrote.
   *
   * @throws ValidationError naming the field
   */
  restore(index: number, value: unknown, version: Version): void {
    const page = this.pageAt(index);
    page.version = version;
    for (const entry of read.asArray(read.asObject(value, 'page')['waiting'], 'waiting')) {
      const deferral = Deferral.decode(entry);
      page.entries.set(deferral.job, deferral);
      this.pageByJob.set(deferral.job, page);
    }
  }
}
