import type { Clock, MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { LeaseId, NodeId, FencingToken, Version } from '@spurbridge/wire';
import { KEY_ABSENT, read } from '@spurbridge/wire';
import type { CommitOutcome, KeyValueStore } from './client.js';

export const LEADER_KEY = 'leader';
/** How long a leader's lease lasts without a renewal, in milliseconds. */
export const LEASE_TTL_MS = 3000;
const RENEW_MS = 800;
const RETRY_MS = 200;
const TRUSTED_DRIFT = 0.001;
const MARGIN_MS = 150;
/** After resigning, the others get this long to take over, and it is not done again for a while. */
const STAND_BACK_MS = 5000;
const STAY_MS = 60_000;
/** A process that has just begun lets others lead first for this long, where there are others. */
const BEGINNER_MS = 1500;
const ACQUAINT_MS = 1000;

/**
 * following -> campaigning -> leading -> holding -> following.
 * `holding`: the lease may be over, but no other leader is known. Reports may still be answered with
 * the old token and without orders, up to a horizon (see docs/design.md), nothing else.
 */
export type LeadershipState = 'following' | 'campaigning' | 'leading' | 'holding';

export interface LeadershipListener {
  onElected(token: FencingToken): void;
  /** The lease is again surely held after a spell of `holding`. */
  onLeaseConfirmedAgain(): void;
  onDeposed(reason: string): void;
  log(message: string, fields: Record<string, unknown>): void;
  /** Whether another node is heard that may lead. */
  hasPeers?(): boolean;
  /** So long others may lead first where nobody does, in milliseconds. */
  campaignDelayMs?(): number;
}

const TRANSITIONS: Record<LeadershipState, readonly LeadershipState[]> = {
  following: ['campaigning'],
  campaigning: ['leading', 'following'],
  leading: ['holding', 'following'],
  holding: ['leading', 'following'],
};

export class Leadership {
  private current: LeadershipState = 'following';
  private lease: LeaseId | null = null;
  private confirmedAt: MonotonicMs | null = null;
  private standsBackUntil = 0 as MonotonicMs;
  /** Since when nobody was found leading. */
  private vacantSince: MonotonicMs | null = null;
  private staysUntil = 0 as MonotonicMs;
  /** Until then others that run have had no time to say so. */
  private readonly metAt: MonotonicMs;
  private ownToken = 0 as FencingToken;
  private ownVersion = KEY_ABSENT;
  private ownEra = 0;
  /** The highest token known, and whose it is. */
  private seen: { fencingToken: FencingToken; node: NodeId } | null = null;

  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly self: NodeId,
    private readonly incarnation: string,
    private readonly events: LeadershipListener,
  ) {
    this.metAt = addMs(clock.now(), ACQUAINT_MS);
  }

  get state(): LeadershipState {
    return this.current;
  }

  get fencingToken(): FencingToken {
    return this.ownToken;
  }

  /** The only function that changes the state. */
  private enter(next: LeadershipState, reason: string): void {
    if (next === this.current) return;
    if (!TRANSITIONS[this.current].includes(next))
      throw new Error(`leadership: ${this.current} -> ${next} is no transition`);
    const before = this.current;
    this.current = next;
    this.events.log('leadership', { from: before, to: next, reason, token: this.ownToken });
    if (next === 'leading' && before === 'campaigning') this.events.onElected(this.ownToken);
    if (next === 'leading' && before === 'holding') this.events.onLeaseConfirmedAgain();
    if (next === 'following') {
      const wasLeader = before === 'leading' || before === 'holding';
      this.lease = null;
      this.confirmedAt = null;
      if (wasLeader) this.events.onDeposed(reason);
    }
  }

  /** Whether the lease is surely held now, by our own steady clock counted from the sending. */
  holdsValidLease(): boolean {
    // A state service that is doubted is like one that does not answer: docs/state-loss.md.
    return (
      this.current === 'leading' &&
      this.store.isTrusted &&
      // Trusted again, it may be led by another already: the belief from before must not come back with it.
      this.store.generation === this.ownEra &&
      this.clock.now() < this.validUntil()
    );
  }

  private validUntil(): number {
    return this.confirmedAt === null
      ? 0
      : addMs(this.confirmedAt, LEASE_TTL_MS * (1 - TRUSTED_DRIFT) - MARGIN_MS);
  }

  /** Time since the lease was last confirmed, counted from the sending of the renewal. */
  msSinceLeaseConfirmed(): number {
    return this.confirmedAt === null ? Infinity : this.clock.now() - this.confirmedAt;
  }

  knownLeader(): { fencingToken: FencingToken; node: NodeId } | null {
    return this.seen;
  }

  /** Called with every token that a peer or a worker shows. */
  observeToken(token: FencingToken, node: NodeId | null): void {
    if (this.seen !== null && token < this.seen.fencingToken) return;
    if (node !== null) this.seen = { fencingToken: token, node };
    else if (this.seen === null || token > this.seen.fencingToken) this.seen = null;
    if (token > this.ownToken && (this.current === 'leading' || this.current === 'holding'))
      this.enter('following', 'a higher token was shown');
  }

  /** Not again soon after the last time: if nobody does better, what this node sees is true. */
  canResign(): boolean {
    return this.clock.now() >= this.staysUntil;
  }

  /** Gives leadership up of its own accord, so that another node can lead. */
  async resign(reason: string): Promise<void> {
    const lease = this.lease;
    if (this.current !== 'leading' && this.current !== 'holding') return;
    this.standsBackUntil = addMs(this.clock.now(), STAND_BACK_MS);
    this.staysUntil = addMs(this.clock.now(), STAY_MS);
    this.enter('following', reason);
    if (lease !== null) await this.store.revokeLease(lease);
  }

  /** A commit conditioned on the leader key failed on it: somebody else leads, or nobody. */
  stepDown(reason: string): void {
    if (this.current === 'leading' || this.current === 'holding') this.enter('following', reason);
  }

  /** Whether a write conditioned on this leadership failed because another node has led: then it is given up. */
  stepDownOnConflict(outcome: CommitOutcome): boolean {
    if (outcome.outcome !== 'conflict' || !outcome.failed.includes(LEADER_KEY)) return false;
    this.stepDown('a conditioned write failed');
    return true;
  }

  async run(): Promise<never> {
    for (;;) {
      if (this.current === 'leading' || this.current === 'holding') await this.renew();
      else await this.follow();
    }
  }

  private async renew(): Promise<void> {
    const lease = this.lease;
    const sentAt = this.clock.now();
    if (lease === null) return;
    // The lease is watched by the clock too: an answer that never comes must not keep us leading.
    const renewal = this.store.renewLease(lease, this.leadershipCompare()).then((outcome) => {
      // However late it comes, it confirms the lease from when it was asked for: with a state service
      // slowed thirtyfold, renewals of a second were taken for failed and the lease was given up.
      if (outcome.outcome === 'renewed') this.confirm(lease, sentAt);
      return outcome;
    });
    const outcome = await Promise.race([
      renewal,
      this.clock.sleep(700).then(() => ({ outcome: 'unknown' as const })),
    ]);
    if (this.lease !== lease) return;
    if (outcome.outcome === 'renewed') {
      await this.pause(RENEW_MS);
      return;
    }
    if (outcome.outcome === 'ended') {
      this.enter('following', 'the lease ended');
      return;
    }
    if (this.current === 'leading' && this.clock.now() >= this.validUntil())
      this.enter('holding', 'the lease could not be confirmed');
    await this.pause(RETRY_MS);
  }

  private confirm(lease: LeaseId, sentAt: MonotonicMs): void {
    if (this.lease !== lease || (this.confirmedAt !== null && sentAt <= this.confirmedAt)) return;
    this.confirmedAt = sentAt;
    if (this.current === 'holding' && this.clock.now() < this.validUntil())
      this.enter('leading', 'the lease was confirmed again');
  }

  private async pause(ms: number): Promise<void> {
    await this.clock.sleep(ms);
    if (this.current === 'leading' && this.clock.now() >= this.validUntil())
      this.enter('holding', 'the lease could not be confirmed');
  }

  private async follow(): Promise<void> {
    const found = await this.store.read(LEADER_KEY, 0);
    if (found.outcome === 'absent') {
      const now = this.clock.now();
      this.vacantSince ??= now;
      const turnAt = Math.max(
        this.standsBackUntil,
        addMs(this.vacantSince, this.events.campaignDelayMs?.() ?? 0),
      );
      if (now < turnAt) await this.clock.sleep(Math.min(RETRY_MS, turnAt - now));
      else await this.campaign();
      return;
    }
    if (found.outcome === 'found') this.vacantSince = null;
    if (found.outcome !== 'found') {
      await this.clock.sleep(RETRY_MS * 1.5);
      return;
    }
    const value = read.asObject(found.item.value, LEADER_KEY);
    if (value['node'] === this.self) {
      // Our own commit, whose answer was lost or whose leadership we gave up: let it run out.
      if (value['incarnation'] === this.incarnation) await this.clock.sleep(RETRY_MS);
      // The process before this one led, and that this one holds its ports proves it gone: nobody believes in that
      // lease any more, so it need not run out.
      else if (this.events.hasPeers?.() === true) await this.clearFor(found.item.version);
      else if (this.clock.now() < this.metAt) await this.clock.sleep(RETRY_MS / 2);
      else await this.campaign(found.item.version);
      return;
    }
    this.observeToken(this.store.fencingTokenOf(found.item.version), read.string(value, 'node') as NodeId);
    const watched = await this.store.watch(
      LEADER_KEY,
      found.item.version as number as Parameters<KeyValueStore['watch']>[1],
      2000,
    );
    if (watched.outcome !== 'events') await this.clock.sleep(RETRY_MS);
  }

  /**
   * Ends the leadership of the process before this one, and lets those lead that ran on: a process that has just begun
   * was at its share for ten seconds and lost its lease again.
   */
  private async clearFor(version: Version): Promise<void> {
    this.standsBackUntil = addMs(this.clock.now(), BEGINNER_MS);
    const cleared = await this.store.commit([{ key: LEADER_KEY, version }], [{ delete: LEADER_KEY }], 0);
    this.events.log('the process before this one led', { cleared: cleared.outcome });
    if (cleared.outcome !== 'committed') await this.clock.sleep(RETRY_MS);
  }

  private async campaign(instead: Version = KEY_ABSENT): Promise<void> {
    this.enter('campaigning', instead === KEY_ABSENT ? 'nobody leads' : 'the process before this one led');
    const { generation: era } = this.store;
    const sentAt = this.clock.now();
    const granted = await this.store.grantLease(LEASE_TTL_MS);
    if (granted.outcome !== 'granted') {
      this.enter('following', 'no lease was granted');
      await this.clock.sleep(RETRY_MS);
      return;
    }
    const committed = await this.store.commit(
      [{ key: LEADER_KEY, version: instead }],
      [
        {
          put: LEADER_KEY,
          value: { node: this.self, incarnation: this.incarnation },
          lease: granted.lease,
        },
      ],
      0,
    );
    if (committed.outcome !== 'committed') {
      this.enter('following', `the campaign ended: ${committed.outcome}`);
      // The lease is ended whatever happened, so that a commit applied late is removed with it.
      await this.store.revokeLease(granted.lease);
      return;
    }
    this.lease = granted.lease;
    this.confirmedAt = sentAt;
    this.ownEra = era;
    this.ownVersion = committed.revision as number as Version;
    this.ownToken = this.store.fencingTokenOf(this.ownVersion);
    this.seen = { fencingToken: this.ownToken, node: this.self };
    this.enter('leading', 'the campaign was won');
  }

  /** Condition of every leader write. */
  leadershipCompare(): { key: string; version: Version } {
    return { key: LEADER_KEY, version: this.ownVersion };
  }
}
