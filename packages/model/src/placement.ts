import type { Ms } from '@spurbridge/net';
import type { Attempt, MachineId, Session } from '@spurbridge/wire';
import { Transitions } from './transition.js';

/**
 * What may be on a machine on behalf of one task, from the intent to the proof that it is gone.
 * `intended`: not durable yet, no start may be sent. `starting`: durable, a start may be in flight.
 */
export type PlacementState = 'intended' | 'starting' | 'fetching' | 'waiting' | 'running' | 'saving' | 'gone';

const LIVE: readonly PlacementState[] = ['fetching', 'waiting', 'running', 'saving', 'gone'];
export const placementTransitions = new Transitions<PlacementState>('placement', {
  intended: ['starting', ...LIVE],
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
  /** When the present state began. */
  readonly since: Ms;
  readonly placedAt: Ms;
  /** Start of the run on this machine, once reported. */
  readonly runningAt: Ms | null;
  /** Set once a stop was decided; the grace that it is given. */
  readonly stop: { readonly at: Ms; readonly graceS: number; readonly reason: StopReason } | null;
}

export type StopReason = 'cancelled' | 'preempted' | 'drained' | 'gang';
