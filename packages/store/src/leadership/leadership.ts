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
import { TermTokens } from './term-tokens.js';

/** Interval between renewals of the lease, in milliseconds. */
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
/** Interval at which a restarted process checks whether peers are connected, in milliseconds. */
const PEER_CHECK_INTERVAL_MS = RETRY_DELAY_MS / 2;
/** How long one watch request waits for a change of the leader's record, in milliseconds. */
const WATCH_WAIT_MS = 2000;
/** How long a node does not campaign after it has resigned, so that another can become leader, in milliseconds. */
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
  /** Fencing tokens of this node's last term, and the version of the record that it wrote at its election. */
  private tokens: TermTokens;
  private ownVersion = KEY_ABSENT;
  private highestKnown: KnownLeader | null = null;
  /** When this node first found no leader's record; reset to null when it finds one. */
  private vacantSince: MonotonicMs | null = null;
  /** Earliest time at which this node campaigns. */
  private earliestCampaignAt = 0 as MonotonicMs;
  /** Earliest time at which this node may resign again. */
  private earliestResignationAt = 0 as MonotonicMs;
  /** Time until which running peers may not have been discovered yet. */
  private readonly peerDiscoveryEndsAt: MonotonicMs;

  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly self: NodeId,
    private readonly incarnation: string,
    private readonly listener: LeadershipListener,
  ) {
    this.peerDiscoveryEndsAt = addMs(clock.now(), PEER_DISCOVERY_MS);
    this.tokens = new TermTokens(clock, 0 as FencingToken);
  }

  // --- state ---------------------------------------------------------------------------------------

  /** The current state. */
  get state(): LeadershipState {
    return this.current;
  }

  /** The fencing token of this node's last election; 0 if it was never elected. */
  get fencingToken(): FencingToken {
    return this.tokens.election;
  }

  /**
   * The highest token that this leader may give a machine now, in order to invalidate the commands that were sent there
   * under lower ones.
   */
  get issuableToken(): FencingToken {
    return this.tokens.issuable;
  }

  /** The leader with the highest known token; null if only its token is known, or nothing. */
  knownLeader(): KnownLeader | null {
    return this.highestKnown;
  }

  /** Whether the lease is certainly valid by this node's clock, counted from when the last served renewal was sent. */
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
   * Milliseconds since the request that last confirmed the lease was sent; Infinity without a lease.
   */
  msSinceLeaseConfirmed(): number {
    return this.lease?.msSinceConfirmed(this.clock.now()) ?? Infinity;
  }

  /**
   * Records the revision of a confirmed commit that contained `leadershipCompare`, which is a later token of this term.
   * A commit from before a loss of data proves nothing, because revisions may repeat.
   */
  recordCommit(revision: Revision): void {
    if (!this.store.isTrusted || this.store.generation !== this.lease?.storeGeneration) return;
    this.tokens.recordCommit(this.store.fencingTokenOf(revision as number as Version));
    const { election, latest } = this.tokens;
    if (this.highestKnown?.fencingToken === election)
      this.highestKnown = { fencingToken: election, latestToken: latest, node: this.self };
  }

  /** The comparison that guards every write by the leader: the leader's record is still the one that it wrote. */
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
    this.listener.log('leadership', { from: previous, to: next, reason, token: this.tokens.election });
    if (next === 'leading') this.notifyLeading(previous);
    if (next === 'following') this.endTerm(previous, reason);
  }

  private notifyLeading(previous: LeadershipState): void {
    if (previous === 'campaigning') this.listener.onElected(this.tokens.election);
    else this.listener.onLeaseConfirmedAgain();
  }

  private endTerm(previous: LeadershipState, reason: string): void {
    this.lease = null;
    if (isLeaderState(previous)) this.listener.onDeposed(reason);
  }

  // --- events --------------------------------------------------------------------------------------

  /**
   * To be called with every token received from a worker, which may be any token of a term; one that is higher than all
   * known tokens of the known leader belongs to an unknown newer leader.
   */
  observeToken(token: FencingToken): void {
    if (this.highestKnown !== null && token > this.highestKnown.latestToken) this.highestKnown = null;
    this.stepDownIfHigher(token);
  }

  /** To be called with every leader that is learned of, with the latest known token of its term. */
  observeLeader({ fencingToken, latestToken, node }: KnownLeader): void {
    const known = this.highestKnown;
    if (known !== null && fencingToken < known.fencingToken) return;
    const knownLatest = known?.fencingToken === fencingToken ? known.latestToken : fencingToken;
    const latest = Math.max(knownLatest, latestToken) as FencingToken;
    this.highestKnown = { fencingToken, latestToken: latest, node };
    this.stepDownIfHigher(fencingToken);
  }

  private stepDownIfHigher(token: FencingToken): void {
    if (token > this.tokens.latest) this.stepDown('a higher fencing token was received');
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
    this.stepDown('a write failed because the leader record had changed');
    return true;
  }

  /**
   * False for some time after a resignation: if the problem persists under another leader, this node is not the cause.
   */
  canResign(): boolean {
    return this.clock.now() >= this.earliestResignationAt;
  }

  /** Gives up leadership voluntarily, so that another node can lead. */
  async resign(reason: string): Promise<void> {
    const { lease } = this;
    if (!isLeaderState(this.current)) return;
    this.earliestCampaignAt = addMs(this.clock.now(), RESIGNATION_DELAY_MS);
    this.earliestResignationAt = addMs(this.clock.now(), MIN_TIME_BETWEEN_RESIGNATIONS_MS);
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

  /** In the states `leading` and `holding`: renews the lease once, and waits until the next renewal is due. */
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

  /**
   * Returns the outcome of a renewal; `unknown` on timeout, so that a missing response does not keep this node leading.
   */
  private requestRenewal(lease: LeaderLease): Promise<LeaseRenewalOutcome> {
    const sentAt = this.clock.now();
    const renewal = this.store.renewLease(lease.id, this.leadershipCompare()).then((outcome) => {
      // A late response still confirms the lease from the time of its request. Without this, when the store was thirty
      // times slower than normal, renewals that took a second counted as failed and the leader gave up its lease.
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

  /** In the state `following`: reads which node leads, and campaigns if there is no leader. */
  private async follow(): Promise<void> {
    const found = await this.store.read(LEADER_KEY, REQUEST_PRIORITY.critical);
    switch (found.outcome) {
      case 'absent':
        await this.campaignAfterDelay();
        return;
      case 'found':
        this.vacantSince = null;
        await this.followRecord(found.item);
        return;
      default:
        await this.clock.sleep(READ_RETRY_DELAY_MS);
    }
  }

  /** Campaigns once there has been no leader for this node's campaign delay. */
  private async campaignAfterDelay(): Promise<void> {
    const now = this.clock.now();
    this.vacantSince ??= now;
    const delayedUntil = addMs(this.vacantSince, this.listener.campaignDelayMs?.() ?? 0);
    const campaignAt = Math.max(this.earliestCampaignAt, delayedUntil);
    if (now < campaignAt) await this.clock.sleep(Math.min(RETRY_DELAY_MS, campaignAt - now));
    else await this.campaign(KEY_ABSENT);
  }

  private async followRecord(item: KeyValue): Promise<void> {
    const record = parseLeaderRecord(item.value);
    if (record.node !== this.self) await this.followLeader(record.node, item.version);
    // This process wrote the record, in a commit whose response was lost or before it gave up leadership. The record's
    // lease has to end before a new campaign.
    else if (record.incarnation === this.incarnation) await this.clock.sleep(RETRY_DELAY_MS);
    else await this.replacePreviousProcess(item.version);
  }

  /** Waits for a change of the record of the node that leads. */
  private async followLeader(leader: NodeId, version: Version): Promise<void> {
    const fencingToken = this.store.fencingTokenOf(version);
    this.observeLeader({ fencingToken, latestToken: fencingToken, node: leader });
    const after = version as number as Revision;
    const watched = await this.store.watch(LEADER_KEY, after, WATCH_WAIT_MS);
    if (watched.outcome !== 'events') await this.clock.sleep(RETRY_DELAY_MS);
  }

  /**
   * Ends the leadership of this node's previous process. That process has exited, since this one was able to bind its
   * ports, so there is no need to wait for its lease to expire.
   */
  private async replacePreviousProcess(version: Version): Promise<void> {
    if (this.listener.hasPeers?.() === true) await this.removePreviousRecord(version);
    else if (this.clock.now() < this.peerDiscoveryEndsAt) await this.clock.sleep(PEER_CHECK_INTERVAL_MS);
    else await this.campaign(version);
  }

  /**
   * Removes the leader's record of this node's previous process, and gives running peers a head start in the election:
   * a process that had just started was once short of processor time for ten seconds and lost its lease again.
   */
  private async removePreviousRecord(version: Version): Promise<void> {
    this.earliestCampaignAt = addMs(this.clock.now(), RESTART_DELAY_MS);
    const cleared = await this.store.commit(
      [{ key: LEADER_KEY, version }],
      [{ delete: LEADER_KEY }],
      REQUEST_PRIORITY.critical,
    );
    this.listener.log('attempted to remove the leader record of the previous process', {
      cleared: cleared.outcome,
    });
    if (cleared.outcome !== 'committed') await this.clock.sleep(RETRY_DELAY_MS);
  }

  /** Requests a lease and writes the leader's record, replacing the one with this version. */
  private async campaign(replaced: Version): Promise<void> {
    this.transitionTo(
      'campaigning',
      replaced === KEY_ABSENT ? 'there is no leader' : 'the previous process of this node was the leader',
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
    this.transitionTo('following', `the leader record was not confirmed: ${committed.outcome}`);
    // The lease is revoked for every other outcome, so that the record is also removed if the commit is applied late.
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
    const fencingToken = this.store.fencingTokenOf(version);
    this.tokens = new TermTokens(this.clock, fencingToken);
    this.highestKnown = { fencingToken, latestToken: fencingToken, node: this.self };
    this.transitionTo('leading', 'the leader record was written');
  }
}
