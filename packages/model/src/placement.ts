import type { MonotonicMs } from '@spurbridge/net';
import type { Attempt, MachineId, AgentEpoch } from '@spurbridge/wire';
import { TransitionTable } from './transition-table.js';

/**
 * What may be on a machine on behalf of one task, from the intent to the proof that it is gone.
 * `intended`: not durable yet, no start may be sent. `queued`: durable, and waits for room on its machine; this leader has sent
 * no start. `starting`: a start may be in flight.
 */
export type PlacementState =
  'intended' | 'queued' | 'starting' | 'fetching' | 'waiting' | 'running' | 'saving' | 'gone';

const ON_MACHINE_STATES: readonly PlacementState[] = ['fetching', 'waiting', 'running', 'saving', 'gone'];
export const placementTransitions = new TransitionTable<PlacementState>('placement', {
  intended: ['queued', 'starting', ...ON_MACHINE_STATES],
  queued: ['starting', ...ON_MACHINE_STATES],
  starting: ON_MACHINE_STATES,
  fetching: ['starting', ...ON_MACHINE_STATES],
  waiting: ['starting', ...ON_MACHINE_STATES],
  running: ['starting', ...ON_MACHINE_STATES],
  saving: ['starting', ...ON_MACHINE_STATES],
  gone: [],
});

export interface Placement {
  readonly task: number;
  readonly machine: MachineId;
  readonly agentEpoch: AgentEpoch;
  readonly attempt: Attempt;
  readonly state: PlacementState;
  /** Read from a record: an earlier leader may have sent its start. */
  readonly isRestored: boolean;
  /** When the present state began. */
  readonly stateSince: MonotonicMs;
  readonly placedAt: MonotonicMs;
  /** Start of the run on this machine, once reported. */
  readonly runningSince: MonotonicMs | null;
  /** Set once a stop was decided; the grace that it is given. */
  readonly stopRequest: {
    readonly at: MonotonicMs;
    readonly graceS: number;
    readonly reason: StopReason;
  } | null;
}

export type StopReason = 'cancelled' | 'preempted' | 'drained' | 'gang';

/** Whether nobody can have sent a start of it: it may be given up at once, without any proof from its machine. */
export function isUnsent(p: Placement): boolean {
  return !p.isRestored && (p.state === 'intended' || p.state === 'queued');
}
