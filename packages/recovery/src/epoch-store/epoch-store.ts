import { JOB_KEY_PREFIX } from '@spurbridge/model';
import type { Clock, MonotonicMs, RequestPriority } from '@spurbridge/net';
import type {
  CommitOutcome,
  ListOutcome,
  ReadOutcome,
  RequestFailure,
  KeyValueStore,
  LeaseRenewalOutcome,
  WatchOutcome,
} from '@spurbridge/store';
import { LEADER_KEY } from '@spurbridge/store';
import type { Mutation, Compare, KeyValue, LeaseId, Revision, Version, WatchEvent } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';
import { AuditSelector } from './audit-selector.js';
import type { ReplicaEntry } from '../replica/replica.js';
import { Replica, findContradiction, isNeverDeleted } from '../replica/replica.js';
import type { Epoch } from '../epoch/epoch-record.js';
import { EPOCH_KEY, decodeEpoch, isControlKey } from '../epoch/epoch-record.js';
import type { OpenEpoch } from '../phases/store-recovery.js';
import { TOMBSTONE_VALUE, isTombstone } from '../phases/store-recovery.js';
import { RepairOverlay } from '../replica/repair-overlay.js';

/** Changes are taken in together: a watch for each of them would cost as many requests. */
const WATCH_PAUSE_MS = 300;
const WATCH_MS = 2000;
/** Everything is read this seldom, and only up to so many records. */
const SCRUB_AUDITS = 60;
const SCRUB_MOST = 20_000;
const RETRY_MS = 150;
/** Users repeat a submission for so long: until then an id that is not known may yet come. */
const RETRIES_MS = 60_000;
export const REFUSED: RequestFailure = { outcome: 'refused' };
const UNKNOWN: RequestFailure = { outcome: 'unknown' };

export interface EpochStoreDependencies {
  readonly raw: KeyValueStore;
  readonly clock: Clock;
  readonly txnOps: number;
  /** Something cannot be in a sound store. */
  readonly doubt: (evidence: string) => void;
  /** Whether this is still the epoch that is trusted. */
  readonly isCurrent: (view: EpochStore) => boolean;
  /** Whether all that was ever written is known to have been read. */
  readonly isContinuous: () => boolean;
  /** The copy has changed. */
  readonly copied: () => void;
}

/** The state service in one epoch, with this node's copy: every answer is held against what was known. */
export class EpochStore {
  readonly epoch: Epoch;
  readonly copy = new Replica();
  readonly overlay: RepairOverlay;
  /** Keys of pages, and tombstones, to be removed once everything is written back. */
  leftovers: readonly string[];
  /** Highest revision known to have been in this epoch. */
  claimed: number;
  private readonly fence: Compare;
  private readonly auditor: AuditSelector;
  private readonly enteredAt: MonotonicMs;
  private audits = 0;
  /** All that was durable before this is in the copy; null until it was followed once. */
  private knownAt: MonotonicMs | null = null;

  constructor(
    private readonly p: EpochStoreDependencies,
    o: OpenEpoch,
  ) {
    const { epoch, fence, revision } = o;
    const atFence = o.pending.map((r) => ({
      key: r.key,
      value: JSON.parse(r.text) as unknown,
      // Newer than all from before the fence, older than all that is written after it.
      version: fence.version,
    }));
    this.copy.replaceAll([...o.items, ...atFence], revision);
    this.epoch = epoch;
    this.fence = fence;
    this.overlay = new RepairOverlay(o.pending, fence.version);
    this.leftovers = [...o.leftovers];
    this.claimed = revision;
    this.enteredAt = p.clock.now();
    this.auditor = new AuditSelector(p.txnOps * 4 - 2);
  }

  private get isCurrent(): boolean {
    return this.p.isCurrent(this);
  }

  /** How old the copy is, counted from the sending of the request that last brought it up to date, in milliseconds. */
  get ageMs(): number {
    return this.knownAt === null ? Infinity : this.p.clock.now() - this.knownAt;
  }

  /** Takes in what changed, for as long as it is trusted. */
  async follow(): Promise<void> {
    const askedAt = this.p.clock.now();
    const seen = await this.asked(() => this.p.raw.watch('', this.copy.revision, WATCH_MS));
    if (!this.isCurrent) return;
    if (seen.outcome === 'compacted') return this.catchUp();
    if (seen.outcome !== 'events') return this.p.clock.sleep(RETRY_MS);
    if (seen.events.some((e) => 'put' in e && e.put === EPOCH_KEY && e.version > this.fence.version))
      await this.checkEpoch();
    this.take(seen.events, seen.revision);
    this.knownAt = askedAt;
    if (seen.events.length > 0) this.p.copied();
    if (seen.events.length > 0) await this.p.clock.sleep(WATCH_PAUSE_MS);
  }

