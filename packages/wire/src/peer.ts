import protobuf from 'protobufjs/light.js';
import type { ForwardedHeartbeat, ForwardedHeartbeatResponse } from './forward.js';
import { FORWARD_TYPES, answerFromWire, answerToWire, forwardFromWire, forwardToWire } from './forward.js';
import type { NodeId, FencingToken } from './ids.js';

/** What controllers tell each other on the `back` link: length-delimited protobuf messages. */
export interface PeerStatus {
  readonly node: NodeId;
  /** Highest token that the sender knows, and the node it belongs to ('' when unknown). */
  readonly token: FencingToken;
  readonly leader: NodeId;
  /** Whether the sender has lately been served by the state service. */
  readonly stateOk: boolean;
  /** Number of the state service's epoch that the sender follows, or helps to gather; 0 when it has no copy. */
  readonly epoch: number;
  /** Id of the epoch that it follows, or doubts ('' when it has not entered it): two of one number are two stores. */
  readonly epochId: string;
  /** Highest revision that it knows of in that epoch. */
  readonly revision: number;
  /** Whether it trusts the state service now. */
  readonly trusted: boolean;
  /** Whether it has followed the epoch without a gap (docs/state-loss.md). */
  readonly continuous: boolean;
  /** Whether it leads and answers reports that others forward; a node of an earlier version does not (docs/shares.md). */
  readonly takesReports: boolean;
  /** Whether it leads and has read the records: holders tell it what they know of their machines. */
  readonly ready: boolean;
  /** Machines whose workers report to it. */
  readonly machines: number;
  /** Whether workers may be sent to it: it can answer them, and has long been able to. */
  readonly holds: boolean;
  /** What speaks against it as a leader (`Candidate` of the store); 0: nothing, or of an earlier version. */
  readonly burden: number;
  /** Version of the configuration that it goes by; a leader's that of its last plan. 0: the settings file, or of an earlier version. */
  readonly configuration: number;
  /** How long ago it could last confirm that, in milliseconds. */
  readonly configurationAgeMs: number;
}

export interface JobProgress {
  readonly job: string;
  readonly done: number;
  readonly running: number;
}

export interface PeerMessage {
  readonly status?: PeerStatus;
  readonly progress?: readonly JobProgress[];
  /** Who sends forwards or answers. */
  readonly from?: NodeId;
  readonly forwards?: readonly ForwardedHeartbeat[];
  readonly answers?: readonly ForwardedHeartbeatResponse[];
}

const { Type, Field, Root } = protobuf;
const Status = new Type('Status')
  .add(new Field('node', 1, 'string'))
  .add(new Field('token', 2, 'double'))
  .add(new Field('leader', 3, 'string'))
  .add(new Field('stateOk', 4, 'bool'))
  .add(new Field('epoch', 5, 'uint32'))
  .add(new Field('revision', 6, 'double'))
  .add(new Field('trusted', 7, 'bool'))
  .add(new Field('continuous', 8, 'bool'))
  .add(new Field('epochId', 9, 'string'))
  .add(new Field('takesReports', 10, 'bool'))
  .add(new Field('ready', 11, 'bool'))
  .add(new Field('machines', 12, 'uint32'))
  .add(new Field('holds', 13, 'bool'))
  .add(new Field('burden', 14, 'uint32'))
  .add(new Field('configuration', 15, 'uint32'))
  .add(new Field('configurationAgeMs', 16, 'uint32'));
const Progress = new Type('Progress')
  .add(new Field('job', 1, 'string'))
  .add(new Field('done', 2, 'uint32'))
  .add(new Field('running', 3, 'uint32'));
const Message = new Type('Message')
  .add(new Field('status', 1, 'Status'))
  .add(new Field('progress', 2, 'Progress', 'repeated'))
  .add(new Field('from', 3, 'string'))
  .add(new Field('forwards', 4, 'Forward', 'repeated'))
  .add(new Field('answers', 5, 'ForwardAnswer', 'repeated'));
const namespace = new Root().define('spurbridge').add(Status).add(Progress).add(Message);
for (const type of FORWARD_TYPES) namespace.add(type);

