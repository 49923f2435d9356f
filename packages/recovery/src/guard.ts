import type { WallMs } from '@spurbridge/model';
import { JOB_PREFIX, TASKS_PREFIX, jobKey } from '@spurbridge/model';
import type { Clock, Ms, Urgency } from '@spurbridge/net';
import type {
  CommitOutcome,
  GrantOutcome,
  ListOutcome,
  ReadOutcome,
  Refusal,
  StateStore,
  TouchOutcome,
  WatchOutcome,
} from '@spurbridge/store';
import { LEADER_KEY } from '@spurbridge/store';
import type {
  Change,
  Condition,
  Item,
  JobId,
  LeaseId,
  MachineId,
  NodeId,
  PeerStatus,
  Revision,
  Token,
  Version,
  WatchEvent,
} from '@spurbridge/wire';
import { ABSENT } from '@spurbridge/wire';
import { Auditor } from './audit.js';
import type { Seen } from './copy.js';
import { Copy, contradiction, isKept, phaseOf } from './copy.js';
import type { Epoch } from './epoch.js';
import { EPOCH_KEY, NO_EPOCH, isControlKey, tokenIn } from './epoch.js';
import type { Bringing, Opened } from './gathering.js';
import { Gathering, TOMBSTONE_VALUE, isTombstone } from './gathering.js';
import type { Memory } from './merge.js';
import { Overlay } from './overlay.js';
import { Soundness } from './soundness.js';

/** Changes are taken in together: a watch for each of them would cost as many requests. */
const WATCH_PAUSE_MS = 300;
const WATCH_MS = 2000;
const AUDIT_MS = 1000;
/** Everything is read this seldom, and only up to so many records. */
const SCRUB_AUDITS = 60;
const SCRUB_MOST = 20_000;
const RETRY_MS = 150;
/** A peer not heard for this long is no longer counted on. */
const PEER_MS = 4000;
/** A peer in a later epoch that it does not trust yet is waited for no longer than this. */
const GATHERS_MS = 10_000;
/** A first start is believed after this: all peers were heard without a copy, or twice waited for. */
const FIRST_MS = 700;
const FIRST_ALONE_MS = 2000;
/** So many workers that have seen no token, or half of those there are. */
const FRESH_WORKERS = 20;
const ASK_MS = 100;
/** Users repeat a submission for so long: until then an id that is not known may yet come. */
const RETRIES_MS = 60_000;
const WRITE_BACK_MS = 250;
const REFUSED: Refusal = { outcome: 'refused' };
const UNKNOWN: Refusal = { outcome: 'unknown' };

/** Snapshots that outlive all nodes, where the operators keep some. */
export interface SnapshotShelf {
  /** The newest that is whole and of this deployment (null: not known yet), as a memory; null without one. */
  latest(deployment: string | null): Promise<SnapshotMemory | null>;
}

export type SnapshotMemory = Memory & { readonly revision: number; readonly deployment: string };

export interface GuardParts {
  readonly raw: StateStore;
  readonly clock: Clock;
  readonly wallNow: () => WallMs;
  readonly newId?: () => string;
  readonly node: NodeId;
  readonly nodes: number;
  readonly limits: { readonly valueKb: number; readonly txnOps: number };
  readonly log: { info(fields: object, message: string): void };
  /** Machines that the cloud lists as running, or null without an answer: asked only where no epoch is found. */
  readonly machines: () => Promise<number | null>;
  /** Told of every change of trust, after it. */
  readonly changed: () => void;
  readonly shelf?: SnapshotShelf;
}

/**
 * A state service that can be doubted (docs/state-loss.md). It is the raw one as long as nothing speaks against it;
 * otherwise every call is refused until an epoch is open in which what the nodes remember was put back.
 */