  /** Left behind by more changes than the state service keeps: read anew, and compared with what was known. */
  private async catchUp(): Promise<void> {
    const listed = await this.list('', 0);
    if (listed.outcome !== 'listed' || !this.isCurrent) return this.p.clock.sleep(RETRY_MS);
    // A stand-in is no newer than the fence; those that were written since are in the list as themselves.
    this.copy.replaceAll(
      listed.items.map((i) => (i.version < 0 ? { ...i, version: this.fence.version } : i)),
      listed.revision,
    );
    this.p.copied();
  }

  private async checkEpoch(): Promise<void> {
    const found = await this.p.raw.read(EPOCH_KEY, 0);
    const id = found.outcome === 'found' ? decodeEpoch(found.item.value)?.id : null;
    if ((found.outcome === 'found' && id !== this.epoch.id) || found.outcome === 'absent')
      this.p.doubt('the fence was moved');
  }

  private take(events: readonly WatchEvent[], revision: Revision): void {
    const plain = events.map((e) => plainEvent(e));
    for (const e of plain) this.changed(e, e.version);
    this.copy.applyWatchEvents(plain, revision);
  }

  /** A key was written or deleted: no page stands in for it any more, and it is audited soon. */
  private changed(c: Mutation, version: Version): void {
    const key = keyOf(c);
    this.overlay.changed(key, version);
    if ('put' in c && !isControlKey(key)) this.auditor.changed(key);
  }

  /** Asks the store to confirm, without a change, that keys are as they were last seen here. */
  async check(): Promise<void> {
    this.audits += 1;
    // A comparison sees versions alone; values that changed under them are seen by reading them all.
    if (this.audits % SCRUB_AUDITS === 0 && this.copy.size <= SCRUB_MOST) await this.list('', 3);
    else await this.audit();
  }

  private async audit(): Promise<void> {
    const conditions = this.auditor.choose(this.copy, (key) => this.overlay.has(key));
    const outcome = await this.compare(conditions);
    if (outcome.outcome !== 'conflict') return;
    for (const key of outcome.failed) {
      const known = this.copy.get(key);
      const found = await this.p.raw.read(key, 0);
      if (!this.isCurrent) return;
      if (found.outcome === 'found') {
        if (!isTombstone(found.item.value)) this.believes(key, known, found.item.version, found.item.value);
        if (!this.isCurrent) return;
      } else if (found.outcome === 'absent') {
        // Deleted meanwhile, or lost: the watch shows a deletion.
        if (!this.believes(key, known, KEY_ABSENT, undefined)) return;
        this.auditor.suspect(key, found.revision);
      }
    }
    const gone = this.auditor.lost(this.copy);
    if (gone !== null) this.p.doubt(`${gone} is gone`);
  }

  /** A transaction without changes; a fence that fails it ends the trust. */
  private async compare(conditions: readonly Compare[]): Promise<CommitOutcome> {
    return this.fenced(await this.asked(() => this.p.raw.commit([this.fence, ...conditions], [], 0)));
  }

  private fenced(outcome: CommitOutcome): CommitOutcome {
    if (outcome.outcome !== 'conflict' || !outcome.failed.includes(this.fence.key)) return outcome;
    if (this.isCurrent) this.p.doubt('the fence is gone');
    return REFUSED;
  }

  /** Every answer's revision must be at least what was known when it was asked for. */
  private async asked<T extends { readonly outcome: string; readonly revision?: Revision }>(
    call: () => Promise<T | RequestFailure>,
  ): Promise<T | RequestFailure> {
    const { claimed } = this;
    const answer = await call();
    if (!('revision' in answer) || answer.revision === undefined || !this.isCurrent) return answer;
    if (answer.revision < claimed) {
      this.p.doubt(`revision ${answer.revision} was answered, ${claimed} was known`);
      return answer.outcome === 'committed' ? UNKNOWN : REFUSED;
    }
    this.claimed = Math.max(this.claimed, answer.revision);
    return answer;
  }

  // --- the state service as everybody else uses it -----------------------------------------------------

  async read(key: string, urgency: RequestPriority): Promise<ReadOutcome> {
    const known = this.copy.get(key);
    const found = await this.asked<Extract<ReadOutcome, { outcome: 'found' | 'absent' }>>(() =>
      this.p.raw.read(key, urgency),
    );
    if (!this.isCurrent) return REFUSED;
    if (found.outcome === 'found') {
      if (key === LEADER_KEY && !isReadable(found.item.value)) {
        this.p.doubt('the leader record cannot be read');
        return REFUSED;
      }
      if (isTombstone(found.item.value)) return { outcome: 'absent', revision: this.claimed as Revision };
      const standIn = this.overlay.standIn(key, found.item.version);
      if (standIn !== null) return { outcome: 'found', item: standIn };
      return this.believes(key, known, found.item.version, found.item.value) ? found : REFUSED;
    }
    if (found.outcome !== 'absent') return found;
    const standIn = this.overlay.standIn(key, KEY_ABSENT);
    if (standIn !== null) return { outcome: 'found', item: standIn };
    if (!this.believes(key, known, KEY_ABSENT, undefined)) return REFUSED;
    // Without a whole copy, an id that is not known may have been accepted all the same.
    const early = this.p.clock.now() - this.enteredAt < RETRIES_MS;
    return key.startsWith(JOB_KEY_PREFIX) && !this.p.isContinuous() && early ? REFUSED : found;
  }

