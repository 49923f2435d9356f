import type { WallClockMs } from '@spurbridge/model';
import { TransitionTable } from '@spurbridge/model';
import type { JobId, Version } from '@spurbridge/wire';
import { KEY_ABSENT, read } from '@spurbridge/wire';
import type { ReleaseReason } from './release.js';

/**
 * deferred -> released | forced. `released`: at the moment that was thought best. `forced`: because waiting
 * longer was not safe, or because nothing decides about its waiting any more.
 */
export type DeferralState = 'deferred' | 'released' | 'forced';

const transitions = new TransitionTable<DeferralState>('deferral', {
  deferred: ['released', 'forced'],
  released: [],
  forced: [],
});

const STATES: readonly DeferralState[] = ['deferred', 'released', 'forced'];
const REASONS = ['cheaper', 'turn', 'blind', 'cheapest', 'no-saving', 'latest', 'no-room'] as const;

/** Why and until when a job is kept out of the order. */
export class Deferral {
  private phase: DeferralState = 'deferred';
  private why: ReleaseReason;
  private untilMs: WallClockMs;
  private tariff: number;

  constructor(
    readonly job: JobId,
    readonly since: WallClockMs,
    until: WallClockMs,
    reason: ReleaseReason,
    revision: number,
  ) {
    this.untilMs = until;
    this.why = reason;
    this.tariff = revision;
  }

  get state(): DeferralState {
    return this.phase;
  }

  get until(): WallClockMs {
    return this.untilMs;
  }

  get reason(): ReleaseReason {
    return this.why;
  }

  /** Revision of the tariff that it was decided by. */
  get revision(): number {
    return this.tariff;
  }

  /** The only function that changes a deferral: its state, or what it waits for. */
  change(next: DeferralState, until: WallClockMs, reason: ReleaseReason, revision: number): void {
    if (next !== this.phase) transitions.assertAllowed(this.phase, next);
    else if (next !== 'deferred') throw new Error(`${this.job} is ${this.phase} already`);
    this.phase = next;
    this.untilMs = until;
    this.why = reason;
    this.tariff = revision;
  }

  encode(): unknown[] {
    return [this.job, this.phase, this.since, this.untilMs, this.why, this.tariff];
  }

  static decode(value: unknown): Deferral {
    const [job, state, since, until, why, revision] = read.asArray(value, 'deferral');
    const o = { job, state, since, until, why, revision };
    const d = new Deferral(
      read.name(o, 'job') as JobId,
      read.amount(o, 'since') as WallClockMs,
      read.amount(o, 'until') as WallClockMs,
      read.oneOf(o, 'why', REASONS),
      read.count(o, 'revision'),
    );
    d.phase = read.oneOf(o, 'state', STATES);
    return d;
  }
}

/** One record of the state service: some deferrals, whichever found room in it. */
export interface DeferralPage {
  readonly index: number;
  version: Version;
  /** Changed since `written`; equal when durable. */
  generation: number;
  durableGeneration: number;
  readonly entries: Map<JobId, Deferral>;
}

const ENTRY_BYTES = 190;
export const DEFERRAL_PREFIX = 'd/';

export function deferralPageKey(index: number): string {
  return DEFERRAL_PREFIX + String(index);
}

/** All deferrals, kept in a few records: a write for each of thousands would use up the state service. */
export class DeferralTable {
  readonly pages: DeferralPage[] = [];
  private readonly where = new Map<JobId, DeferralPage>();
  private readonly perPage: number;

  constructor(valueKb: number) {
    this.perPage = Math.max(1, Math.floor((valueKb * 1024 - 64) / ENTRY_BYTES));
  }

  get(id: JobId): Deferral | undefined {
    return this.where.get(id)?.entries.get(id);
  }

  *all(): Generator<Deferral> {
    for (const page of this.pages) yield* page.entries.values();
  }

  /** Whether the deferral is in the state service as it is here. */
  isDurable(id: JobId): boolean {
    const page = this.where.get(id);
    return page === undefined || page.generation === page.durableGeneration;
  }

  private page(index: number): DeferralPage {
    for (let i = this.pages.length; i <= index; i += 1)
      this.pages.push({
        index: i,
        version: KEY_ABSENT,
        generation: 0,
        durableGeneration: 0,
        entries: new Map(),
      });
    return this.pages[index] as DeferralPage;
  }

  add(d: Deferral): void {
    const free = this.pages.find((p) => p.entries.size < this.perPage) ?? this.page(this.pages.length);
    free.entries.set(d.job, d);
    free.generation += 1;
    this.where.set(d.job, free);
  }

  markChanged(id: JobId): void {
    const page = this.where.get(id);
    if (page !== undefined) page.generation += 1;
  }

  remove(id: JobId): void {
    const page = this.where.get(id);
    if (page === undefined) return;
    page.entries.delete(id);
    page.generation += 1;
    this.where.delete(id);
  }

  encode(page: DeferralPage): unknown {
    return { waiting: [...page.entries.values()].map((d) => d.encode()) };
  }

  restore(index: number, value: unknown, version: Version): void {
    const page = this.page(index);
    page.version = version;
    for (const e of read.asArray(read.asObject(value, 'page')['waiting'], 'waiting')) {
      const d = Deferral.decode(e);
      page.entries.set(d.job, d);
      this.where.set(d.job, page);
    }
  }
}
