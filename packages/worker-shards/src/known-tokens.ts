/**
 * The fencing tokens that a controller has learned of.
 *
 * @module
 */
import type { FencingToken } from '@spurbridge/wire';

const NO_TOKEN = 0 as FencingToken;

/**
 * Tracks the tokens of the latest known leader's term, and the highest token that a worker has shown. A worker may show
 * a token of a term that this controller does not know yet.
 */
export class KnownTokens {
  private electionToken = NO_TOKEN;
  private latestToken = NO_TOKEN;
  private highestShown = NO_TOKEN;

  /** Records the token of a leader's election and the latest known token of its term. */
  observeTerm(electionToken: FencingToken, latestToken: FencingToken): void {
    if (electionToken < this.electionToken) return;
    if (electionToken > this.electionToken) this.latestToken = electionToken;
    this.electionToken = electionToken;
    this.latestToken = Math.max(this.latestToken, latestToken) as FencingToken;
  }

  /** Records a token that a worker has shown. */
  observeWorker(token: FencingToken): void {
    if (token > this.highestShown) this.highestShown = token;
  }

  /**
   * The lowest token that the present term may have: the election of the latest known leader, or the token of an unknown
   * newer leader that a worker has shown. A lease that was delegated under a lower token is void.
   */
  get lowestValid(): FencingToken {
    return this.highestShown > this.latestToken ? this.highestShown : this.electionToken;
  }
}
