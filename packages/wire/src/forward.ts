import protobuf from 'protobufjs/light.js';
import type { Attempt, JobId, MachineId, AgentEpoch, FencingToken } from './ids.js';
import type { ExitCause, TaskPhase, TaskStatus, WorkerCommand, Heartbeat } from './workers.js';

/** A report on its way from the node that its worker reports to, to the leader. */
export interface ForwardedHeartbeat {
  /** 0: no answer is asked for, its worker was answered already. */
  readonly id: number;
  /** How long ago it came, in milliseconds. */
  readonly ageMs: number;
  readonly heartbeat: Heartbeat;
}

/** The leader's answer to a forwarded report. */
export interface ForwardedHeartbeatResponse {
  readonly id: number;
  /** The report that it answers: no two reports have all three alike. */
  readonly machine: MachineId;
  readonly agentEpoch: AgentEpoch;
  readonly sequence: number;
  readonly code: 200 | 503;
  readonly fencingToken: FencingToken;
  /** So long its holder may answer in the leader's stead, counted from the question's sending, in milliseconds. */
  readonly delegatedLeaseMs: number;
  readonly commands: readonly WorkerCommand[];
}

const { Type, Field } = protobuf;
const PHASES: readonly TaskPhase[] = ['fetching', 'waiting', 'running', 'saving', 'exited'];
const CAUSES: readonly (ExitCause | null)[] = [
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
const OPS: readonly WorkerCommand['op'][] = ['start', 'stop', 'forget'];

const Task = new Type('Task')
  .add(new Field('job', 1, 'string'))
  .add(new Field('task', 2, 'uint32'))
  .add(new Field('attempt', 3, 'double'))
  .add(new Field('phase', 4, 'uint32'))
  .add(new Field('cause', 5, 'uint32'))
  .add(new Field('saved', 6, 'bool'));
const Report = new Type('Report')
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
const ForwardType = new Type('Forward')
  .add(new Field('id', 1, 'uint32'))
  .add(new Field('ageMs', 2, 'double'))
  .add(new Field('report', 3, 'Report'));
const CommandType = new Type('Command')
  .add(new Field('op', 1, 'uint32'))
  .add(new Field('job', 2, 'string'))
  .add(new Field('task', 3, 'uint32'))
  .add(new Field('attempt', 4, 'double'))
  .add(new Field('graceS', 5, 'double'));
const AnswerType = new Type('ForwardAnswer')
  .add(new Field('id', 1, 'uint32'))
  .add(new Field('code', 2, 'uint32'))
  .add(new Field('token', 3, 'double'))
  .add(new Field('grantMs', 4, 'double'))
  .add(new Field('commands', 5, 'Command', 'repeated'))
  .add(new Field('machine', 6, 'string'))
  .add(new Field('session', 7, 'double'))
  .add(new Field('seq', 8, 'double'));

/** Types of the messages, to be added to the root that uses them. */
export const FORWARD_TYPES = [Task, Report, ForwardType, CommandType, AnswerType];

interface WireTask {
  job: string;
  task: number;
  attempt: number;
  phase: number;
  cause: number;
  saved: boolean;
}

interface WireForward {
  id: number;
  ageMs: number;
  report: {
    machine: string;
    address: string;
    type: string;
    zone: string;
    spot: boolean;
    session: number;
    seq: number;
    token: number;
    noticed: boolean;
    noticeS: number;
    tasks: WireTask[];
  } | null;
}

interface WireAnswer {
  id: number;
  machine: string;
  session: number;
  seq: number;
  code: number;
  token: number;
  grantMs: number;
  commands: { op: number; job: string; task: number; attempt: number; graceS: number }[];
}

export function forwardToWire(f: ForwardedHeartbeat): WireForward {
  const { heartbeat: r } = f;
  return {
    id: f.id,
    ageMs: f.ageMs,
    report: {
      machine: r.machine,
      address: r.address,
      type: r.type,
      zone: r.zone,
      spot: r.spot,
      session: r.agentEpoch,
      seq: r.sequence,
      token: r.fencingToken,
      noticed: r.preemptionNoticeS !== null,
      noticeS: r.preemptionNoticeS ?? 0,
      tasks: r.tasks.map((t) => ({
        job: t.job,
        task: t.task,
        attempt: t.attempt,
        phase: PHASES.indexOf(t.phase),
        cause: CAUSES.indexOf(t.cause),
        saved: t.saved,
      })),
    },
  };
}

function taskFromWire(t: WireTask): TaskStatus {
  const phase = PHASES[t.phase];
  if (phase === undefined) throw new Error('forwarded report: a task in no known phase');
  return {
    job: t.job as JobId,
    task: t.task,
    attempt: t.attempt as Attempt,
    phase,
    // A cause that this version does not know still means the task has ended.
    cause: CAUSES[t.cause] === undefined ? 'error' : (CAUSES[t.cause] ?? null),
    saved: t.saved,
  };
}

/** Null where the message holds no report. */
export function forwardFromWire(f: WireForward): ForwardedHeartbeat | null {
  const { report: r } = f;
  if (r === null) return null;
  return {
    id: f.id,
    ageMs: Math.max(0, f.ageMs),
    heartbeat: {
      machine: r.machine as MachineId,
      address: r.address,
      type: r.type,
      zone: r.zone,
      spot: r.spot,
      agentEpoch: r.session as AgentEpoch,
      sequence: r.seq,
      fencingToken: r.token as FencingToken,
      preemptionNoticeS: r.noticed ? r.noticeS : null,
      tasks: r.tasks.map(taskFromWire),
    },
  };
}

export function answerToWire(a: ForwardedHeartbeatResponse): WireAnswer {
  return {
    id: a.id,
    machine: a.machine,
    session: a.agentEpoch,
    seq: a.sequence,
    code: a.code,
    token: a.fencingToken,
    grantMs: a.delegatedLeaseMs,
    commands: a.commands.map((c) => ({
      op: OPS.indexOf(c.op),
      job: c.job,
      task: c.task,
      attempt: c.attempt,
      graceS: c.op === 'stop' ? c.graceS : 0,
    })),
  };
}

export function answerFromWire(a: WireAnswer): ForwardedHeartbeatResponse {
  const commands = a.commands.map((c): WorkerCommand => {
    const id = { job: c.job as JobId, task: c.task, attempt: c.attempt as Attempt };
    const op = OPS[c.op];
    if (op === undefined) throw new Error('forwarded answer: an order that is not known');
    return op === 'stop' ? { op, ...id, graceS: c.graceS } : { op, ...id };
  });
  // Whatever is not a plain answer is none.
  const code = a.code === 200 ? 200 : 503;
  return {
    id: a.id,
    machine: a.machine as MachineId,
    agentEpoch: a.session as AgentEpoch,
    sequence: a.seq,
    code,
    fencingToken: a.token as FencingToken,
    delegatedLeaseMs: a.grantMs,
    commands,
  };
}
