/**
 * The status that a controller node sends to its peers, and its protobuf form. Field numbers and types are fixed: nodes
 * of earlier versions read and write them too.
 *
 * @module
 */
import protobuf from 'protobufjs/light.js';
import type { FencingToken, NodeId } from '../ids.js';

/** State of a controller node, sent to all peers at intervals and when it changes. */
export interface PeerStatus extends PeerStoreStatus, PeerShardStatus, PeerConfigurationStatus {
  readonly node: NodeId;
  /** Highest fencing token of an election that the sender knows; 0 when it knows none. */
  readonly fencingToken: FencingToken;
  /** Highest token of that leader's term that the sender knows. A node of an earlier version does not send it. */
  readonly latestToken: FencingToken;
  /** The node that the token belongs to; '' when unknown. */
  readonly leader: NodeId;
  /** Whether the key-value store has recently served the sender. */
  readonly isStoreReachable: boolean;
  /**
   * Number of reasons against electing the sender (`LeaderCandidate` of the package `store`); 0 for none, or for a node
   * whose software does not send this field.
   */
  readonly leadershipPenalty: number;
}

/** The part of a status that describes the node's replica of the key-value store (docs/state-loss.md). */
export interface PeerStoreStatus {
  /** Number of the store epoch that the sender follows or helps to recover; 0 when it has no replica. */
  readonly storeEpoch: number;
  /**
   * Id of the epoch that it follows or distrusts; '' when it has not entered one. Different ids under the same number
   * mean different stores.
   */
  readonly storeEpochId: string;
  /** Highest known revision of that epoch. */
  readonly storeRevision: number;
  /** Whether it trusts the key-value store now. */
  readonly isStoreTrusted: boolean;
  /** Whether it has followed the epoch without a gap. */
  readonly hasContinuousReplica: boolean;
}

/** The part of a status that describes the shard of workers that the node serves (docs/shares.md). */
export interface PeerShardStatus {
  /** Whether it leads and responds to heartbeats that peers forward; a node of an earlier version does not. */
  readonly acceptsForwardedHeartbeats: boolean;
  /** Whether it leads and has read the records: peers then send it the latest heartbeats of their shards. */
  readonly isLeaderReady: boolean;
  /** Number of machines whose workers send their heartbeats to it. */
  readonly shardSize: number;
  /** Whether workers may be redirected to it, because it has been able to serve them for some time. */
  readonly canServeWorkers: boolean;
}

/** The part of a status that describes the configuration that the node uses. */
export interface PeerConfigurationStatus {
  /**
   * Configuration version in use; on a leader, that of its last scheduling pass. It is 0 while the node uses the
   * settings file, and for a node whose software does not send this field.
   */
  readonly configurationVersion: number;
  /** How long ago the node could last confirm that version, in milliseconds. */
  readonly configurationAgeMs: number;
}

const { Type, Field } = protobuf;

/** Protobuf type of a status. */
export const STATUS_TYPE = new Type('Status')
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
  .add(new Field('configurationAgeMs', 16, 'uint32'))
  .add(new Field('latestToken', 17, 'double'));

/** A status with the field names of its protobuf type. */
export interface StatusFields {
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
  /** Omitted where it equals `token`. */
  readonly latestToken?: number;
}

/** The protobuf form of a status. */
export function formatPeerStatus(status: PeerStatus): StatusFields {
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
    ...(status.latestToken > status.fencingToken ? { latestToken: status.latestToken } : {}),
  };
}

/** Reads the protobuf form of a status; fields that were not sent have their type's default. */
export function parsePeerStatus(fields: StatusFields): PeerStatus {
  return {
    node: fields.node as NodeId,
    fencingToken: fields.token as FencingToken,
    latestToken: Math.max(fields.token, fields.latestToken ?? 0) as FencingToken,
    leader: fields.leader as NodeId,
    isStoreReachable: fields.stateOk,
    storeEpoch: fields.epoch,
    storeEpochId: fields.epochId,
    storeRevision: fields.revision,
    isStoreTrusted: fields.trusted,
    hasContinuousReplica: fields.continuous,
    acceptsForwardedHeartbeats: fields.takesReports,
    isLeaderReady: fields.ready,
    shardSize: fields.machines,
    canServeWorkers: fields.holds,
    leadershipPenalty: fields.burden,
    configurationVersion: fields.configuration,
    configurationAgeMs: fields.configurationAgeMs,
  };
}
