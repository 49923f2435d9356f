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
/**
 * How long to wait for the response to a renewal before sending the next one, in milliseconds. A later response still
 * confirms the lease.
 */
const RENEWAL_TIMEOUT_MS = 700;
/** Delay before retrying a request that was not served, in milliseconds. */
const RETRY_DELAY_MS = 200;
/** Delay before retrying a failed read of the leader's record, in milliseconds. */
const READ_RETRY_DELAY_MS = RETRY_DELAY_MS * 1.5;
/** Interval at which a restarted process checks whether it has peers, in milliseconds. */
const PEER_CHECK_INTERVAL_MS = RETRY_DELAY_MS / 2;
/** How long one watch request waits for a change of the leader's record, in milliseconds. */
const WATCH_WAIT_MS = 2000;
/** How long a node that has resigned does not campaign, so that another can become leader, in milliseconds. */
const RESIGNATION_DELAY_MS = 5000;
/** Minimum time between two resignations of a node, in milliseconds. */
const MIN_TIME_BETWEEN_RESIGNATIONS_MS = 60_000;
/** Head start that a restarted process gives its peers in the election, in milliseconds. */
const RESTART_DELAY_MS = 1500;
/** How long a process may take after its start to discover its peers, in milliseconds. */
const PEER_DISCOVERY_MS = 1000;

/**
 * Takes part in the election, renews the lease while leading, and reports whether it is valid. The states and their
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
  /** Since when there has been no leader, as far as this node knows. */
  private vacantSince: MonotonicMs | null = null;
  /** Earliest time at which this node campaigns. */
  private campaignsFrom = 0 as MonotonicMs;
  /** Earliest time at which this node may resign again. */
  private mayResignFrom = 0 as MonotonicMs;
  /** Until then, running peers may not have been discovered yet. */
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

  /** The leader with the highest token known; null if only the token or nothing is known. */
  knownLeader(): KnownLeader | null {
    return this.highestKnown;
  }

  /** Whether the lease is certainly valid now by this node's own clock, counted from when its renewals were sent. */
  holdsValidLease(): boolean {
    return (
      this.current === 'leading' &&
      // A store that is not trusted is treated as unavailable (docs/state-loss.md). By the time it is trusted again,
      // another leader may have been elected in it, so a lease from before must not become valid again.
      this.store.isTrusted &&
      this.store.generation === this.lease?.storeGeneration &&
      this.isLeaseValid()
    );
  }

  /**
   * Milliseconds since the lease was last confirmed, counted from the sending of the request; Infinity without a lease.
   */
  msSinceLeaseConfirmed(): number {
    return this.lease?.msSinceConfirmed(this.clock.now()) ?? Infinity;
  }

  /** The compare that guards every write by the leader: its record is still the one that it wrote. */
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

  // --- events --------------------------------------------------------------------------------------

  /**
   * To be called with every token received from a peer or a worker; `node` is the leader that it belongs to, if known.
   */
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

  /**
   * Ends this node's leadership if a write failed on `leadershipCompare`: the leader's record was replaced or removed.
   */
  stepDownOnConflict(outcome: CommitOutcome): boolean {
    if (outcome.outcome !== 'conflict' || !outcome.failed.includes(LEADER_KEY)) return false;
    this.stepDown('a conditioned write failed');
    return true;
  }

  /** False for some time after a resignation: if no other node does better, the cause is not this node. */
  canResign(): boolean {
    return this.clock.now() >= this.mayResignFrom;
  }

  /** Gives up leadership voluntarily, so that another node can lead. */
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

  /** The outcome of a renewal; `unknown` on timeout, so that a missing response does not keep this node leading. */
  private requestRenewal(lease: LeaderLease): Promise<LeaseRenewalOutcome> {
    const sentAt = this.clock.now();
    const renewal = this.store.renewLease(lease.id, this.leadershipCompare()).then((outcome) => {
      // A late response still confirms the lease from the time of its request. Without this, a store slowed thirtyfold
      // made renewals that took a second count as failed, and the lease was given up.
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

  /** Following: reads which node leads, and campaigns if there is none. */
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

  /** Campaigns once this node's campaign delay has passed without a leader. */
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
    // The record is this process's own, from a commit whose response was lost or a leadership that was given up. Its
    // lease has to end before a new campaign.
    else if (record.incarnation === this.incarnation) await this.clock.sleep(RETRY_DELAY_MS);
    else await this.replacePredecessor(item.version);
  }

  /** Waits for a change of the record of the node that leads. */
  private async followLeader(leader: NodeId, version: Version): Promise<void> {
    this.observeToken(this.store.fencingTokenOf(version), leader);
    const after = version as number as Revision;
    const watched = await this.store.watch(LEADER_KEY, after, WATCH_WAIT_MS);
    if (watched.outcome !== 'events') await this.clock.sleep(RETRY_DELAY_MS);
  }

  /**
   * Replaces the leadership of this node's previous process. That process has exited, since this one was able to bind
   * its ports, so there is no need to wait for its lease to expire.
   */
  private async replacePredecessor(version: Version): Promise<void> {
    if (this.listener.hasPeers?.() === true) await this.removePredecessor(version);
    else if (this.clock.now() < this.peersKnownFrom) await this.clock.sleep(PEER_CHECK_INTERVAL_MS);
    else await this.campaign(version);
  }

  /**
   * Ends the leadership of this node's previous process, and gives its running peers a head start: a process that had
   * just started was once short of processor time for ten seconds and lost its lease again.
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

  /** Requests a lease and writes the leader's record, replacing the one with this version. */
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
    // The lease is revoked in every case, so that the record of a commit that is applied late is removed with it.
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
