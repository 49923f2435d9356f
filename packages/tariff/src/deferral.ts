/**
 * One job's deferral: why and until when it is not scheduled.
 *
 * @module
 */
import type { WallClockMs } from '@spurbridge/model';
import { TransitionTable } from '@spurbridge/model';
import type { JobId } from '@spurbridge/wire';
import { read } from '@spurbridge/wire';
import { DeferralEndedError } from './errors.js';
import type { ReleaseReason } from './release-decision.js';
import { RELEASE_REASONS } from './release-decision.js';

/**
 * deferred -> released | forced. `released`: at the planned moment. `forced`: because waiting longer was not
 * safe.
 */
export type DeferralState = 'deferred' | 'released' | 'forced';

const transitions = new TransitionTable<DeferralState>('deferral', {
  deferred: ['released', 'forced'],
  released: [],
  forced: [],
});

const STATES: readonly DeferralState[] = ['deferred', 'released', 'forced'];

/** Why and until when a job is kept from being scheduled. */
export class Deferral {
  private currentState: DeferralState = 'deferred';

  constructor(
    readonly job: JobId,
    readonly since: WallClockMs,
    private currentUntil: WallClockMs,
    private currentReason: ReleaseReason,
    private currentRevision: number,
  ) {}

  get state(): DeferralState {
    return this.currentState;
  }

  /** The planned time of the release; after the release, its actual time. */
  get until(): WallClockMs {
    return this.currentUntil;
  }

  get reason(): ReleaseReason {
    return this.currentReason;
  }

  /** Revision of the tariff on which the decision is based. */
  get revision(): number {
    return this.currentRevision;
  }

  /**
   * The only function that changes a deferral: its state, or its planned release.
   *
   * @throws DeferralEndedError if it has ended already
   */
  change(next: DeferralState, until: WallClockMs, reason: ReleaseReason, revision: number): void {
    if (next !== this.currentState) transitions.assertAllowed(this.currentState, next);
    else if (next !== 'deferred') throw new DeferralEndedError(this.job, this.currentState);
    this.currentState = next;
    this.currentUntil = until;
    this.currentReason = reason;
    this.currentRevision = revision;
  }

  /** The stored form. */
  encode(): unknown[] {
    return [
      this.job,
      this.currentState,
      this.since,
      this.currentUntil,
      this.currentReason,
      this.currentRevision,
    ];
  }

  /**
   * Reads what `encode` wrote.
   *
   * @throws ValidationError naming the field
   */
  static decode(value: unknown): Deferral {
    const [job, state, since, until, why, revision] = read.asArray(value, 'deferral');
    const fields = { job, state, since, until, why, revision };
    const deferral = new Deferral(
      read.name(fields, 'job') as JobId,
      read.amount(fields, 'since') as WallClockMs,
      read.amount(fields, 'until') as WallClockMs,
      read.oneOf(fields, 'why', RELEASE_REASONS),
      read.count(fields, 'revision'),
    );
    deferral.currentState = read.oneOf(fields, 'state', STATES);
    return deferral;
  }
}
