import type { Attempt, JobId, MachineId, AgentEpoch, FencingToken } from './ids.js';
import { isJobId } from './ids.js';
import * as r from './read.js';

export type TaskPhase = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
const PHASES: readonly TaskPhase[] = ['fetching', 'waiting', 'running', 'saving', 'exited'];
export type ExitCause = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no_room' | 'busy' | 'unknown';

const CAUSES: Record<string, ExitCause> = {
  done: 'done',
  halted: 'stopped',
  peers: 'peers',
  incomplete: 'alone',
  error: 'error',
  no_room: 'no_room',
  busy: 'busy',
  no_such: 'unknown',
};
const CAUSE_NAMES = Object.fromEntries(Object.entries(CAUSES).map(([k, v]) => [v, k]));

export interface TaskStatus {
  readonly job: JobId;
  readonly task: number;
  readonly attempt: Attempt;
  readonly phase: TaskPhase;
  readonly cause: ExitCause | null;
  readonly saved: boolean;
}

export interface Heartbeat {
  readonly machine: MachineId;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly agentEpoch: AgentEpoch;
  readonly sequence: number;
  readonly fencingToken: FencingToken;
  readonly preemptionNoticeS: number | null;
  readonly tasks: readonly TaskStatus[];
}

export type WorkerCommand =
  | { readonly op: 'start'; readonly job: JobId; readonly task: number; readonly attempt: Attempt }
  | {
      readonly op: 'stop';
      readonly job: JobId;
      readonly task: number;
      readonly attempt: Attempt;
      readonly graceS: number;
    }
  | { readonly op: 'forget'; readonly job: JobId; readonly task: number; readonly attempt: Attempt };

export function formatTaskName(job: JobId, task: number): string {
  return `${job}/${task}`;
}

interface TaskName {
  readonly job: JobId;
  readonly task: number;
}

/** Names read lately: every report repeats those of the one before. Emptied when it is full. */
const names = new Map<string, TaskName>();
const MOST_NAMES = 20_000;

export function parseTaskName(text: string): TaskName {
  let name = names.get(text);
  if (name === undefined) {
    name = readTaskName(text);
    if (names.size >= MOST_NAMES) names.clear();
    names.set(text, name);
  }
  return name;
}

function readTaskName(text: string): TaskName {
  const slash = text.lastIndexOf('/');
  const job = text.slice(0, slash);
  const digits = text.slice(slash + 1);
  if (slash < 0 || !isJobId(job) || !/^\d{1,9}$/.test(digits))
    throw new r.ValidationError('piece', 'a task name');
  return { job, task: Number(digits) };
}

function parseTaskReport(value: unknown): TaskStatus {
  const o = r.asObject(value, 'pieces');
  const cause = r.optionalString(o, 'cause');
  const { job, task } = parseTaskName(r.string(o, 'piece'));
  return {
    job,
    task,
    attempt: r.count(o, 'try') as Attempt,
    phase: r.oneOf(o, 'phase', PHASES),
    // A cause that this version does not know still means the task has ended.
    cause: cause === null ? null : (CAUSES[cause] ?? 'error'),
    saved: r.booleanOrFalse(o, 'saved'),
  };
}

export function parseHeartbeat(body: unknown): Heartbeat {
  const o = r.asObject(body, 'report');
  return {
    machine: r.name(o, 'rig') as MachineId,
    address: r.string(o, 'address'),
    type: r.string(o, 'build'),
    zone: r.string(o, 'yard'),
    spot: r.booleanOrFalse(o, 'loaners'),
    agentEpoch: r.count(o, 'shift') as AgentEpoch,
    sequence: r.count(o, 'tally'),
    fencingToken: (r.optionalCount(o, 'baton') ?? 0) as FencingToken,
    preemptionNoticeS: r.optionalAmount(o, 'recallS'),
    tasks: o['pieces'] === undefined ? [] : r.asArray(o['pieces'], 'pieces').map(parseTaskReport),
  };
}

export function formatHeartbeat(w: Heartbeat): Record<string, unknown> {
  return {
    rig: w.machine,
    address: w.address,
    build: w.type,
    yard: w.zone,
    loaners: w.spot,
    shift: w.agentEpoch,
    tally: w.sequence,
    baton: w.fencingToken,
    recallS: w.preemptionNoticeS,
    pieces: w.tasks.map((t) => ({
      piece: formatTaskName(t.job, t.task),
      try: t.attempt,
      phase: t.phase,
      ...(t.cause === null ? {} : { cause: CAUSE_NAMES[t.cause] }),
      ...(t.saved ? { saved: true } : {}),
    })),
  };
}

function formatCommand(c: WorkerCommand): Record<string, unknown> {
  const piece = formatTaskName(c.job, c.task);
  switch (c.op) {
    case 'start':
      return { verb: 'start', piece, try: c.attempt };
    case 'stop':
      return { verb: 'halt', piece, try: c.attempt, windDownS: c.graceS };
    case 'forget':
      return { verb: 'forget', piece, try: c.attempt };
  }
}

export function formatHeartbeatResponse(token: FencingToken, commands: readonly WorkerCommand[]): unknown {
  return { baton: token, orders: commands.map(formatCommand) };
}

export function formatDirectCommands(
  token: FencingToken,
  session: AgentEpoch,
  commands: readonly WorkerCommand[],
): Record<string, unknown> {
  return { baton: token, shift: session, orders: commands.map(formatCommand) };
}
