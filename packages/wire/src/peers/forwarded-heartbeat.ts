/**
 * Heartbeats that a controller node forwards to the leader, the leader's responses, and the protobuf form of both. Field
 * numbers and types are fixed: nodes of earlier versions read and write them too.
 *
 * @module
 */
import protobuf from 'protobufjs/light.js';
import type { ExitCause, Heartbeat, TaskPhase, TaskStatus } from '../heartbeats.js';
import type { AgentEpoch, Attempt, FencingToken, JobId, MachineId } from '../ids.js';
import type { WorkerCommand, WorkerCommandOperation } from '../worker-commands.js';
import { PeerMessageError } from './errors.js';

/** A heartbeat that the node which received it forwards to the leader. */
export interface ForwardedHeartbeat {
  /**
   * Matches the response to the request. 0 means that no response is expected, because the worker already received one.
   */
  readonly id: number;
  /** How long ago the node received it, in milliseconds. */
  readonly ageMs: number;
  readonly heartbeat: Heartbeat;
}

/** The leader's response to a forwarded heartbeat. */
export interface ForwardedHeartbeatResponse {
  readonly id: number;
  /** The heartbeat that it belongs to: machine, agent epoch and sequence together identify one. */
  readonly machine: MachineId;
  readonly agentEpoch: AgentEpoch;
  readonly sequence: number;
  readonly code: 200 | 503;
  /** The token for the worker. */
  readonly fencingToken: FencingToken;
  /** The token of the leader's election, which the token for the worker may exceed. */
  readonly electionToken: FencingToken;
  /** How long the node may renew the worker's lease on the leader's behalf, in milliseconds from sending the request. */
  readonly delegatedLeaseMs: number;
  readonly commands: readonly WorkerCommand[];
}

/** A phase is encoded as its index in this array, so values may only be appended. */
const PHASES: readonly TaskPhase[] = ['fetching', 'waiting', 'running', 'saving', 'exited'];
/** A cause is encoded as its index in this array, so values may only be appended. */
const EXIT_CAUSES: readonly (ExitCause | null)[] = [
  null,
  'done',
  'stopped',
  'peers',
  'alone',
  'error',
  'no_room',
  'busy',
  'unknown',
];
/** An operation is encoded as its index in this array, so values may only be appended. */
const OPERATIONS: readonly WorkerCommandOperation[] = ['start', 'stop', 'forget'];

const { Type, Field } = protobuf;

const TASK_TYPE = new Type('Task')
  .add(new Field('job', 1, 'string'))
  .add(new Field('task', 2, 'uint32'))
  .add(new Field('attempt', 3, 'double'))
  .add(new Field('phase', 4, 'uint32'))
  .add(new Field('cause', 5, 'uint32'))
  .add(new Field('saved', 6, 'bool'));
const HEARTBEAT_TYPE = new Type('Report')
  .add(new Field('machine', 1, 'string'))
  .add(new Field('address', 2, 'string'))
  .add(new Field('type', 3, 'string'))
  .add(new Field('zone', 4, 'string'))
  .add(new Field('spot', 5, 'bool'))
  .add(new Field('session', 6, 'double'))
  .add(new Field('seq', 7, 'double'))
  .add(new Field('token', 8, 'double'))
  .add(new Field('noticed', 9, 'bool'))
  .add(new Field('noticeS', 10, 'double'))
  .add(new Field('tasks', 11, 'Task', 'repeated'));
const FORWARDED_HEARTBEAT_TYPE = new Type('Forward')
  .add(new Field('id', 1, 'uint32'))
  .add(new Field('ageMs', 2, 'double'))
  .add(new Field('report', 3, 'Report'));
const COMMAND_TYPE = new Type('Command')
  .add(new Field('op', 1, 'uint32'))
  .add(new Field('job', 2, 'string'))
  .add(new Field('task', 3, 'uint32'))
  .add(new Field('attempt', 4, 'double'))
  .add(new Field('graceS', 5, 'double'));
const RESPONSE_TYPE = new Type('ForwardAnswer')
  .add(new Field('id', 1, 'uint32'))
  .add(new Field('code', 2, 'uint32'))
  .add(new Field('token', 3, 'double'))
  .add(new Field('grantMs', 4, 'double'))
  .add(new Field('commands', 5, 'Command', 'repeated'))
  .add(new Field('machine', 6, 'string'))
  .add(new Field('session', 7, 'double'))
  .add(new Field('seq', 8, 'double'))
  .add(new Field('electionToken', 9, 'double'));

/** Protobuf types of this module, to be added to the namespace of the messages that hold them. */
export const FORWARDED_HEARTBEAT_TYPES = [
  TASK_TYPE,
  HEARTBEAT_TYPE,
  FORWARDED_HEARTBEAT_TYPE,
  COMMAND_TYPE,
  RESPONSE_TYPE,
];

interface TaskFields {
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
  readonly phase: number;
  readonly cause: number;
  readonly saved: boolean;
}

interface HeartbeatFields {
  readonly machine: string;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly session: number;
  readonly seq: number;
  readonly token: number;
  /** Whether `noticeS` is set; protobuf has no null. */
  readonly noticed: boolean;
  readonly noticeS: number;
  readonly tasks: readonly TaskFields[];
}

interface CommandFields {
  readonly op: number;
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
  readonly graceS: number;
}

/** A forwarded heartbeat with the field names of its protobuf type; the heartbeat is null if none was sent. */
export interface ForwardedHeartbeatFields {
  readonly id: number;
  readonly ageMs: number;
  readonly report: HeartbeatFields | null;
}

