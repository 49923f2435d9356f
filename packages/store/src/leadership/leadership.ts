/**
 * Election of the leader by a lease in the key-value store: at most one node holds it at a time.
 *
 * @module
 */
import type { Clock, MonotonicMs } from '@spurbridge/net';
import { REQUEST_PRIORITY, addMs } from '@spurbridge/net';
import type { Compare, FencingToken, KeyValue, NodeId, Revision, Version } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';
import type { CommitOutcome, KeyValueStore, LeaseRenewalOutcome } from '../key-value-store.js';
import { LEASE_TTL_MS, LeaderLease } from './leader-lease.js';
import type { KnownLeader, LeadershipListener } from './leadership-listener.js';
import { LEADER_KEY, formatLeaderRecord, parseLeaderRecord } from './leader-record.js';
import type { LeadershipState } from './leadership-state.js';
import { checkTransition, isLeaderState } from './leadership-state.js';

/** Time between a renewal of the lease and the next, in milliseconds. */
const RENEWAL_INTERVAL_MS = 800;
/** How long a renewal is waited for before the next is sent, in milliseconds; it may still confirm the lease later. */
const RENEWAL_TIMEOUT_MS = 700;
/** Time before a request that was not served is sent again, in milliseconds. */
const RETRY_DELAY_MS = 200;
/** Time before the leader's record is read again after a read that was not served, in milliseconds. */
const READ_RETRY_DELAY_MS = RETRY_DELAY_MS * 1.5;
/** Time before a restarted process looks again whether it has peers, in milliseconds. */
const PEER_CHECK_INTERVAL_MS = RETRY_DELAY_MS / 2;
/** How long one request waits for a change of the leader's record, in milliseconds. */
const WATCH_WAIT_MS = 2000;
/** After resigning, the others get this long to take over, in milliseconds. */
const RESIGNATION_DELAY_MS = 5000;
/** After resigning, a node does not resign again for this long, in milliseconds. */
const MIN_TIME_BETWEEN_RESIGNATIONS_MS = 60_000;
/** A restarted process lets its peers lead first for this long, in milliseconds. */
const RESTART_DELAY_MS = 1500;
/** How long after its start a process may not know of its peers yet, in milliseconds. */
const PEER_DISCOVERY_MS = 1000;

/**
 * Takes part in the election, keeps the lease while leading, and tells whether it is valid. The states and their
 * transitions are those of `LeadershipState`; only `transitionTo` changes the state.
 */