export class GuardedStore implements StateStore {
  private readonly soundness: Soundness;
  private copy = new Copy();
  private copyOf = NO_EPOCH;
  private overlay = new Overlay([], ABSENT);
  private leftovers: string[] = [];
  private epoch: Epoch | null = null;
  private fence: Condition = { key: '', version: ABSENT };
  /** Highest revision known to have been in this epoch. */
  private claimed = 0;
  private highest = 0;
  /** Number of the epoch that it helps to gather, or follows. */
  private joined = 0;
  private isContinuous = false;
  private deployment: string | null = null;
  private attachedAt: Ms;
  private seenToken = 0 as Token;
  private ledToken = 0 as Token;
  private lease = 0;
  private doubtedAt: Ms | null = null;
  private readonly peers = new Map<NodeId, { at: Ms; since: Ms; status: PeerStatus }>();
  private readonly startedAt: Ms;
  /** Workers that have never seen a token; and how many machines the cloud lists. */
  private readonly fresh = new Set<MachineId>();
  private listed: number | null = null;
  private readonly gathering: Gathering;
  private readonly auditor: Auditor;
  private snapshot: SnapshotMemory | null = null;

  constructor(private readonly p: GuardParts) {
    this.startedAt = p.clock.now();
    this.attachedAt = this.startedAt;
    this.soundness = new Soundness((from, to, evidence) => {
      p.log.info({ from, to, evidence, epoch: this.copyOf, revision: this.claimed }, 'state service');
    });
    this.gathering = new Gathering({
      ...p,
      valueKb: p.limits.valueKb,
      brings: () => this.brings(),
      heard: () => this.heard(),
      met: (number) => {
        this.highest = Math.max(this.highest, number);
      },
      joins: (number) => {
        if (number === this.joined) return;
        this.joined = number;
        p.changed();
      },
    });
    this.auditor = new Auditor(p.limits.txnOps * 4 - 2);
  }

  get trusted(): boolean {
    return this.soundness.state === 'sound';
  }

  get era(): number {
    return this.copyOf;
  }

  /** Whether it followed the epoch without a gap: what it read is all that was written. */
  get continuous(): boolean {
    return this.trusted && this.isContinuous;
  }

  /** Whether this epoch opened without the last leader's copy. */
  get hasLost(): boolean {
    return this.epoch !== null && !this.epoch.continuous;
  }

  /** Phase of a job by its record; null: no such record was ever seen. */
  phaseOf(id: JobId): string | null {
    const seen = this.copy.get(jobKey(id));
    return seen === undefined ? null : phaseOf(seen.text);
  }

  /** Bytes of the copy's keys and values. */
  get copyBytes(): number {
    return this.copy.bytes();
  }

  /** The copy as a consistent memory up to its revision, for a snapshot; null while the store is not trusted. */
  remembered(): { readonly epoch: Epoch; readonly revision: Revision; readonly copy: Copy } | null {
    if (!this.trusted || this.epoch === null) return null;
    return { epoch: this.epoch, revision: this.copy.revision, copy: this.copy };
  }

  tokenOf(version: Version): Token {
    return tokenIn(this.epoch?.floor ?? 0, version);
  }

  failingSince(): Ms | null {
    return this.doubtedAt ?? this.p.raw.failingSince();
  }

  // --- what others say -----------------------------------------------------------------------------

  /** What peers are told of this node's trust. */
  status(): Pick<PeerStatus, 'epoch' | 'epochId' | 'revision' | 'trusted' | 'continuous'> {
    const { trusted, continuous } = this;
    return {
      epoch: Math.max(this.copyOf, this.joined),
      // Of the epoch that it follows, or has followed and doubts; not of one that it only helps to gather.
      epochId: this.joined > this.copyOf ? '' : (this.epoch?.id ?? ''),
      revision: trusted ? this.claimed : 0,
      trusted,
      continuous,
    };
  }

  peerSaid(status: PeerStatus): void {
    const at = this.p.clock.now();
    const before = this.peers.get(status.node);
    const since = before !== undefined && before.status.epoch === status.epoch ? before.since : at;
    this.peers.set(status.node, { at, since, status });
    this.highest = Math.max(this.highest, status.epoch);
    if (this.soundness.state === 'unattached' || !this.trusted) return;
    if (status.epoch > this.copyOf) this.doubt(`${status.node} is in epoch ${status.epoch}`);
    else if (status.epoch < this.copyOf) return;
    else if (status.epochId === '') return;
    else if (status.epochId !== this.epoch?.id) {
      // Two stores behind one address. One side moves on, so that the other hears of a later epoch and refuses.
      if (status.epochId > (this.epoch?.id ?? ''))
        this.doubt(`${status.node} follows another epoch ${status.epoch}`);
    } else if (!status.trusted) this.doubt(`${status.node} doubts it`);
    else {
      this.claimed = Math.max(this.claimed, status.revision);
      if (status.continuous && this.trusted) this.isContinuous = true;
    }
  }

