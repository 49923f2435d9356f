/**
 * Start commands that a leader sent to a machine directly, and that may still arrive there.
 *
 * @module
 */
import type { FencingToken } from '@spurbridge/wire';

/**
 * The starts that were sent to one machine directly in its agent epoch. Whether a start was answered or not, a copy of
 * it may arrive at any time, and the machine executes it as long as it has not seen a higher fencing token. It has no
 * effect while the machine knows the attempt, but an attempt that the machine was told to forget would start again.
 */
export class DirectStarts {
  /** The token that each start carried, by the key of the start. */
  private readonly tokens = new Map<string, FencingToken>();
  private readonly unanswered = new Set<string>();

  /** The number of starts that may still arrive. */
  get size(): number {
    return this.tokens.size;
  }

  /** Whether any of the starts has no answer. */
  get hasUnanswered(): boolean {
    return this.unanswered.size > 0;
  }

  /** Records that a start is sent under this token. */
  recordSent(key: string, token: FencingToken): void {
    this.tokens.set(key, token);
    this.unanswered.add(key);
  }

  /** Records that the machine has executed the start. */
  recordExecuted(key: string): void {
    this.unanswered.delete(key);
  }

  /** Removes a start that will certainly never be executed. */
  discard(key: string): void {
    this.tokens.delete(key);
    this.unanswered.delete(key);
  }

  /** Whether the start was sent, has no answer, and may still arrive. */
  isUnanswered(key: string): boolean {
    return this.unanswered.has(key);
  }

  /** Whether the start may still be executed by a machine that has seen no token higher than this one. */
  mayArriveUnder(token: FencingToken, key: string): boolean {
    const sentUnder = this.tokens.get(key);
    return sentUnder !== undefined && sentUnder >= token;
  }

  /** Removes the starts that the machine rejects now that it has seen this token. */
  discardBelow(token: FencingToken): void {
    for (const [key, sentUnder] of this.tokens) if (sentUnder < token) this.discard(key);
  }

  /** Removes all starts, since a new agent epoch has begun. */
  clear(): void {
    this.tokens.clear();
    this.unanswered.clear();
  }
}
