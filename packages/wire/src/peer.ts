import protobuf from 'protobufjs/light.js';
import type { NodeId, Token } from './ids.js';

/** What controllers tell each other on the `back` link: length-delimited protobuf messages. */
export interface PeerStatus {
  readonly node: NodeId;
  /** Highest token that the sender knows, and the node it belongs to ('' when unknown). */
  readonly token: Token;
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
}

export interface JobProgress {
  readonly job: string;
  readonly done: number;
  readonly running: number;
}

export interface PeerMessage {
  readonly status?: PeerStatus;
  readonly progress?: readonly JobProgress[];
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
  .add(new Field('epochId', 9, 'string'));
const Progress = new Type('Progress')
  .add(new Field('job', 1, 'string'))
  .add(new Field('done', 2, 'uint32'))
  .add(new Field('running', 3, 'uint32'));
const Message = new Type('Message')
  .add(new Field('status', 1, 'Status'))
  .add(new Field('progress', 2, 'Progress', 'repeated'));
new Root().define('spurbridge').add(Status).add(Progress).add(Message);

export const MAX_FRAME_BYTES = 1 << 20;

export function encodePeerMessage(m: PeerMessage): Uint8Array {
  return Message.encodeDelimited(Message.create(m as Record<string, unknown>)).finish();
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
  const decoded = Message.decode(bytes.subarray(at, at + length));
  const plain = Message.toObject(decoded, { defaults: true }) as {
    status: PeerStatus | null;
    progress: JobProgress[];
  };
  return {
    message: { ...(plain.status === null ? {} : { status: plain.status }), progress: plain.progress },
    size: at + length,
  };
}
