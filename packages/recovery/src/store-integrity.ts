import { TransitionTable } from '@spurbridge/model';

/**
 * Whether a node trusts the state service. `unattached`: it has read nothing yet. `doubtful`: something was seen that
 * cannot be in a sound store. `rebuilding`: it takes part in an epoch that gathers what the nodes remember.
 */
export type IntegrityState = 'unattached' | 'sound' | 'doubtful' | 'rebuilding';

const transitions = new TransitionTable<IntegrityState>('state service', {
  unattached: ['sound', 'doubtful', 'rebuilding'],
  sound: ['doubtful'],
  doubtful: ['rebuilding'],
  rebuilding: ['sound', 'doubtful'],
});

export class StoreIntegrity {
  private current: IntegrityState = 'unattached';

  constructor(
    private readonly changed: (from: IntegrityState, to: IntegrityState, evidence: string) => void,
  ) {}

  get state(): IntegrityState {
    return this.current;
  }

  /** The only function that changes the state. */
  transitionTo(next: IntegrityState, evidence: string): void {
    if (next === this.current) return;
    transitions.assertAllowed(this.current, next);
    const before = this.current;
    this.current = next;
    this.changed(before, next, evidence);
  }
}
