/**
 * Whether a controller trusts the key-value store: the states, and the only function that changes them.
 *
 * @module
 */
import { TransitionTable } from '@spurbridge/model';

/**
 * - `unattached`: the controller has not read the store yet.
 * - `trusted`: there is no evidence against the store; its responses are validated and passed on.
 * - `suspect`: a response, a peer or a worker gave evidence that the store has lost data. All calls are refused.
 * - `recovering`: the controller takes part in a recovery. All calls are refused.
 */
export type IntegrityState = 'unattached' | 'trusted' | 'suspect' | 'recovering';

const transitions = new TransitionTable<IntegrityState>('store integrity', {
  unattached: ['trusted', 'suspect', 'recovering'],
  trusted: ['suspect'],
  suspect: ['recovering'],
  recovering: ['trusted', 'suspect'],
});

/** Called after each change of state, with the evidence for it. */
export type IntegrityListener = (from: IntegrityState, to: IntegrityState, evidence: string) => void;

/** The integrity of the store as this controller knows it. */
export class StoreIntegrity {
  private current: IntegrityState = 'unattached';

  constructor(private readonly onChange: IntegrityListener) {}

  get state(): IntegrityState {
    return this.current;
  }

  /** Whether the store is trusted. */
  get isTrusted(): boolean {
    return this.current === 'trusted';
  }

  /** Whether evidence of a loss changes the state; in the other states the loss is already known. */
  get canBecomeSuspect(): boolean {
    return this.current === 'trusted' || this.current === 'unattached';
  }

  /**
   * Changes the state; has no effect if `next` is the current state.
   *
   * @param evidence - Why the state changes, for the log.
   * @throws InvalidTransitionError if the transition is not allowed.
   */
  transitionTo(next: IntegrityState, evidence: string): void {
    if (next === this.current) return;
    transitions.assertAllowed(this.current, next);
    const previous = this.current;
    this.current = next;
    this.onChange(previous, next, evidence);
  }
}
