/**
 * Heartbeats of workers: Protocol, Workers -> controller nodes.
 *
 * @module
 */
import type { AgentEpoch, Attempt, FencingToken, JobId, MachineId } from './ids.js';
import * as read from './json-fields.js';
import { formatTaskName, parseTaskName } from './task-names.js';
import { WireNames } from './wire-names.js';

/**
 * State of a task on its machine. `fetching`: its image is being fetched. `waiting`: a gang task that waits for the
 * others of its attempt. `saving`: it received a stop command and is saving a checkpoint.
 */
export type TaskPhase = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';

/**
 * Why a task exited. `stopped`: by a stop command. `peers`: another task of its gang has ended. `alone`: its gang was
 * not complete in time. `no_room`, `busy`, `unknown`: the start was refused because resources are insufficient, because
 * another attempt of the task runs here, or because there is no such job.
 */
export type ExitCause = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no_room' | 'busy' | 'unknown';

const PHASES: readonly TaskPhase[] = ['fetching', 'waiting', 'running', 'saving', 'exited'];
const EXIT_CAUSES = new WireNames<ExitCause>({
  done: 'done',
  stopped: 'halted',
  peers: 'peers',
  alone: 'incomplete',
  error: 'error',
  no_room: 'no_room',
  busy: 'busy',
  unknown: 'no_such',
});

/** One task in a heartbeat (Protocol, Workers -> controller nodes, POST /agent/beat, `pieces`). */
export interface TaskStatus {
  readonly job: JobId;
  readonly task: number;
  readonly attempt: Attempt;
  readonly phase: TaskPhase;
  /** Null unless the task has exited. */
  readonly cause: ExitCause | null;
  /** Whether its progress was saved when it was stopped. */
  readonly saved: boolean;
}

/**
 * Heartbeat of a worker (Protocol, Workers -> controller nodes, POST /agent/beat; also the response to POST /commands and
 * GET /show). Of two heartbeats the one with the larger `agentEpoch`, then the larger `sequence`, is the newer.
 */
export interface Heartbeat {
  readonly machine: MachineId;
  /** Where the worker listens for direct commands, as `host:port`. */
  readonly address: string;
  /** Name of the machine type. */
  readonly type: string;
  readonly zone: string;
  /** Whether the machine is a spot machine. */
  readonly spot: boolean;
  readonly agentEpoch: AgentEpoch;
  readonly sequence: number;
  /** The highest fencing token that the worker has seen; 0 means none. */
  readonly fencingToken: FencingToken;
  /** Seconds until the cloud takes the machine back; null without a preemption notice. */
  readonly preemptionNoticeS: number | null;
  /** All tasks on the machine, including exited ones until a forget command removes them. */
  readonly tasks: readonly TaskStatus[];
}

function parseTaskStatus(value: unknown): TaskStatus {
  const fields = read.asObject(value, 'pieces');
  const cause = read.optionalString(fields, 'cause');
  const { job, task } = parseTaskName(read.string(fields, 'piece'));
  return {
    job,
    task,
    attempt: read.count(fields, 'try') as Attempt,
    phase: read.oneOf(fields, 'phase', PHASES),
    // A cause that this version does not know still means that the task has ended.
    cause: cause === null ? null : (EXIT_CAUSES.find(cause) ?? 'error'),
    saved: read.booleanOrFalse(fields, 'saved'),
  };
}

function formatTaskStatus(status: TaskStatus): Record<string, unknown> {
  return {
    piece: formatTaskName(status.job, status.task),
    try: status.attempt,
    phase: status.phase,
    ...(status.cause === null ? {} : { cause: EXIT_CAUSES.format(status.cause) }),
    ...(status.saved ? { saved: true } : {}),
  };
}

/** Reads a heartbeat; throws a `ValidationError`. */
export function parseHeartbeat(body: unknown): Heartbeat {
  const fields = read.asObject(body, 'report');
  return {
    machine: read.name(fields, 'rig') as MachineId,
    address: read.string(fields, 'address'),
    type: read.string(fields, 'build'),
    zone: read.string(fields, 'yard'),
    spot: read.booleanOrFalse(fields, 'loaners'),
    agentEpoch: read.count(fields, 'shift') as AgentEpoch,
    sequence: read.count(fields, 'tally'),
    fencingToken: (read.optionalCount(fields, 'baton') ?? 0) as FencingToken,
    preemptionNoticeS: read.optionalAmount(fields, 'recallS'),
    tasks:
      fields['pieces'] === undefined ? [] : read.asArray(fields['pieces'], 'pieces').map(parseTaskStatus),
  };
}

/** The body of a heartbeat; `parseHeartbeat` reads it back. */
export function formatHeartbeat(heartbeat: Heartbeat): Record<string, unknown> {
  return {
    rig: heartbeat.machine,
    address: heartbeat.address,
    build: heartbeat.type,
    yard: heartbeat.zone,
    loaners: heartbeat.spot,
    shift: heartbeat.agentEpoch,
    tally: heartbeat.sequence,
    baton: heartbeat.fencingToken,
    recallS: heartbeat.preemptionNoticeS,
    pieces: heartbeat.tasks.map(formatTaskStatus),
  };
}
