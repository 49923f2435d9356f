/**
 * Commands to workers, in responses to heartbeats and in direct requests.
 *
 * @module
 */
import type { AgentEpoch, Attempt, FencingToken, JobId } from './ids.js';
import * as read from './json-fields.js';
import { formatTaskName, parseTaskName } from './task-names.js';
import { WireNames } from './wire-names.js';

/** The attempt of a task that a command is for. */
interface CommandTarget {
  readonly job: JobId;
  readonly task: number;
  readonly attempt: Attempt;
}

/** Starts a task; has no effect if the worker already has this attempt. */
export interface StartCommand extends CommandTarget {
  readonly op: 'start';
}

/** Stops a task. */
export interface StopCommand extends CommandTarget {
  readonly op: 'stop';
  /**
   * Time that the task may take to save a checkpoint, in seconds. If it needs longer, it exits immediately without
   * saving.
   */
  readonly graceS: number;
}

/** Removes an exited task from the worker's heartbeats. */
export interface ForgetCommand extends CommandTarget {
  readonly op: 'forget';
}

/** A command to a worker (Protocol, Workers -> controller nodes, POST /agent/beat, the response). */
export type WorkerCommand = StartCommand | StopCommand | ForgetCommand;

/** Name of a command's operation. */
export type WorkerCommandOperation = WorkerCommand['op'];

const OPERATIONS = new WireNames<WorkerCommandOperation>({ start: 'start', stop: 'halt', forget: 'forget' });

function parseCommand(value: unknown): WorkerCommand {
  const fields = read.asObject(value, 'orders');
  const { job, task } = parseTaskName(read.string(fields, 'piece'));
  const attempt = read.count(fields, 'try') as Attempt;
  const op = OPERATIONS.read(fields, 'verb');
  if (op === 'stop') return { op, job, task, attempt, graceS: read.optionalAmount(fields, 'windDownS') ?? 0 };
  return { op, job, task, attempt };
}

function formatCommand(command: WorkerCommand): Record<string, unknown> {
  return {
    verb: OPERATIONS.format(command.op),
    piece: formatTaskName(command.job, command.task),
    try: command.attempt,
    ...(command.op === 'stop' ? { windDownS: command.graceS } : {}),
  };
}

function parseCommands(fields: read.JsonObject): readonly WorkerCommand[] {
  return fields['orders'] === undefined ? [] : read.asArray(fields['orders'], 'orders').map(parseCommand);
}

/**
 * Response of 200 to a heartbeat: it renews the worker's lease (Protocol, Workers -> controller nodes, POST
 * /agent/beat). The worker ignores it if the token is lower than the highest that it has seen.
 */
export interface HeartbeatResponse {
  readonly fencingToken: FencingToken;
  readonly commands: readonly WorkerCommand[];
}

/** Reads a response of 200 to a heartbeat; a missing token is read as 0. Throws a `ValidationError`. */
export function parseHeartbeatResponse(body: unknown): HeartbeatResponse {
  const fields = read.asObject(body, 'body');
  const token = (read.optionalCount(fields, 'baton') ?? 0) as FencingToken;
  return { fencingToken: token, commands: parseCommands(fields) };
}

/** The body of a response of 200 to a heartbeat. */
export function formatHeartbeatResponse(token: FencingToken, commands: readonly WorkerCommand[]): unknown {
  return { baton: token, orders: commands.map(formatCommand) };
}

/**
 * The node that a response of 421 to a heartbeat names, which the worker should use from now on; null if none
 * (Protocol, Workers -> controller nodes). Throws a `ValidationError`.
 */
export function parseRedirect(body: unknown): string | null {
  return read.optionalString(read.asObject(body, 'body'), 'foreman');
}

/**
 * Commands sent directly to a worker (Protocol, Controller nodes -> workers, POST /commands). They do not renew its
 * lease, and are rejected if the token is too low or the agent epoch differs.
 */
export interface DirectCommands extends HeartbeatResponse {
  readonly agentEpoch: AgentEpoch;
}

/** Reads a request of direct commands; throws a `ValidationError` if token or agent epoch is missing. */
export function parseDirectCommands(body: unknown): DirectCommands {
  const fields = read.asObject(body, 'body');
  return {
    fencingToken: read.count(fields, 'baton') as FencingToken,
    agentEpoch: read.count(fields, 'shift') as AgentEpoch,
    commands: parseCommands(fields),
  };
}

/** The body of a request of direct commands. */
export function formatDirectCommands(
  token: FencingToken,
  agentEpoch: AgentEpoch,
  commands: readonly WorkerCommand[],
): Record<string, unknown> {
  return { baton: token, shift: agentEpoch, orders: commands.map(formatCommand) };
}