  /** A worker reported with this token. */
  workerSaid(machine: MachineId, token: Token): void {
    if (this.soundness.state === 'unattached' && token === 0) this.fresh.add(machine);
    this.tokenShown(token);
  }

  /** A worker, or a leader's record, showed this token. */
  private tokenShown(token: Token): void {
    if (token <= this.seenToken) return;
    this.seenToken = token;
    // A leader of this epoch was elected at that revision: the store must have reached it.
    if (this.epoch !== null && token > this.epoch.floor)
      this.claimed = Math.max(this.claimed, token - this.epoch.floor);
  }

  led(token: Token): void {
    this.ledToken = token;
    this.tokenShown(token);
  }

  /** The leader knows what is on every machine: nothing written before can be missing from now on. */
  settled(): void {
    this.isContinuous = true;
  }

  /** Something cannot be in a sound store: nothing it says is acted on until the copies were put back. */
  doubt(evidence: string): void {
    if (this.soundness.state !== 'sound' && this.soundness.state !== 'unattached') return;
    this.doubtedAt = this.p.clock.now();
    this.soundness.enter('doubtful', evidence);
    this.p.changed();
  }

  private heard(): { readonly peers: readonly NodeId[]; readonly ahead: number } {
    const now = this.p.clock.now();
    const alive = [...this.peers].filter(([, s]) => now - s.at < PEER_MS);
    return {
      peers: alive.map(([node]) => node),
      // A peer that gathers and does not come to an end is not waited for for ever.
      ahead: Math.max(
        0,
        ...alive
          .filter(([, s]) => s.status.trusted || now - s.since < GATHERS_MS)
          .map(([, s]) => s.status.epoch),
      ),
    };
  }

  private brings(): Bringing {
    const own: Memory[] =
      this.copyOf === NO_EPOCH
        ? []
        : [{ epoch: this.copyOf, get: (k) => this.copy.get(k), keys: () => this.copy.keys() }];
    return {
      copyOf: this.copyOf,
      highest: Math.max(this.highest, this.copyOf),
      deployment: this.deployment,
      floor: this.epoch?.floor ?? 0,
      led: this.ledToken,
      seen: this.seenToken,
      continuous: this.isContinuous,
      lease: this.lease,
      memories: this.snapshot === null ? own : [...own, this.snapshot],
    };
  }

  // --- its life --------------------------------------------------------------------------------------

  async run(): Promise<never> {
    void this.auditLoop().catch((e: unknown) => {
      this.p.log.info({ error: String(e) }, 'audits ended');
    });
    for (;;) {
      try {
        await this.step();
      } catch (e) {
        // Whatever was read could not be understood: a store that holds such things is not trusted.
        this.p.log.info({ error: String(e) }, 'state service cannot be read');
        if (this.soundness.state === 'rebuilding') this.soundness.enter('doubtful', String(e));
        else this.doubt(String(e));
        await this.p.clock.sleep(RETRY_MS);
      }
    }
  }

  private async step(): Promise<void> {
    switch (this.soundness.state) {
      case 'unattached':
        return this.attach();
      case 'sound':
        return this.follow();
      case 'doubtful':
        this.soundness.enter('rebuilding', 'what the nodes remember is gathered');
        return;
      case 'rebuilding': {
        const opened = await this.gathering.attempt();
        if (opened !== null) this.enter(opened);
      }
    }
  }

  private async attach(): Promise<void> {
    const found = await this.gathering.find();
    if (found === null) return this.p.clock.sleep(RETRY_MS);
    const { epoch } = found;
    await this.takeSnapshot(epoch?.deployment ?? null);
    if (epoch === null) return this.attachToNothing();
    if (epoch.phase !== 'open' || epoch.number < this.heard().ahead)
      return this.doubt(`epoch ${epoch.number} is ${epoch.phase}, of others ${this.heard().ahead}`);
    const opened = await this.gathering.load(epoch);
    if (opened === null) return;
    const later = this.snapshot === null ? null : whyLater(this.snapshot, opened);
    if (later !== null) return this.doubt(later);
    this.enter(opened);
  }