export class Leadership {
  private current: LeadershipState = 'following';
  /** Null unless leading. */
  private lease: LeaderLease | null = null;
  /** Fencing token of this node's last election, and the version of the record that it wrote then. */
  private ownToken = 0 as FencingToken;
  private ownVersion = KEY_ABSENT;
  private highestKnown: KnownLeader | null = null;
  /** Since when no node was found leading. */
  private vacantSince: MonotonicMs | null = null;
  /** Until then this node does not campaign. */
  private campaignsFrom = 0 as MonotonicMs;
  /** Until then this node does not resign. */
  private mayResignFrom = 0 as MonotonicMs;
  /** Until then running peers may not have been heard from. */
  private readonly peersKnownFrom: MonotonicMs;

  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly self: NodeId,
    private readonly incarnation: string,
    private readonly listener: LeadershipListener,
  ) {
    this.peersKnownFrom = addMs(clock.now(), PEER_DISCOVERY_MS);
  }

  // --- state ---------------------------------------------------------------------------------------

  /** The present state. */
  get state(): LeadershipState {
    return this.current;
  }

  /** The fencing token of this node's last election; 0: it was never elected. */
  get fencingToken(): FencingToken {
    return this.ownToken;
  }

  /** The leader with the highest token known; null where only the token or nothing is known. */
  knownLeader(): KnownLeader | null {
    return this.highestKnown;
  }

  /** Whether the lease is certainly valid now, by this node's own clock, counted from the sending of its renewals. */
  holdsValidLease(): boolean {
    return (
      this.current === 'leading' &&
      // A store that is not trusted is like one that does not respond (docs/state-loss.md). Trusted again, it may have
      // elected another leader already: a lease from before must not become valid again with it.
      this.store.isTrusted &&
      this.store.generation === this.lease?.storeGeneration &&
      this.isLeaseValid()
    );
  }

  /** Milliseconds since the lease was last confirmed, counted from the sending of the request; infinite without a lease. */
  msSinceLeaseConfirmed(): number {
    return this.lease?.msSinceConfirmed(this.clock.now()) ?? Infinity;
  }

  /** The condition of every write by the leader: its record is still the one that it wrote. */
  leadershipCompare(): Compare {
    return { key: LEADER_KEY, version: this.ownVersion };
  }

  private isLeaseValid(): boolean {
    return this.lease?.isValidAt(this.clock.now()) ?? false;
  }

  /** The only function that changes the state. */
  private transitionTo(next: LeadershipState, reason: string): void {
    const previous = this.current;
    if (next === previous) return;
    checkTransition(previous, next);
    this.current = next;
    this.listener.log('leadership', { from: previous, to: next, reason, token: this.ownToken });
    if (next === 'leading') this.notifyLeading(previous);
    if (next === 'following') this.endTerm(previous, reason);
  }

  private notifyLeading(previous: LeadershipState): void {
    if (previous === 'campaigning') this.listener.onElected(this.ownToken);
    else this.listener.onLeaseConfirmedAgain();
  }

  private endTerm(previous: LeadershipState, reason: string): void {
    this.lease = null;
    if (isLeaderState(previous)) this.listener.onDeposed(reason);
  }

  // --- what this node learns -----------------------------------------------------------------------

  /** To be called with every token that a peer or a worker shows; `node` is whose it is, where known. */
  observeToken(token: FencingToken, node: NodeId | null): void {
    const highest = this.highestKnown?.fencingToken;
    if (highest !== undefined && token < highest) return;
    if (node !== null) this.highestKnown = { fencingToken: token, node };
    else if (highest === undefined || token > highest) this.highestKnown = null;
    if (token > this.ownToken) this.stepDown('a higher token was shown');
  }

  /** Ends this node's leadership, if it leads. */
  stepDown(reason: string): void {
    if (isLeaderState(this.current)) this.transitionTo('following', reason);
  }

  /** Ends this node's leadership where a write failed on `leadershipCompare`: another node has led, or none does. */
  stepDownOnConflict(outcome: CommitOutcome): boolean {
    if (outcome.outcome !== 'conflict' || !outcome.failed.includes(LEADER_KEY)) return false;
    this.stepDown('a conditioned write failed');
    return true;
  }

  /** Not again soon after the last time: where no other node does better, the reason lies elsewhere. */
  canResign(): boolean {
    return this.clock.now() >= this.mayResignFrom;
  }

  /** Gives leadership up of this node's own accord, so that another can lead. */
  async resign(reason: string): Promise<void> {
    const { lease } = this;
    if (!isLeaderState(this.current)) return;
    this.campaignsFrom = addMs(this.clock.now(), RESIGNATION_DELAY_MS);
    this.mayResignFrom = addMs(this.clock.now(), MIN_TIME_BETWEEN_RESIGNATIONS_MS);
    this.transitionTo('following', reason);
    if (lease !== null) await this.store.revokeLease(lease.id);
  }

  // --- the election --------------------------------------------------------------------------------

  /** Takes part in the election for as long as the process runs. */
  async run(): Promise<never> {
    for (;;) {
      if (isLeaderState(this.current)) await this.renewLease();
      else await this.follow();
    }
  }

  /** Leading or holding: renews the lease once, and waits until the next renewal is due. */
  private async renewLease(): Promise<void> {
    const { lease } = this;
    if (lease === null) return;
    const outcome = await this.requestRenewal(lease);
    // Leadership may have ended meanwhile.
    if (this.lease !== lease) return;
    switch (outcome.outcome) {
      case 'renewed':
        await this.sleepWhileLeading(RENEWAL_INTERVAL_MS);
        return;
      case 'ended':
        this.transitionTo('following', 'the lease ended');
        return;
      default:
        this.holdUnlessLeaseValid();
        await this.sleepWhileLeading(RETRY_DELAY_MS);
    }
  }

  /** The outcome of a renewal, `unknown` where none came in time: a response that never comes must not keep us leading. */
  private requestRenewal(lease: LeaderLease): Promise<LeaseRenewalOutcome> {
    const sentAt = this.clock.now();
    const renewal = this.store.renewLease(lease.id, this.leadershipCompare()).then((outcome) => {
      // However late it comes, it confirms the lease from when it was asked for: with a store slowed thirtyfold, renewals
      // that took a second were taken for failed, and the lease was given up.
      if (outcome.outcome === 'renewed') this.confirmLease(lease, sentAt);
      return outcome;
    });
    const timeout = this.clock.sleep(RENEWAL_TIMEOUT_MS).then(() => ({ outcome: 'unknown' as const }));
    return Promise.race([renewal, timeout]);
  }

  private confirmLease(lease: LeaderLease, sentAt: MonotonicMs): void {
    if (this.lease !== lease || !lease.confirm(sentAt)) return;
    if (this.current === 'holding' && this.isLeaseValid())
      this.transitionTo('leading', 'the lease was confirmed again');
  }

  private holdUnlessLeaseValid(): void {
    if (this.current === 'leading' && !this.isLeaseValid())
      this.transitionTo('holding', 'the lease could not be confirmed');
  }

  private async sleepWhileLeading(ms: number): Promise<void> {
    await this.clock.sleep(ms);
    this.holdUnlessLeaseValid();
  }

  /** Following: looks who leads, and campaigns where no node does. */
  private async follow(): Promise<void> {
    const found = await this.store.read(LEADER_KEY, REQUEST_PRIORITY.critical);
    switch (found.outcome) {
      case 'absent':
        await this.campaignInTurn();
        return;
      case 'found':
        this.vacantSince = null;
        await this.followRecord(found.item);
        return;
      default:
        await this.clock.sleep(READ_RETRY_DELAY_MS);
    }
  }

  /** No node leads: campaigns once it is this node's turn. */
  private async campaignInTurn(): Promise<void> {
    const now = this.clock.now();
    this.vacantSince ??= now;
    const delayedUntil = addMs(this.vacantSince, this.listener.campaignDelayMs?.() ?? 0);
    const turnAt = Math.max(this.campaignsFrom, delayedUntil);
    if (now < turnAt) await this.clock.sleep(Math.min(RETRY_DELAY_MS, turnAt - now));
    else await this.campaign(KEY_ABSENT);
  }

  private async followRecord(item: KeyValue): Promise<void> {
    const record = parseLeaderRecord(item.value);
    if (record.node !== this.self) await this.followLeader(record.node, item.version);
    // Our own commit, whose response was lost or whose leadership was given up: its lease has to end first.
    else if (record.incarnation === this.incarnation) await this.clock.sleep(RETRY_DELAY_MS);
    else await this.replacePredecessor(item.version);
  }

  /** Another node leads: waits for a change of its record. */
  private async followLeader(leader: NodeId, version: Version): Promise<void> {
    this.observeToken(this.store.fencingTokenOf(version), leader);
    const after = version as number as Revision;
    const watched = await this.store.watch(LEADER_KEY, after, WATCH_WAIT_MS);
    if (watched.outcome !== 'events') await this.clock.sleep(RETRY_DELAY_MS);
  }

  /**
   * The process before this one on the same node led. That this one holds its ports proves it gone: nobody acts on that
   * lease any more, so it need not run out.
   */
  private async replacePredecessor(version: Version): Promise<void> {
    if (this.listener.hasPeers?.() === true) await this.removePredecessor(version);
    else if (this.clock.now() < this.peersKnownFrom) await this.clock.sleep(PEER_CHECK_INTERVAL_MS);
    else await this.campaign(version);
  }

  /**
   * Ends the leadership of the process before this one, and lets peers lead that ran on: a process that had just started
   * was short of processor time for ten seconds and lost its lease again.
   */
  private async removePredecessor(version: Version): Promise<void> {
    this.campaignsFrom = addMs(this.clock.now(), RESTART_DELAY_MS);
    const cleared = await this.store.commit(
      [{ key: LEADER_KEY, version }],
      [{ delete: LEADER_KEY }],
      REQUEST_PRIORITY.critical,
    );
    this.listener.log('the process before this one led', { cleared: cleared.outcome });
    if (cleared.outcome !== 'committed') await this.clock.sleep(RETRY_DELAY_MS);
  }

  /** Asks for a lease and writes the leader's record, in place of the one with this version. */
  private async campaign(replaced: Version): Promise<void> {
    this.transitionTo(
      'campaigning',
      replaced === KEY_ABSENT ? 'nobody leads' : 'the process before this one led',
    );
    const { generation } = this.store;
    const sentAt = this.clock.now();
    const granted = await this.store.grantLease(LEASE_TTL_MS);
    if (granted.outcome !== 'granted') {
      this.transitionTo('following', 'no lease was granted');
      await this.clock.sleep(RETRY_DELAY_MS);
      return;
    }
    const lease = new LeaderLease(granted.lease, generation, sentAt);
    const committed = await this.writeLeaderRecord(lease, replaced);
    if (committed.outcome === 'committed') {
      this.beginTerm(lease, committed.revision as number as Version);
      return;
    }
    this.transitionTo('following', `the campaign ended: ${committed.outcome}`);
    // The lease is revoked whatever happened, so that a commit that is applied late is removed with it.
    await this.store.revokeLease(lease.id);
  }

  private writeLeaderRecord(lease: LeaderLease, replaced: Version): Promise<CommitOutcome> {
    const value = formatLeaderRecord({ node: this.self, incarnation: this.incarnation });
    return this.store.commit(
      [{ key: LEADER_KEY, version: replaced }],
      [{ put: LEADER_KEY, value, lease: lease.id }],
      REQUEST_PRIORITY.critical,
    );
  }

  private beginTerm(lease: LeaderLease, version: Version): void {
    this.lease = lease;
    this.ownVersion = version;
    this.ownToken = this.store.fencingTokenOf(version);
    this.highestKnown = { fencingToken: this.ownToken, node: this.self };
    this.transitionTo('leading', 'the campaign was won');
  }
}
