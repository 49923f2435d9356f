import protobuf from 'protobufjs/light.js';
import type { ForwardedHeartbeat, ForwardedHeartbeatResponse } from './forward.js';
import { FORWARD_TYPES, answerFromWire, answerToWire, forwardFromWire, forwardToWire } from './forward.js';
import type { NodeId, FencingToken } from './ids.js';

/** What controllers tell each other on the `back` link: length-delimited protobuf messages. */
export interface PeerStatus extends PeerStoreStatus, PeerShardStatus, PeerConfigurationStatus {
  readonly node: NodeId;
  /** Highest fencing token that the sender knows; 0 when it knows none. */
  readonly fencingToken: FencingToken;
  /** The node that the token belongs to; '' when unknown. */
  readonly leader: NodeId;
  /** Whether the key-value store has served the sender lately. */
  readonly isStoreReachable: boolean;
  /** What speaks against the sender as a leader (`LeaderCandidate` of the package `store`); 0: nothing, or of an earlier version. */
  readonly leadershipPenalty: number;
}

/** What a node tells its peers about its replica of the key-value store (docs/state-loss.md). */
export interface PeerStoreStatus {
  /** Number of the store epoch that the sender follows or helps to recover; 0 when it has no replica. */
  readonly storeEpoch: number;
  /** Id of the epoch that it follows or distrusts; '' when it has not entered one. Two ids under one number are two stores. */
  readonly storeEpochId: string;
  /** Highest revision that it knows of in that epoch. */
  readonly storeRevision: number;
  /** Whether it trusts the key-value store now. */
  readonly isStoreTrusted: boolean;
  /** Whether it has followed the epoch without a gap. */
  readonly hasContinuousReplica: boolean;
}

/** What a node tells its peers about the shard of workers that it serves (docs/shares.md). */
export interface PeerShardStatus {
  /** Whether it leads and responds to heartbeats that peers forward; a node of an earlier version does not. */
  readonly acceptsForwardedHeartbeats: boolean;
  /** Whether it leads and has read the records: peers then send it the latest heartbeats of their shards. */
  readonly isLeaderReady: boolean;
  /** Number of machines whose workers send their heartbeats to it. */
  readonly shardSize: number;
  /** Whether workers may be redirected to it: it is able to respond to them, and has been for some time. */
  readonly canServeWorkers: boolean;
}

/** What a node tells its peers about the configuration that it uses. */
export interface PeerConfigurationStatus {
  /** Version in use, on a leader that of its last plan. 0: the settings file, or a node of an earlier version. */
  readonly configurationVersion: number;
  /** How long ago the node could last confirm that version, in milliseconds. */
  readonly configurationAgeMs: number;
}

export interface JobProgress {
  readonly job: string;
  readonly done: number;
  readonly running: number;
}

export interface PeerMessage {
  readonly status?: PeerStatus;
  readonly jobProgress?: readonly JobProgress[];
  /** Who sends forwards or answers. */
  readonly sender?: NodeId;
  readonly forwardedHeartbeats?: readonly ForwardedHeartbeat[];
  readonly forwardedHeartbeatResponses?: readonly ForwardedHeartbeatResponse[];
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
    token: status.fencingToken,
    leader: status.leader,
    stateOk: status.isStoreReachable,
    epoch: status.storeEpoch,
    revision: status.storeRevision,
    trusted: status.isStoreTrusted,
    continuous: status.hasContinuousReplica,
    epochId: status.storeEpochId,
    takesReports: status.acceptsForwardedHeartbeats,
    ready: status.isLeaderReady,
    machines: status.shardSize,
    holds: status.canServeWorkers,
    burden: status.leadershipPenalty,
    configuration: status.configurationVersion,
    configurationAgeMs: status.configurationAgeMs,
  };
}

function statusFromWire(status: WireStatus): PeerStatus {
  return {
    node: status.node as NodeId,
    fencingToken: status.token as FencingToken,
    leader: status.leader as NodeId,
    isStoreReachable: status.stateOk,
    storeEpoch: status.epoch,
    storeEpochId: status.epochId,
    storeRevision: status.revision,
    isStoreTrusted: status.trusted,
    hasContinuousReplica: status.continuous,
    acceptsForwardedHeartbeats: status.takesReports,
    isLeaderReady: status.ready,
    shardSize: status.machines,
    canServeWorkers: status.holds,
    leadershipPenalty: status.burden,
    configurationVersion: status.configuration,
    configurationAgeMs: status.configurationAgeMs,
  };
}

function messageToWire(m: PeerMessage): Record<string, unknown> {
  const {
    status,
    jobProgress: progress,
    sender: from,
    forwardedHeartbeats: forwards,
    forwardedHeartbeatResponses: answers,
  } = m;
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
    jobProgress: progress.map((p) => ({ job: p.job, done: p.done, running: p.running })),
    ...(from === '' ? {} : { sender: from as NodeId }),
    ...(forwards.length === 0
      ? {}
      : {
          forwardedHeartbeats: forwards
            .map(forwardFromWire)
            .filter((f): f is ForwardedHeartbeat => f !== null),
        }),
    ...(answers.length === 0 ? {} : { forwardedHeartbeatResponses: answers.map(answerFromWire) }),
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
