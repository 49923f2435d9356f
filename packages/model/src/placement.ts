/**
 * Placements: one attempt of one task on one machine, from the intent to the proof that the task is gone.
 *
 * @module
 */

import type { MonotonicMs } from '@spurbridge/net';
import type { AgentEpoch, Attempt, MachineId } from '@spurbridge/wire';
import { TransitionTable } from './transition-table.js';

/**
 * The state of a placement.
 *
 * - `intended`: the intent is not durable yet, so no start may be sent.
 * - `queued`: durable, waiting for free resources on its machine; this leader has sent no start.
 * - `starting`: a start may be in flight.
 * - `fetching`, `waiting`, `running`, `saving`: as reported by the machine's agent.
 * - `gone`: proven to be no longer on the machine.
 */
export type PlacementState =
  'intended' | 'queued' | 'starting' | 'fetching' | 'waiting' | 'running' | 'saving' | 'gone';

const ON_MACHINE_STATES: readonly PlacementState[] = ['fetching', 'waiting', 'running', 'saving', 'gone'];

/** The allowed transitions of a placement. */
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

/** Why a placement is being stopped. */
export type StopReason = 'cancelled' | 'preempted' | 'drained' | 'gang' | 'misplaced';

/** The decision to stop a placement. */
export interface StopRequest {
  readonly at: MonotonicMs;
  /** Seconds that the task has to save a checkpoint; 0 stops it immediately. */
  readonly graceS: number;
  readonly reason: StopReason;
}

/** One attempt of a task on a machine. */
export interface Placement {
  readonly task: number;
  readonly machine: MachineId;
  /** The epoch of the machine's agent for which the task was placed. */
  readonly agentEpoch: AgentEpoch;
  readonly attempt: Attempt;
  readonly state: PlacementState;
  /**
   * Whether an earlier leader may have sent a start that can still take effect: the placement was restored from a
   * record, and its machine has not ruled such a start out yet.
   */
  readonly mayHaveEarlierStart: boolean;
  /** When the present state was entered. */
  readonly stateSince: MonotonicMs;
  readonly placedAt: MonotonicMs;
  /** When the task was first reported as running on this machine; null before that. */
  readonly runningSince: MonotonicMs | null;
  /** The decision to stop it; null while there is none. */
  readonly stopRequest: StopRequest | null;
}

/**
 * Whether no start of the placement can take effect: this leader has sent none, and an earlier leader has not either,
 * or its start is ruled out. Such a placement can be removed at once, without further proof from its machine.
 */
export function isUnsent(placement: Placement): boolean {
  return !placement.mayHaveEarlierStart && (placement.state === 'intended' || placement.state === 'queued');
}