  private async takeSnapshot(deployment: string | null): Promise<void> {
    if (this.p.shelf === undefined || this.snapshot !== null) return;
    this.snapshot = await this.p.shelf.latest(deployment);
    if (this.snapshot === null) return;
    this.deployment = this.snapshot.deployment;
    this.highest = Math.max(this.highest, this.snapshot.epoch);
  }

  /** No epoch's record: a first start, or a store that was emptied. */
  private async attachToNothing(): Promise<void> {
    const now = this.p.clock.now();
    const { peers, ahead } = this.heard();
    const aloneMs = peers.length >= this.p.nodes - 1 ? FIRST_MS : FIRST_ALONE_MS;
    if (this.seenToken > 0 || this.snapshot !== null) this.doubt('no epoch, but a token or a snapshot');
    else if (ahead > 0 || now - this.startedAt < aloneMs) await this.p.clock.sleep(50);
    else if (!(await this.isNewToWorkers())) await this.p.clock.sleep(ASK_MS);
    else {
      const listed = await this.p.raw.list('', 0);
      if (listed.outcome !== 'listed') await this.p.clock.sleep(RETRY_MS);
      else if (listed.items.some((i) => !isControlKey(i.key))) this.doubt('records without an epoch');
      else await this.gathering.begin();
    }
  }

  /**
   * Whether the workers know of no earlier leader. Where the cloud lists machines, some of them are heard first: a store
   * that was emptied with all controllers dead once passed for a new one, and its first token for a higher one.
   */
  private async isNewToWorkers(): Promise<boolean> {
    this.listed ??= await this.p.machines();
    return this.listed !== null && this.fresh.size >= Math.min(Math.ceil(this.listed / 2), FRESH_WORKERS);
  }

  private enter(o: Opened): void {
    const { epoch, fence, revision } = o;
    const atFence = o.pending.map((r) => ({
      key: r.key,
      value: JSON.parse(r.text) as unknown,
      // Newer than all from before the fence, older than all that is written after it.
      version: fence.version,
    }));
    this.copy.replace([...o.items, ...atFence], revision);
    this.copyOf = epoch.number;
    this.joined = epoch.number;
    this.overlay = new Overlay(o.pending, fence.version);
    this.leftovers = [...o.leftovers];
    this.deployment = epoch.deployment;
    // A node that comes later knows of the epoch's opening only what its peers say.
    const attested = [...this.peers.values()].some(
      ({ at, status }) =>
        this.p.clock.now() - at < PEER_MS &&
        status.epochId === epoch.id &&
        status.trusted &&
        status.continuous,
    );
    const begun = epoch.first && this.gathering.hasBegun(epoch);
    this.isContinuous = attested || begun || (o.gathered && epoch.continuous);
    this.epoch = epoch;
    this.fence = fence;
    this.claimed = revision;
    this.attachedAt = this.p.clock.now();
    this.snapshot = null;
    this.doubtedAt = null;
    this.auditor.restart();
    const impossible = o.items.find((i) => i.version > o.latest);
    this.soundness.enter('sound', `epoch ${epoch.number} at ${revision}, ${o.pending.length} to write back`);
    this.p.changed();
    if (impossible !== undefined) this.doubt(`${impossible.key} is later than the store`);
  }

  /** Takes in what changed, for as long as it is trusted. */
  private async follow(): Promise<void> {
    const { epoch } = this;
    const seen = await this.asked(() => this.p.raw.watch('', this.copy.revision, WATCH_MS));
    if (this.epoch !== epoch || !this.trusted) return;
    if (seen.outcome === 'compacted') return this.catchUp();
    if (seen.outcome !== 'events') return this.p.clock.sleep(RETRY_MS);
    if (seen.events.some((e) => 'put' in e && e.put === EPOCH_KEY && e.version > this.fence.version))
      await this.checkEpoch();
    this.take(seen.events, seen.revision);
    if (seen.events.length > 0) await this.p.clock.sleep(WATCH_PAUSE_MS);
  }

  /** Left behind by more changes than the state service keeps: read anew, and compared with what was known. */
  private async catchUp(): Promise<void> {
    const { epoch } = this;
    const listed = await this.list('', 0);
    if (listed.outcome !== 'listed' || this.epoch !== epoch) return this.p.clock.sleep(RETRY_MS);
    // A stand-in is no newer than the fence; those that were written since are in the list as themselves.
    this.copy.replace(
      listed.items.map((i) => (i.version < 0 ? { ...i, version: this.fence.version } : i)),
      listed.revision,
    );
  }