  private believes(key: string, known: ReplicaEntry | undefined, version: Version, value: unknown): boolean {
    const why = findContradiction(key, known, version, value);
    if (why !== null) this.p.doubt(why);
    return why === null;
  }

  async list(prefix: string, urgency: RequestPriority): Promise<ListOutcome> {
    const listed = await this.asked<Extract<ListOutcome, { outcome: 'listed' }>>(() =>
      this.p.raw.list(prefix, urgency),
    );
    if (!this.isCurrent) return REFUSED;
    if (listed.outcome !== 'listed') return listed;
    const items: KeyValue[] = [];
    const present = new Set<string>();
    for (const i of listed.items) {
      present.add(i.key);
      if (isTombstone(i.value)) continue;
      const standIn = this.overlay.standIn(i.key, i.version);
      // What became known after the list was begun says nothing against it.
      const known = this.copy.get(i.key);
      const old = known !== undefined && known.version <= listed.revision ? known : undefined;
      if (standIn === null && !this.believes(i.key, old, i.version, i.value)) return REFUSED;
      items.push(standIn ?? i);
    }
    for (const i of this.overlay.absentBelow(prefix)) if (!present.has(i.key)) items.push(i);
    if (JOB_KEY_PREFIX.startsWith(prefix))
      for (const [key, known] of this.copy.entries())
        if (
          isNeverDeleted(key, known) &&
          known.version <= listed.revision &&
          !present.has(key) &&
          !this.overlay.has(key)
        ) {
          this.p.doubt(`${key} is gone`);
          return REFUSED;
        }
    return { ...listed, items };
  }

  async commit(
    conditions: readonly Compare[],
    changes: readonly Mutation[],
    urgency: RequestPriority,
  ): Promise<CommitOutcome> {
    const real: Compare[] = [this.fence];
    const failed: string[] = [];
    for (const c of conditions) {
      const version = this.overlay.real(c);
      // A record that was seen is not taken for one that never was, whatever the store says now.
      const known = c.version === KEY_ABSENT ? this.copy.get(c.key) : undefined;
      const lost = known !== undefined && isNeverDeleted(c.key, known);
      if (version === null || lost) failed.push(c.key);
      else real.push({ key: c.key, version });
    }
    if (failed.length > 0) return { outcome: 'conflict', failed, revision: this.claimed as Revision };
    const buried: string[] = [];
    const written = changes.map((c): Mutation => {
      if ('put' in c || !this.overlay.has(c.delete)) return c;
      // Its page would stand in for it again: a tombstone stays until the pages are gone.
      buried.push(c.delete);
      return { put: c.delete, value: TOMBSTONE_VALUE };
    });
    const outcome = this.fenced(await this.asked(() => this.p.raw.commit(real, written, urgency)));
    if (!this.isCurrent) return outcome.outcome === 'committed' ? UNKNOWN : outcome;
    if (outcome.outcome !== 'committed') return outcome;
    this.leftovers = [...this.leftovers, ...buried];
    this.copy.applyCommit(
      changes.filter((c) => !isControlKey(keyOf(c))),
      outcome.revision,
    );
    for (const c of changes) this.changed(c, outcome.revision as number as Version);
    if (changes.length > 0) this.p.copied();
    return outcome;
  }

  async watch(prefix: string, after: Revision, waitMs: number): Promise<WatchOutcome> {
    const seen = await this.asked<Exclude<WatchOutcome, RequestFailure>>(() =>
      this.p.raw.watch(prefix, after, waitMs),
    );
    if (!this.isCurrent) return REFUSED;
    return seen.outcome === 'events' ? { ...seen, events: seen.events.map(plainEvent) } : seen;
  }

  /** A renewal counts only if fence and leader's record stand: the id may be somebody else's by now. */
  async renewLease(lease: LeaseId, held: Compare): Promise<LeaseRenewalOutcome> {
    const [touched, compared] = await Promise.all([this.p.raw.renewLease(lease, held), this.compare([held])]);
    if (compared.outcome === 'conflict') return { outcome: 'ended' };
    if (compared.outcome !== 'committed') return touched.outcome === 'ended' ? touched : UNKNOWN;
    return this.isCurrent ? touched : REFUSED;
  }
}

function keyOf(c: Mutation): string {
  return 'put' in c ? c.put : c.delete;
}

function plainEvent(e: WatchEvent): WatchEvent {
  return 'put' in e && isTombstone(e.value) ? { delete: e.put, version: e.version } : e;
}

/** Records are objects; a leader's of anything else ended every node that read it. */
function isReadable(value: unknown): boolean {
  return typeof value === 'object' && value !== null;
}
