import type { Clock, MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { FencingToken } from '@spurbridge/wire';

/** Clocks of different nodes drift apart by at most this; a grant is counted short by it. */
const DRIFT = 0.001;

/**
 * What a leader's answer lets its holder do without it: answer this machine's reports with the leader's token and no orders, until a
 * time by the holder's own steady clock (docs/shares.md). It ends before the leader's own horizon does: the time that
 * is left of that is counted from the sending of the question, which came before the answer.
 */
export class LeaseDelegation {
  private held: { readonly token: FencingToken; readonly until: MonotonicMs } | null = null;

  constructor(private readonly clock: Clock) {}

  /** An answer under this token to a question sent at `askedAt`, with so much left of the leader's horizon (ms). */
  extend(token: FencingToken, askedAt: MonotonicMs, leftMs: number): void {
    if (!(leftMs > 0) || (this.held !== null && token < this.held.token)) return;
    const until = addMs(askedAt, leftMs * (1 - DRIFT));
    if (this.held?.token === token && until <= this.held.until) return;
    this.held = { token, until };
  }

  /** The token to answer with now, or null. A token higher than that is known ends it: another leads. */
  currentToken(highestKnown: FencingToken): FencingToken | null {
    if (this.held === null || this.held.token < highestKnown) return null;
    return this.clock.now() < this.held.until ? this.held.token : null;
  }
}