  private async checkEpoch(): Promise<void> {
    const found = await this.gathering.find();
    if (found !== null && found.epoch?.id !== this.epoch?.id) this.doubt('the fence was moved');
  }

  private take(events: readonly WatchEvent[], revision: Revision): void {
    const plain = events.map((e) => plainEvent(e));
    for (const e of plain) {
      const key = 'put' in e ? e.put : e.delete;
      this.overlay.changed(key, e.version);
      if ('put' in e && !isControlKey(key)) this.auditor.changed(key);
    }
    this.copy.watched(plain, revision);
  }

  // --- auditing ----------------------------------------------------------------------------------------

  /** Asks the store to confirm, without a change, that keys are as they were last seen here. */
  private async auditLoop(): Promise<never> {
    for (let n = 1; ; n += 1) {
      await this.p.clock.sleep(AUDIT_MS);
      if (!this.trusted) continue;
      // A comparison sees versions alone; values that changed under them are seen by reading them all.
      if (n % SCRUB_AUDITS === 0 && this.copy.size <= SCRUB_MOST) await this.list('', 3);
      else await this.audit();
    }
  }

  private async audit(): Promise<void> {
    const { epoch } = this;
    const conditions = this.auditor.choose(this.copy, (key) => this.overlay.has(key));
    const outcome = await this.compare(conditions);
    if (outcome.outcome !== 'conflict') return;
    for (const key of outcome.failed) {
      const known = this.copy.get(key);
      const found = await this.p.raw.read(key, 0);
      if (this.epoch !== epoch || !this.trusted) return;
      if (found.outcome === 'found') {
        if (!isTombstone(found.item.value)) this.believes(key, known, found.item.version, found.item.value);
        if (!this.trusted) return;
      } else if (found.outcome === 'absent') {
        // Deleted meanwhile, or lost: the watch shows a deletion.
        if (!this.believes(key, known, ABSENT, undefined)) return;
        this.auditor.suspect(key, found.revision);
      }
    }
    const gone = this.auditor.lost(this.copy);
    if (gone !== null) this.doubt(`${gone} is gone`);
  }

  /** A transaction without changes; a fence that fails it ends the trust. */
  private async compare(conditions: readonly Condition[]): Promise<CommitOutcome> {
    const { fence } = this;
    const outcome = await this.asked(() => this.p.raw.commit([fence, ...conditions], [], 0));
    return this.fenced(outcome, fence);
  }

  private fenced(outcome: CommitOutcome, fence: Condition): CommitOutcome {
    if (outcome.outcome !== 'conflict' || !outcome.failed.includes(fence.key)) return outcome;
    if (fence.key === this.fence.key) this.doubt('the fence is gone');
    return REFUSED;
  }

  /** Every answer's revision must be at least what was known when it was asked for. */
  private async asked<T extends { readonly outcome: string; readonly revision?: Revision }>(
    call: () => Promise<T | Refusal>,
  ): Promise<T | Refusal> {
    const { epoch, claimed } = this;
    const answer = await call();
    if (!('revision' in answer) || answer.revision === undefined || this.epoch !== epoch) return answer;
    if (answer.revision < claimed) {
      this.doubt(`revision ${answer.revision} was answered, ${claimed} was known`);
      return answer.outcome === 'committed' ? UNKNOWN : REFUSED;
    }
    this.claimed = Math.max(this.claimed, answer.revision);
    return answer;
  }

  // --- the state service as everybody else uses it -----------------------------------------------------