/** The response to a forwarded heartbeat with the field names of its protobuf type. */
export interface ForwardedHeartbeatResponseFields {
  readonly id: number;
  readonly machine: string;
  readonly session: number;
  readonly seq: number;
  readonly code: number;
  readonly token: number;
  /** Omitted where it equals `token`; a node of an earlier version does not send it. */
  readonly electionToken?: number;
  readonly grantMs: number;
  readonly commands: readonly CommandFields[];
}

function formatTask(task: TaskStatus): TaskFields {
  return {
    job: task.job,
    task: task.task,
    attempt: task.attempt,
    phase: PHASES.indexOf(task.phase),
    cause: EXIT_CAUSES.indexOf(task.cause),
    saved: task.saved,
  };
}

function parseTask(fields: TaskFields): TaskStatus {
  const phase = PHASES[fields.phase];
  if (phase === undefined)
    throw new PeerMessageError(
      `forwarded heartbeat: task ${fields.job}/${fields.task}: expected a phase index below ${PHASES.length}, got ${fields.phase}`,
    );
  // A cause that this version does not know still means that the task has ended.
  const cause = EXIT_CAUSES[fields.cause];
  return {
    job: fields.job as JobId,
    task: fields.task,
    attempt: fields.attempt as Attempt,
    phase,
    cause: cause === undefined ? 'error' : cause,
    saved: fields.saved,
  };
}

function formatHeartbeatFields(heartbeat: Heartbeat): HeartbeatFields {
  return {
    machine: heartbeat.machine,
    address: heartbeat.address,
    type: heartbeat.type,
    zone: heartbeat.zone,
    spot: heartbeat.spot,
    session: heartbeat.agentEpoch,
    seq: heartbeat.sequence,
    token: heartbeat.fencingToken,
    noticed: heartbeat.preemptionNoticeS !== null,
    noticeS: heartbeat.preemptionNoticeS ?? 0,
    tasks: heartbeat.tasks.map(formatTask),
  };
}

function parseHeartbeatFields(fields: HeartbeatFields): Heartbeat {
  return {
    machine: fields.machine as MachineId,
    address: fields.address,
    type: fields.type,
    zone: fields.zone,
    spot: fields.spot,
    agentEpoch: fields.session as AgentEpoch,
    sequence: fields.seq,
    fencingToken: fields.token as FencingToken,
    preemptionNoticeS: fields.noticed ? fields.noticeS : null,
    tasks: fields.tasks.map(parseTask),
  };
}

/** The protobuf form of a forwarded heartbeat. */
export function formatForwardedHeartbeat(forwarded: ForwardedHeartbeat): ForwardedHeartbeatFields {
  return {
    id: forwarded.id,
    ageMs: forwarded.ageMs,
    report: formatHeartbeatFields(forwarded.heartbeat),
  };
}

/**
 * Reads the protobuf form of a forwarded heartbeat; null if the message holds none. Throws a `PeerMessageError` if a
 * task is in a phase that this version does not know.
 */
export function parseForwardedHeartbeat(fields: ForwardedHeartbeatFields): ForwardedHeartbeat | null {
  if (fields.report === null) return null;
  return {
    id: fields.id,
    ageMs: Math.max(0, fields.ageMs),
    heartbeat: parseHeartbeatFields(fields.report),
  };
}

function formatCommand(command: WorkerCommand): CommandFields {
  return {
    op: OPERATIONS.indexOf(command.op),
    job: command.job,
    task: command.task,
    attempt: command.attempt,
    graceS: command.op === 'stop' ? command.graceS : 0,
  };
}

function parseCommand(fields: CommandFields): WorkerCommand {
  const target = { job: fields.job as JobId, task: fields.task, attempt: fields.attempt as Attempt };
  const op = OPERATIONS[fields.op];
  if (op === undefined)
    throw new PeerMessageError(
      `response to a forwarded heartbeat: command for ${fields.job}/${fields.task}: ` +
        `expected an operation index below ${OPERATIONS.length}, got ${fields.op}`,
    );
  return op === 'stop' ? { op, ...target, graceS: fields.graceS } : { op, ...target };
}

/** The protobuf form of a response to a forwarded heartbeat. */
export function formatForwardedHeartbeatResponse(
  response: ForwardedHeartbeatResponse,
): ForwardedHeartbeatResponseFields {
  return {
    id: response.id,
    machine: response.machine,
    session: response.agentEpoch,
    seq: response.sequence,
    code: response.code,
    token: response.fencingToken,
    ...(response.electionToken === response.fencingToken ? {} : { electionToken: response.electionToken }),
    grantMs: response.delegatedLeaseMs,
    commands: response.commands.map(formatCommand),
  };
}

/**
 * Reads the protobuf form of a response to a forwarded heartbeat; a code other than 200 counts as 503. Throws a
 * `PeerMessageError` if this version does not know a command.
 */
export function parseForwardedHeartbeatResponse(
  fields: ForwardedHeartbeatResponseFields,
): ForwardedHeartbeatResponse {
  const commands = fields.commands.map(parseCommand);
  return {
    id: fields.id,
    machine: fields.machine as MachineId,
    agentEpoch: fields.session as AgentEpoch,
    sequence: fields.seq,
    code: fields.code === 200 ? 200 : 503,
    fencingToken: fields.token as FencingToken,
    electionToken: (fields.electionToken || fields.token) as FencingToken,
    delegatedLeaseMs: fields.grantMs,
    commands,
  };
}
