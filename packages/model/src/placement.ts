import type { Ms } from '@spurbridge/net';
import type { Attempt, MachineId, Session } from '@spurbridge/wire';
import { Transitions } from './transition.js';

/**
 * What may be on a machine on behalf of one task, from the intent to the proof that it is gone.
 * `intended`: not durable yet, no start may be sent. `queued`: durable, and waits for room on its machine; this leader has sent
 * no start. `starting`: a start may be in flight.
 */
export type PlacementState =
  'intended' | 'queued' | 'starting' | 'fetching' | 'waiting' | 'running' | 'saving' | 'gone';

const LIVE: readonly PlacementState[] = ['fetching', 'waiting', 'running', 'saving', 'gone'];
export const placementTransitions = new Transitions<PlacementState>('placement', {
  intended: ['queued', 'starting', ...LIVE],
  queued: ['starting', ...LIVE],
  starting: LIVE,
  fetching: ['starting', ...LIVE],
  waiting: ['starting', ...LIVE],
  running: ['starting', ...LIVE],
  saving: ['starting', ...LIVE],
  gone: [],
});

export interface Placement {
  readonly task: number;
  readonly machine: MachineId;
  readonly session: Session;
  readonly attempt: Attempt;
  readonly state: PlacementState;
  /** Read from a record: an earlier leader may have sent its start. */
  readonly restored: boolean;
  /** When the present state began. */
  readonly since: Ms;
  readonly placedAt: Ms;
  /** Start of the run on this machine, once reported. */
  readonly runningAt: Ms | null;
  /** Set once a stop was decided; the grace that it is given. */
  readonly stop: { readonly at: Ms; readonly graceS: number; readonly reason: StopReason } | null;
}

export type StopReason = 'cancelled' | 'preempted' | 'drained' | 'gang';

/** Whether nobody can have sent a start of it: it may be given up at once, without any proof from its machine. */
export function isUnsent(p: Placement): boolean {
  return !p.restored && (p.state === 'intended' || p.state === 'queued');
}
