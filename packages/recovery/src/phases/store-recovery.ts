import { randomUUID } from 'node:crypto';
import type { WallClockMs } from '@spurbridge/model';
import type { Clock, MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { KeyValueStore } from '@spurbridge/store';
import { LEADER_KEY, LEASE_TTL_MS } from '@spurbridge/store';
import type { Mutation, Compare, KeyValue, NodeId, Revision, FencingToken, Version } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';
import { Replica } from '../replica/replica.js';
import type { Epoch, EpochNumber } from '../epoch/epoch-record.js';
import {
  EPOCH_KEY,
  FENCE_PREFIX,
  decodeEpoch,
  encodeEpoch,
  fenceKey,
  isControlKey,
  nextTokenFloor,
} from '../epoch/epoch-record.js';
import type { EpochReplica, RecordRepair } from '../replica/merge.js';
import { mergeReplicas } from '../replica/merge.js';
import type { Contribution, ContributionMarker } from './contribution-codec.js';
import type { PendingRepair } from '../replica/repair-overlay.js';
import { standsOver } from '../replica/repair-overlay.js';
import { encodePages, markerKey, contributionKeyPrefix, readContributions } from './contribution-codec.js';

const RETRY_MS = 150;
const POLL_MS = 100;
/** An earlier leader that has not noticed believes in its lease no longer than this after the fence moved. */
const BELIEF_MS = LEASE_TTL_MS * 1.002 + 200;
/** Nodes that are heard, but leave no marker, are waited for no longer than this. */
const PATIENCE_MS = 5000;
/** A gathering whose mover does nothing for this long is begun again by another node. */
const STALLED_MS = 6000;
/** The mover's own pages are waited for, so that the others need not write the same. */
const FIRST_MS = 2500;
/** Leases taken at most so that ids from before the loss do not come again. */
const MOST_LEASES = 200;
const PAGES_A_COMMIT = 3;
const TOMBSTONE = 'gone';

/** What a node brings into a gathering. */
export interface LocalRecoveryState {
  /** Number of the epoch that its copy belongs to; 0 without a copy. */
  readonly replicaEpoch: EpochNumber;
  /** Highest number that it has met, its own or a peer's. */
  readonly highestKnownEpoch: number;
  readonly deployment: string | null;
  /** Floor of its copy's epoch. */
  readonly tokenFloor: number;
  readonly lastLedToken: FencingToken;
  readonly highestSeenToken: FencingToken;
  readonly continuous: boolean;
  readonly highestLeaseId: number;
  /** Its copy, and a snapshot where there is one. */
  readonly replicas: readonly EpochReplica[];
}

export interface StoreRecoveryDependencies {
  readonly raw: KeyValueStore;
  readonly clock: Clock;
  readonly wallNow: () => WallClockMs;
  /** Ids that never come again. */
  readonly newId?: () => string;
  readonly node: NodeId;
  /** Number of controllers, this one included. */
  readonly nodes: number;
  readonly valueKb: number;
  readonly log: { info(fields: object, message: string): void };
  readonly localState: () => LocalRecoveryState;
  /** Peers heard of late, and the highest epoch that one of them is in. */
  readonly reachablePeers: () => { readonly peers: readonly NodeId[]; readonly ahead: number };
  /** An epoch of this number was met. */
  readonly onEpochObserved: (number: number) => void;
  /** This node takes part in one of this number. */
  readonly onEpochJoined: (number: number) => void;
}

/** An open epoch as a node finds it. */
export interface OpenEpoch {
  readonly epoch: Epoch;
  readonly fence: Compare;
  readonly items: readonly KeyValue[];
  readonly pending: readonly PendingRepair[];
  /** Keys of pages, and tombstones, to be removed once everything is written back. */
  readonly leftovers: readonly string[];
  readonly revision: Revision;
  /** Revision at the end of the reading, which may take several requests. */
  readonly latest: Revision;
  /** Whether this node took part in the gathering: it has followed the epoch from its opening. */
  readonly gathered: boolean;
}

export function isTombstone(value: unknown): boolean {
  return (
    typeof value === 'object' && value !== null && (value as Record<string, unknown>)[TOMBSTONE] === true
  );
}

export const TOMBSTONE_VALUE = { [TOMBSTONE]: true };

interface Found {
  readonly epoch: Epoch | null;
  readonly version: Version;
}

/** The steps from a doubted store to an open epoch (docs/state-loss.md). It decides nothing for longer than a try. */
export class StoreRecovery {
  /** Ids of epochs that this process moved the fence to: another's under our name is from an earlier life. */
  private readonly mine = new Map<string, MonotonicMs>();
  private watched: { id: string; since: MonotonicMs } | null = null;

  constructor(private readonly p: StoreRecoveryDependencies) {}

  /** Whether this process began the epoch itself. */
  hasInitiated(epoch: Epoch): boolean {
    return this.mine.has(epoch.id);
  }

  /** One try: an epoch that is open now and later than the copy's, or null to begin again. */
  async attempt(): Promise<OpenEpoch | null> {
    const found = await this.readEpochRecord();
    if (found === null) return this.pause();
    const b = this.p.localState();
    const { epoch } = found;
    if (epoch !== null) this.p.onEpochObserved(epoch.number);
    const joins = epoch !== null && epoch.number > b.replicaEpoch && epoch.number >= b.highestKnownEpoch;
    if (!joins || this.isStalled(epoch)) {
      // A peer that is heard is in a later epoch: one of two stores is the old one, and it is not ours to move.
      if (this.p.reachablePeers().ahead > Math.max(b.replicaEpoch, epoch?.number ?? 0) && !joins)
        return this.pause();
      await this.moveFence(found, b, false);
      return this.pause(20);
    }
    this.p.onEpochJoined(epoch.number);
    return epoch.phase === 'open' ? this.enterLate(epoch) : this.gather(epoch, found.version);
  }

  /** The very first start, of a store that never held anything. */
  async initializeStore(): Promise<void> {
    const found = await this.readEpochRecord();
    if (found?.epoch === null) await this.moveFence(found, this.p.localState(), true);
  }

  /** What the record says now; null: no answer. */
  async readEpochRecord(): Promise<Found | null> {
    const found = await this.p.raw.read(EPOCH_KEY, 0);
    if (found.outcome === 'absent') return { epoch: null, version: KEY_ABSENT };
    if (found.outcome !== 'found') return null;
    return { epoch: decodeEpoch(found.item.value), version: found.item.version };
  }

  private async pause(ms = RETRY_MS): Promise<null> {
    await this.p.clock.sleep(ms);
    return null;
  }

  private isStalled(epoch: Epoch): boolean {
    if (epoch.phase === 'open') return false;
    if (epoch.by === this.p.node) return !this.mine.has(epoch.id);
    const now = this.p.clock.now();
    if (this.watched?.id !== epoch.id) this.watched = { id: epoch.id, since: now };
    return now - this.watched.since > STALLED_MS;
  }

  private async moveFence(found: Found, b: LocalRecoveryState, first: boolean): Promise<void> {
    const fences = await this.p.raw.list(FENCE_PREFIX, 0);
    if (fences.outcome !== 'listed') return;
    const newId = this.p.newId ?? randomUUID;
    const number = Math.max(b.highestKnownEpoch, b.replicaEpoch, found.epoch?.number ?? 0) + 1;
    const epoch: Epoch = {
      number: number as EpochNumber,
      id: newId(),
      deployment: b.deployment ?? found.epoch?.deployment ?? newId(),
      floor: first
        ? 0
        : nextTokenFloor(
            Math.max(b.tokenFloor, found.epoch?.floor ?? 0),
            b.highestSeenToken,
            this.p.wallNow(),
          ),
      phase: first ? 'open' : 'gathering',
      // A gathering that never opened wrote no records: what it came after stands for them.
      after:
        found.epoch === null
          ? b.replicaEpoch
          : found.epoch.phase === 'open'
            ? found.epoch.number
            : found.epoch.after,
      by: this.p.node,
      first,
      continuous: first,
    };
    this.mine.set(epoch.id, this.p.clock.now());
    const outcome = await this.p.raw.commit(
      [{ key: EPOCH_KEY, version: found.version }],
      [
        { put: EPOCH_KEY, value: encodeEpoch(epoch) },
        ...fences.items.slice(0, 4).map((i) => ({ delete: i.key })),
        { delete: LEADER_KEY },
        { put: fenceKey(epoch.id), value: {} },
      ],
      0,
    );
    if (outcome.outcome === 'committed')
      this.p.log.info({ epoch: number, first, floor: epoch.floor, after: epoch.after }, 'fence moved');
  }

  // --- gathering ---------------------------------------------------------------------------------

  private async gather(epoch: Epoch, version: Version): Promise<OpenEpoch | null> {
    const isMover = epoch.by === this.p.node;
    if (!isMover) await this.awaitMarker(epoch, epoch.by, FIRST_MS);
    if (!(await this.contribute(epoch))) return this.pause();
    if (!isMover) return this.awaitOpening(epoch);
    const markers = await this.collect(epoch);
    if (markers === null || !(await this.passLeases(markers))) return this.pause();
    const continuous = isContinuous(markers);
    const outcome = await this.p.raw.commit(
      [{ key: EPOCH_KEY, version }],
      [{ put: EPOCH_KEY, value: encodeEpoch({ ...epoch, phase: 'open', continuous }) }],
      0,
    );
    if (outcome.outcome !== 'committed') return this.pause();
    this.p.log.info({ epoch: epoch.number, continuous, contributors: markers.size }, 'epoch opened');
    return this.loadOpenEpoch({ ...epoch, phase: 'open', continuous }, true);
  }

  private async awaitMarker(epoch: Epoch, node: NodeId, mostMs: number): Promise<void> {
    const until = addMs(this.p.clock.now(), mostMs);
    while (this.p.clock.now() < until) {
      const found = await this.p.raw.read(markerKey(epoch.id, node), 0);
      if (found.outcome === 'found') return;
      await this.p.clock.sleep(POLL_MS);
    }
  }

  /** Writes what this node remembers and the store lacks, then its marker. False: to be tried again. */
  private async contribute(epoch: Epoch): Promise<boolean> {
    const { raw, node, valueKb } = this.p;
    const listed = await raw.list('', 0);
    if (listed.outcome !== 'listed') return false;
    const b = this.p.localState();
    const { base, others } = this.baseOf(epoch, listed.items);
    // A version above the count of revisions would be given again: such a record is written anew as it is.
    const ahead = listed.items
      .filter((i) => i.version > listed.latest && !isControlKey(i.key) && !base.pages.has(i.key))
      .map((i) => ({ key: i.key, epoch: epoch.after, version: i.version, text: JSON.stringify(i.value) }));
    const due = mergeReplicas(base, [...b.replicas, ...others]);
    const known = new Set(due.map((r) => r.key));
    const repairs = [...due, ...ahead.filter((r) => !known.has(r.key))].map((r) => ({
      ...r,
      // What stands in the store itself is what an entry replaces, also where a page had replaced it before.
      over: base.own.get(r.key)?.version ?? KEY_ABSENT,
    }));
    const { pages, digest } = encodePages(repairs, valueKb);
    const fence = listed.items.find((i) => i.key === fenceKey(epoch.id));
    if (fence === undefined) return false;
    const conditions = [{ key: fence.key, version: fence.version }];
    for (let i = 0; i < pages.length; i += PAGES_A_COMMIT) {
      const changes = pages
        .slice(i, i + PAGES_A_COMMIT)
        .map((text, k) => ({ put: `${contributionKeyPrefix(epoch.id, node)}${i + k}`, value: { text } }));
      if (!(await this.insist(conditions, changes))) return false;
    }
    const marker: ContributionMarker = {
      pages: pages.length,
      digest,
      led: b.lastLedToken,
      seen: b.highestSeenToken,
      continuous: b.continuous,
      lease: b.highestLeaseId,
    };
    const put = { put: markerKey(epoch.id, node), value: marker };
    if (!(await this.insist(conditions, [put]))) return false;
    this.p.log.info(
      { epoch: epoch.number, records: repairs.length, pages: pages.length },
      'copy contributed',
    );
    return true;
  }

  /** The store with the pages of this epoch over it; pages of epochs that never opened are memories of their own. */
  private baseOf(
    epoch: Epoch,
    items: readonly KeyValue[],
  ): {
    readonly base: EpochReplica & {
      readonly own: Replica;
      readonly pages: ReadonlyMap<string, RecordRepair>;
    };
    readonly others: readonly EpochReplica[];
  } {
    const own = new Replica();
    own.replaceAll(
      items.filter((i) => !isTombstone(i.value)),
      0 as Revision,
    );
    const contributions = this.contributions(items);
    const here = standing(contributions.filter((c) => c.id === epoch.id));
    // What was deleted while its page still stood is not to come back with it.
    const buried = new Set(items.filter((i) => isTombstone(i.value)).map((i) => i.key));
    const others = contributions
      .filter((c) => c.id !== epoch.id)
      .flatMap((c) => memoriesOf(c.repairs.filter((r) => !buried.has(r.key))));
    const base = {
      own,
      pages: here,
      epoch: epoch.after,
      get: (key: string) => here.get(key) ?? own.get(key),
      keys: () => own.keys(),
    };
    return { base, others };
  }

  private contributions(items: readonly KeyValue[]): Contribution[] {
    return readContributions(items, (what) => {
      this.p.log.info({ what }, 'pages cannot be read');
    });
  }

  /** Commits until confirmed; false once a condition fails or a few tries were in vain. */
  private async insist(conditions: readonly Compare[], changes: readonly Mutation[]): Promise<boolean> {
    for (let n = 0; n < 20; n += 1) {
      const outcome = await this.p.raw.commit(conditions, changes, 0);
      if (outcome.outcome === 'committed') return true;
      if (outcome.outcome === 'conflict' || outcome.outcome === 'no_lease') return false;
      await this.p.clock.sleep(RETRY_MS);
    }
    return false;
  }

  /** The markers, once all controllers have left theirs, or long enough after the move; null: begin again. */
  private async collect(epoch: Epoch): Promise<Map<NodeId, ContributionMarker> | null> {
    const { raw, clock, nodes } = this.p;
    const movedAt = this.mine.get(epoch.id);
    for (;;) {
      const sinceMs = movedAt === undefined ? Infinity : clock.now() - movedAt;
      const listed = await raw.list(`m/${epoch.id}/`, 0);
      if (listed.outcome === 'listed') {
        const markers = new Map(this.contributions(listed.items).map((c) => [c.node, c.marker]));
        if (!markers.has(this.p.node)) return null;
        if (markers.size >= nodes) return markers;
        const missing = this.p.reachablePeers().peers.filter((peer) => !markers.has(peer));
        if (sinceMs > BELIEF_MS && (missing.length === 0 || sinceMs > PATIENCE_MS)) return markers;
      } else if (sinceMs > STALLED_MS) return null;
      await clock.sleep(POLL_MS);
    }
  }

  /** Takes leases until their ids are past all that were granted before the loss. */
  private async passLeases(markers: ReadonlyMap<NodeId, ContributionMarker>): Promise<boolean> {
    const past = Math.max(0, ...[...markers.values()].map((m) => m.lease));
    for (let n = 0; n < MOST_LEASES; n += 1) {
      const granted = await this.p.raw.grantLease(100);
      if (granted.outcome !== 'granted') return false;
      if (granted.lease > past) return true;
    }
    this.p.log.info({ past }, 'lease ids were set back too far to pass them');
    return true;
  }

  private async awaitOpening(epoch: Epoch): Promise<OpenEpoch | null> {
    const until = addMs(this.p.clock.now(), STALLED_MS);
    while (this.p.clock.now() < until) {
      const found = await this.readEpochRecord();
      if (found !== null) {
        if (found.epoch?.id !== epoch.id) return null;
        if (found.epoch.phase === 'open') return this.loadOpenEpoch(found.epoch, true);
      }
      await this.p.clock.sleep(POLL_MS);
    }
    return null;
  }

  // --- entering ----------------------------------------------------------------------------------

  /** Enters an epoch that opened without this node: what only it remembers of jobs is put back at once. */
  private async enterLate(epoch: Epoch): Promise<OpenEpoch | null> {
    for (;;) {
      const opened = await this.loadOpenEpoch(epoch);
      if (opened === null) return null;
      const { replicas: memories } = this.p.localState();
      if (memories.length === 0) return opened;
      const view = new Replica();
      view.replaceAll([...opened.items, ...opened.pending.map(itemOf)], opened.revision);
      const store: EpochReplica = { epoch: epoch.number, get: (k) => view.get(k), keys: () => view.keys() };
      // Only what users were told: of tasks the workers tell the leader more than an old copy.
      const due = mergeReplicas(store, memories).filter((r) => r.key.startsWith('j/') && isNews(r, store));
      if (due.length === 0) return opened;
      const over = new Map(opened.items.map((i) => [i.key, i.version]));
      for (const r of due) {
        const conditions = [opened.fence, { key: r.key, version: over.get(r.key) ?? KEY_ABSENT }];
        if (!(await this.insist(conditions, [{ put: r.key, value: JSON.parse(r.text) as unknown }])))
          return this.pause();
      }
      this.p.log.info({ epoch: epoch.number, records: due.length }, 'copy contributed late');
    }
  }

  /** Reads an open epoch whole. */
  async loadOpenEpoch(epoch: Epoch, gathered = false): Promise<OpenEpoch | null> {
    const listed = await this.p.raw.list('', 0);
    if (listed.outcome !== 'listed') return this.pause();
    const fence = listed.items.find((i) => i.key === fenceKey(epoch.id));
    if (fence === undefined) return this.pause();
    const versions = new Map(listed.items.map((i) => [i.key, i.version]));
    const here = this.contributions(listed.items).filter((c) => c.id === epoch.id);
    const pending: PendingRepair[] = [];
    for (const r of standing(here).values()) {
      const there = versions.get(r.key) ?? KEY_ABSENT;
      if (standsOver(r.over, there, fence.version)) pending.push({ key: r.key, over: there, text: r.text });
    }
    const replaced = new Set(pending.map((r) => r.key));
    return {
      epoch,
      fence: { key: fence.key, version: fence.version },
      items: listed.items.filter(
        (i) => !isControlKey(i.key) && !replaced.has(i.key) && !isTombstone(i.value),
      ),
      pending,
      leftovers: listed.items.filter((i) => i.key.startsWith('m/') || isTombstone(i.value)).map((i) => i.key),
      revision: listed.revision,
      latest: listed.latest,
      gathered,
    };
  }
}

function itemOf(p: PendingRepair): KeyValue {
  return { key: p.key, value: JSON.parse(p.text) as unknown, version: p.over };
}

/** A late copy's word about a job counts where the job is unknown, or open there and over in the copy. */
function isNews(r: RecordRepair, store: EpochReplica): boolean {
  const there = store.get(r.key);
  return there === undefined || !r.text.includes('"phase":"active"');
}

/** Of all contributions, what stands for each key. */
function standing(contributions: readonly Contribution[]): Map<string, RecordRepair> {
  const found = new Map<string, RecordRepair>();
  const nothing: EpochReplica = { epoch: 0, get: () => undefined, keys: () => [] };
  const memories = contributions.flatMap((c) => memoriesOf(c.repairs));
  const over = new Map(contributions.flatMap((c) => c.repairs.map((r) => [r.key, r.over] as const)));
  for (const r of mergeReplicas(nothing, memories))
    found.set(r.key, { ...r, over: over.get(r.key) ?? KEY_ABSENT });
  return found;
}

/** Repairs as memories, one for each epoch in which they were seen. */
function memoriesOf(repairs: readonly RecordRepair[]): EpochReplica[] {
  const byEpoch = new Map<number, Map<string, RecordRepair>>();
  for (const r of repairs) {
    const of = byEpoch.get(r.epoch) ?? new Map<string, RecordRepair>();
    byEpoch.set(r.epoch, of.set(r.key, r));
  }
  return [...byEpoch].map(([epoch, of]) => ({ epoch, get: (key) => of.get(key), keys: () => of.keys() }));
}

/**
 * Whether the last leader's own copy is among those that were merged, and nobody added records without knowing whether
 * they are the last word: then no intent is missing.
 */
export function isContinuous(markers: ReadonlyMap<NodeId, ContributionMarker>): boolean {
  const all = [...markers.values()];
  const seen = Math.max(...all.map((m) => m.seen));
  const last = all.find((m) => m.led === seen);
  return last?.continuous === true && all.every((m) => m.continuous || m.pages === 0);
}
