import { Transitions } from '@spurbridge/model';

/**
 * Whether a node trusts the state service. `unattached`: it has read nothing yet. `doubtful`: something was seen that
 * cannot be in a sound store. `rebuilding`: it takes part in an epoch that gathers what the nodes remember.
 */
export type SoundnessState = 'unattached' | 'sound' | 'doubtful' | 'rebuilding';

const transitions = new Transitions<SoundnessState>('state service', {
  unattached: ['sound', 'doubtful', 'rebuilding'],
  sound: ['doubtful'],
  doubtful: ['rebuilding'],
  rebuilding: ['sound', 'doubtful'],
});

export class Soundness {
  private current: SoundnessState = 'unattached';

  constructor(
    private readonly changed: (from: SoundnessState, to: SoundnessState, evidence: string) => void,
  ) {}

  get state(): SoundnessState {
    return this.current;
  }

  /** The only function that changes the state. */
  enter(next: SoundnessState, evidence: string): void {
    if (next === this.current) return;
    transitions.check(this.current, next);
    const before = this.current;
    this.current = next;
    this.changed(before, next, evidence);
  }
}
