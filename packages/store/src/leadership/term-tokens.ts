/**
 * The fencing tokens of one term of a leader.
 *
 * @module
 */
import type { Clock, MonotonicMs } from '@spurbridge/net';
import type { FencingToken } from '@spurbridge/wire';

/** Time in which the other nodes learn of a token, by the leader's status, before a worker shows it to them. */
const ANNOUNCEMENT_MS = 2000;

interface AnnouncedToken {
  readonly token: FencingToken;
  readonly since: MonotonicMs;
}

/**
 * A term has more than one fencing token: the revision of its election, and the revision of every later commit that
 * compared the leader's record. Whoever is elected next writes that record, at a higher revision than all of them, so
 * the tokens of different terms never mix. A leader gives a machine a later token of its term in order to invalidate
 * the direct commands that it has sent there under earlier ones.
 */
export class TermTokens {
  private latestToken: FencingToken;
  private issuableToken: FencingToken;
  private announced: AnnouncedToken | null = null;

  constructor(
    private readonly clock: Clock,
    readonly election: FencingToken,
  ) {
    this.latestToken = election;
    this.issuableToken = election;
  }

  /** The highest token of the term. */
  get latest(): FencingToken {
    return this.latestToken;
  }

  /** Records the token of a commit that compared the leader's record and was confirmed. */
  recordCommit(token: FencingToken): void {
    if (token <= this.latestToken) return;
    this.latestToken = token;
    this.updateIssuable();
  }

  /** The highest token that may be given to workers: the other nodes know that it belongs to this term. */
  get issuable(): FencingToken {
    this.updateIssuable();
    return this.issuableToken;
  }

  private updateIssuable(): void {
    const now = this.clock.now();
    if (this.announced !== null && now - this.announced.since >= ANNOUNCEMENT_MS) {
      this.issuableToken = this.announced.token;
      this.announced = null;
    }
    if (this.announced === null && this.latestToken > this.issuableToken)
      this.announced = { token: this.latestToken, since: now };
  }
}