  async read(key: string, urgency: Urgency): Promise<ReadOutcome> {
    if (!this.trusted) return REFUSED;
    const { epoch } = this;
    const known = this.copy.get(key);
    const found = await this.asked<Extract<ReadOutcome, { outcome: 'found' | 'absent' }>>(() =>
      this.p.raw.read(key, urgency),
    );
    if (this.epoch !== epoch || !this.trusted) return REFUSED;
    if (found.outcome === 'found') {
      if (key === LEADER_KEY && !isReadable(found.item.value)) {
        this.doubt('the leader record cannot be read');
        return REFUSED;
      }
      if (isTombstone(found.item.value)) return { outcome: 'absent', revision: this.claimed as Revision };
      const standIn = this.overlay.standIn(key, found.item.version);
      if (standIn !== null) return { outcome: 'found', item: standIn };
      return this.believes(key, known, found.item.version, found.item.value) ? found : REFUSED;
    }
    if (found.outcome !== 'absent') return found;
    const standIn = this.overlay.standIn(key, ABSENT);
    if (standIn !== null) return { outcome: 'found', item: standIn };
    if (!this.believes(key, known, ABSENT, undefined)) return REFUSED;
    // Without a whole copy, an id that is not known may have been accepted all the same.
    const early = this.p.clock.now() - this.attachedAt < RETRIES_MS;
    return key.startsWith(JOB_PREFIX) && !this.isContinuous && early ? REFUSED : found;
  }

  private believes(key: string, known: Seen | undefined, version: Version, value: unknown): boolean {
    const why = contradiction(key, known, version, value);
    if (why !== null) this.doubt(why);
    return why === null;
  }

  async list(prefix: string, urgency: Urgency): Promise<ListOutcome> {
    if (!this.trusted) return REFUSED;
    const { epoch } = this;
    const listed = await this.asked<Extract<ListOutcome, { outcome: 'listed' }>>(() =>
      this.p.raw.list(prefix, urgency),
    );
    if (this.epoch !== epoch || !this.trusted) return REFUSED;
    if (listed.outcome !== 'listed') return listed;
    const items: Item[] = [];
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
    if (JOB_PREFIX.startsWith(prefix))
      for (const [key, known] of this.copy.entries())
        if (
          isKept(key, known) &&
          known.version <= listed.revision &&
          !present.has(key) &&
          !this.overlay.has(key)
        ) {
          this.doubt(`${key} is gone`);
          return REFUSED;
        }
    return { ...listed, items };
  }

  async commit(
    conditions: readonly Condition[],
    changes: readonly Change[],
    urgency: Urgency,
  ): Promise<CommitOutcome> {
    if (!this.trusted) return REFUSED;
    const { epoch, fence } = this;
    const real: Condition[] = [fence];
    const failed: string[] = [];
    for (const c of conditions) {
      const version = this.overlay.real(c);
      // A record that was seen is not taken for one that never was, whatever the store says now.
      const known = c.version === ABSENT ? this.copy.get(c.key) : undefined;
      const lost = known !== undefined && isKept(c.key, known);
      if (version === null || lost) failed.push(c.key);
      else real.push({ key: c.key, version });
    }
    if (failed.length > 0) return { outcome: 'conflict', failed, revision: this.claimed as Revision };
    const buried: string[] = [];
    const written = changes.map((c): Change => {
      if ('put' in c || !this.overlay.has(c.delete)) return c;
      // Its page would stand in for it again: a tombstone stays until the pages are gone.
      buried.push(c.delete);
      return { put: c.delete, value: TOMBSTONE_VALUE };
    });
    const outcome = this.fenced(await this.asked(() => this.p.raw.commit(real, written, urgency)), fence);
    if (this.epoch !== epoch || !this.trusted) return outcome.outcome === 'committed' ? UNKNOWN : outcome;
    if (outcome.outcome !== 'committed') return outcome;
    this.leftovers.push(...buried);
    this.copy.committed(
      changes.filter((c) => !isControlKey('put' in c ? c.put : c.delete)),
      outcome.revision,
    );
    for (const c of changes) {
      const key = 'put' in c ? c.put : c.delete;
      this.overlay.changed(key, outcome.revision as number as Version);
      if ('put' in c && !isControlKey(key)) this.auditor.changed(key);
    }
    return outcome;
  }

  async watch(prefix: string, after: Revision, waitMs: number): Promise<WatchOutcome> {
    if (!this.trusted) return REFUSED;
    const { epoch } = this;
    const seen = await this.asked<Exclude<WatchOutcome, Refusal>>(() =>
      this.p.raw.watch(prefix, after, waitMs),
    );
    if (this.epoch !== epoch || !this.trusted) return REFUSED;
    return seen.outcome === 'events' ? { ...seen, events: seen.events.map(plainEvent) } : seen;
  }

