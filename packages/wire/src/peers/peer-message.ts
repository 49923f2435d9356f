/**
 * Messages between controller nodes: length-delimited protobuf frames on a TCP connection. The platform does not
 * specify this protocol; docs/shares.md and docs/state-loss.md describe its use.
 *
 * @module
 */
import protobuf from 'protobufjs/light.js';
import type { NodeId } from '../ids.js';
import { PeerMessageError } from './errors.js';
import type {
  ForwardedHeartbeat,
  ForwardedHeartbeatFields,
  ForwardedHeartbeatResponse,
  ForwardedHeartbeatResponseFields,
} from './forwarded-heartbeat.js';
import {
  FORWARDED_HEARTBEAT_TYPES,
  formatForwardedHeartbeat,
  formatForwardedHeartbeatResponse,
  parseForwardedHeartbeat,
  parseForwardedHeartbeatResponse,
} from './forwarded-heartbeat.js';
import type { PeerStatus, StatusFields } from './peer-status.js';
import { STATUS_TYPE, formatPeerStatus, parsePeerStatus } from './peer-status.js';

/** The progress of a job, which the leader sends to its peers for display to users. */
export interface JobProgress {
  readonly job: string;
  /** Number of completed tasks. */
  readonly done: number;
  /** Number of running tasks. */
  readonly running: number;
}

/** One message to a peer; all parts are optional. */
export interface PeerMessage {
  readonly status?: PeerStatus;
  readonly jobProgress?: readonly JobProgress[];
  /** The node that sends forwarded heartbeats or responses to them. */
  readonly sender?: NodeId;
  readonly forwardedHeartbeats?: readonly ForwardedHeartbeat[];
  readonly forwardedHeartbeatResponses?: readonly ForwardedHeartbeatResponse[];
}

const { Type, Field, Root } = protobuf;
const PROGRESS_TYPE = new Type('Progress')
  .add(new Field('job', 1, 'string'))
  .add(new Field('done', 2, 'uint32'))
  .add(new Field('running', 3, 'uint32'));
const MESSAGE_TYPE = new Type('Message')
  .add(new Field('status', 1, 'Status'))
  .add(new Field('progress', 2, 'Progress', 'repeated'))
  .add(new Field('from', 3, 'string'))
  .add(new Field('forwards', 4, 'Forward', 'repeated'))
  .add(new Field('answers', 5, 'ForwardAnswer', 'repeated'));

const namespace = new Root().define('spurbridge').add(STATUS_TYPE).add(PROGRESS_TYPE).add(MESSAGE_TYPE);
for (const type of FORWARDED_HEARTBEAT_TYPES) namespace.add(type);

/** A decoded message with the field names of its protobuf type; fields that were not sent are null, '' or empty. */
interface MessageFields {
  readonly status: StatusFields | null;
  readonly progress: readonly JobProgress[];
  readonly from: string;
  readonly forwards: readonly ForwardedHeartbeatFields[];
  readonly answers: readonly ForwardedHeartbeatResponseFields[];
}

/** Maximum size of a message without its length prefix, in bytes. */
const MAX_FRAME_BYTES = 1 << 20;

function formatJobProgress(progress: JobProgress): JobProgress {
  return { job: progress.job, done: progress.done, running: progress.running };
}

function formatMessage(message: PeerMessage): Partial<MessageFields> {
  const { status, jobProgress, sender, forwardedHeartbeats, forwardedHeartbeatResponses } = message;
  return {
    ...(status === undefined ? {} : { status: formatPeerStatus(status) }),
    ...(jobProgress === undefined ? {} : { progress: jobProgress.map(formatJobProgress) }),
    ...(sender === undefined ? {} : { from: sender }),
    ...(forwardedHeartbeats === undefined
      ? {}
      : { forwards: forwardedHeartbeats.map(formatForwardedHeartbeat) }),
    ...(forwardedHeartbeatResponses === undefined
      ? {}
      : { answers: forwardedHeartbeatResponses.map(formatForwardedHeartbeatResponse) }),
  };
}

function parseMessage(fields: MessageFields): PeerMessage {
  const { status, progress, from, forwards, answers } = fields;
  return {
    ...(status === null ? {} : { status: parsePeerStatus(status) }),
    jobProgress: progress.map(formatJobProgress),
    ...(from === '' ? {} : { sender: from as NodeId }),
    ...(forwards.length === 0
      ? {}
      : {
          forwardedHeartbeats: forwards
            .map(parseForwardedHeartbeat)
            .filter((heartbeat) => heartbeat !== null),
        }),
    ...(answers.length === 0
      ? {}
      : { forwardedHeartbeatResponses: answers.map(parseForwardedHeartbeatResponse) }),
  };
}

/** The frame of a message: its length as a varint, then its protobuf form. */
export function encodePeerMessage(message: PeerMessage): Uint8Array {
  return MESSAGE_TYPE.encodeDelimited(MESSAGE_TYPE.create(formatMessage(message))).finish();
}

/** The length prefix of a frame: the length of the message, and the size of the prefix itself, in bytes. */
interface LengthPrefix {
  readonly length: number;
  readonly size: number;
}

/** Bits of the length that one byte of the prefix holds; the byte's top bit says whether another byte follows. */
const VARINT_BITS = 7;
const VARINT_MASK = 0x7f;
const VARINT_CONTINUES = 0x80;
/** A prefix that continues beyond this shift is malformed, because five bytes can hold every valid length. */
const MAX_VARINT_SHIFT = 28;

/** Reads a length prefix; null while more bytes are needed. */
function decodeLengthPrefix(bytes: Uint8Array): LengthPrefix | null {
  let length = 0;
  let size = 0;
  for (let shift = 0; ; shift += VARINT_BITS) {
    const byte = bytes[size];
    if (byte === undefined) return null;
    size += 1;
    length += (byte & VARINT_MASK) * 2 ** shift;
    if ((byte & VARINT_CONTINUES) === 0) return { length, size };
    if (shift > MAX_VARINT_SHIFT)
      throw new PeerMessageError(`peer frame length is malformed: the varint continues after ${size} bytes`);
  }
}

/** A message and the size of its frame, in bytes. */
export interface DecodedPeerMessage {
  readonly message: PeerMessage;
  readonly size: number;
}

/**
 * Decodes the first whole frame of `bytes`; null while more bytes are needed. Throws a `PeerMessageError` if they are
 * not a valid frame or the message cannot be read, and errors of protobufjs if its fields are malformed.
 */
export function decodePeerMessage(bytes: Uint8Array): DecodedPeerMessage | null {
  const prefix = decodeLengthPrefix(bytes);
  if (prefix === null) return null;
  if (prefix.length > MAX_FRAME_BYTES)
    throw new PeerMessageError(
      `peer frame is too long: expected at most ${MAX_FRAME_BYTES} bytes, got ${prefix.length}`,
    );
  const size = prefix.size + prefix.length;
  if (bytes.length < size) return null;
  const fields = MESSAGE_TYPE.decode(bytes.subarray(prefix.size, size)) as unknown as MessageFields;
  return { message: parseMessage(fields), size };
}