export const MAX_FRAME_BYTES = 1 << 20;

/** The members of a status as its protobuf message names them. */
interface WireStatus {
  readonly node: string;
  readonly token: number;
  readonly leader: string;
  readonly stateOk: boolean;
  readonly epoch: number;
  readonly revision: number;
  readonly trusted: boolean;
  readonly continuous: boolean;
  readonly epochId: string;
  readonly takesReports: boolean;
  readonly ready: boolean;
  readonly machines: number;
  readonly holds: boolean;
  readonly burden: number;
  readonly configuration: number;
  readonly configurationAgeMs: number;
}

function statusToWire(status: PeerStatus): WireStatus {
  return {
    node: status.node,
    token: status.token,
    leader: status.leader,
    stateOk: status.stateOk,
    epoch: status.epoch,
    revision: status.revision,
    trusted: status.trusted,
    continuous: status.continuous,
    epochId: status.epochId,
    takesReports: status.takesReports,
    ready: status.ready,
    machines: status.machines,
    holds: status.holds,
    burden: status.burden,
    configuration: status.configuration,
    configurationAgeMs: status.configurationAgeMs,
  };
}

function statusFromWire(status: WireStatus): PeerStatus {
  return {
    node: status.node as NodeId,
    token: status.token as FencingToken,
    leader: status.leader as NodeId,
    stateOk: status.stateOk,
    epoch: status.epoch,
    epochId: status.epochId,
    revision: status.revision,
    trusted: status.trusted,
    continuous: status.continuous,
    takesReports: status.takesReports,
    ready: status.ready,
    machines: status.machines,
    holds: status.holds,
    burden: status.burden,
    configuration: status.configuration,
    configurationAgeMs: status.configurationAgeMs,
  };
}

function messageToWire(m: PeerMessage): Record<string, unknown> {
  const { status, progress, from, forwards, answers } = m;
  return {
    ...(status === undefined ? {} : { status: statusToWire(status) }),
    ...(progress === undefined
      ? {}
      : { progress: progress.map((p) => ({ job: p.job, done: p.done, running: p.running })) }),
    ...(from === undefined ? {} : { from }),
    ...(forwards === undefined ? {} : { forwards: forwards.map(forwardToWire) }),
    ...(answers === undefined ? {} : { answers: answers.map(answerToWire) }),
  };
}

export function encodePeerMessage(m: PeerMessage): Uint8Array {
  return Message.encodeDelimited(Message.create(messageToWire(m))).finish();
}

/** Decodes the first whole frame of `bytes`; null while more bytes are needed. */
export function decodePeerMessage(bytes: Uint8Array): { message: PeerMessage; size: number } | null {
  let length = 0;
  let at = 0;
  for (let shift = 0; ; shift += 7) {
    const byte = bytes[at];
    if (byte === undefined) return null;
    at += 1;
    length += (byte & 0x7f) * 2 ** shift;
    if ((byte & 0x80) === 0) break;
    if (shift > 28) throw new Error('peer frame length is malformed');
  }
  if (length > MAX_FRAME_BYTES) throw new Error('peer frame is too long');
  if (bytes.length < at + length) return null;
  const decoded = Message.decode(bytes.subarray(at, at + length)) as unknown as Decoded;
  const { status, progress, from, forwards, answers } = decoded;
  // Fields that were not sent are read as their type's default.
  const message: PeerMessage = {
    ...(status === null ? {} : { status: statusFromWire(status) }),
    progress: progress.map((p) => ({ job: p.job, done: p.done, running: p.running })),
    ...(from === '' ? {} : { from: from as NodeId }),
    ...(forwards.length === 0
      ? {}
      : { forwards: forwards.map(forwardFromWire).filter((f): f is ForwardedHeartbeat => f !== null) }),
    ...(answers.length === 0 ? {} : { answers: answers.map(answerFromWire) }),
  };
  return { message, size: at + length };
}

interface Decoded {
  readonly status: WireStatus | null;
  readonly progress: readonly JobProgress[];
  readonly from: string;
  readonly forwards: readonly Parameters<typeof forwardFromWire>[0][];
  readonly answers: readonly Parameters<typeof answerFromWire>[0][];
}