  async grantLease(ttlMs: number): Promise<GrantOutcome> {
    if (!this.trusted) return REFUSED;
    const granted = await this.p.raw.grantLease(ttlMs);
    if (granted.outcome === 'granted') this.lease = Math.max(this.lease, granted.lease);
    return granted;
  }

  /** A renewal counts only if fence and leader's record stand: the id may be somebody else's by now. */
  async renewLease(lease: LeaseId, held: Condition): Promise<TouchOutcome> {
    if (!this.trusted) return REFUSED;
    const [touched, compared] = await Promise.all([this.p.raw.renewLease(lease, held), this.compare([held])]);
    if (compared.outcome === 'conflict') return { outcome: 'ended' };
    if (compared.outcome !== 'committed') return touched.outcome === 'ended' ? touched : UNKNOWN;
    return this.trusted ? touched : REFUSED;
  }

  endLease(lease: LeaseId): Promise<void> {
    return this.trusted ? this.p.raw.endLease(lease) : Promise.resolve();
  }

  // --- writing back ------------------------------------------------------------------------------------

  /** Writes stand-ins back as records of their own, for as long as `goesOn`; then the pages go. */
  async writeBack(goesOn: () => boolean): Promise<void> {
    const began = this.p.clock.now();
    let written = 0;
    while (goesOn()) {
      await this.p.clock.sleep(WRITE_BACK_MS);
      if (!this.trusted || !goesOn()) continue;
      const batch = this.overlay.first(this.p.limits.txnOps - 1, rank);
      if (batch.length > 0) {
        const outcome = await this.commit(
          batch.map((i) => ({ key: i.key, version: i.version })),
          batch.map((i) => ({ put: i.key, value: i.value })),
          3,
        );
        if (outcome.outcome === 'committed') written += batch.length;
        // Written meanwhile, or filled up again with an old record: reading tells which.
        if (outcome.outcome === 'conflict') for (const key of outcome.failed) await this.read(key, 3);
        if (outcome.outcome === 'committed' && this.overlay.size === 0)
          this.p.log.info(
            { epoch: this.copyOf, records: written, ms: Math.round(this.p.clock.now() - began) },
            'all written back',
          );
      } else if (this.leftovers.length > 0) await this.clean();
    }
  }

  /** Markers and pages first: a tombstone that went before its page would bring the record back. */
  private async clean(): Promise<void> {
    const order = (key: string): number => (key.endsWith('/done') ? 0 : isControlKey(key) ? 1 : 2);
    this.leftovers.sort((a, b) => order(a) - order(b));
    const now = this.leftovers.slice(0, this.p.limits.txnOps - 1);
    const outcome = await this.commit(
      [],
      now.map((key) => ({ delete: key })),
      3,
    );
    if (outcome.outcome === 'committed') this.leftovers = this.leftovers.filter((k) => !now.includes(k));
  }
}

/** Why the store that was entered lacks what a snapshot of it has, or null. */
function whyLater(s: SnapshotMemory, o: Opened): string | null {
  const { number } = o.epoch;
  if (s.epoch > number || (s.epoch === number && s.revision > o.revision))
    return `a snapshot is later: epoch ${s.epoch}, revision ${s.revision}`;
  const here = new Map(o.items.map((i) => [i.key, i]));
  for (const p of o.pending)
    here.set(p.key, { key: p.key, value: JSON.parse(p.text), version: s.revision as never });
  for (const key of s.keys()) {
    const seen = s.get(key);
    const item = here.get(key);
    // Versions of an earlier epoch do not compare, but that a job is known does.
    const why =
      seen === undefined || (item !== undefined && s.epoch < number)
        ? null
        : contradiction(key, seen, item?.version ?? ABSENT, item?.value);
    if (why !== null) return `${why} in a snapshot`;
  }
  return null;
}

function plainEvent(e: WatchEvent): WatchEvent {
  return 'put' in e && isTombstone(e.value) ? { delete: e.put, version: e.version } : e;
}

/** Records are objects; a leader's of anything else ended every node that read it. */
function isReadable(value: unknown): boolean {
  return typeof value === 'object' && value !== null;
}

function rank(key: string): number {
  return key.startsWith(JOB_PREFIX) ? 0 : key.startsWith(TASKS_PREFIX) ? 1 : 2;
}
