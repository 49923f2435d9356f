import { brotliDecompressSync } from 'node:zlib';
import type { ReplicaEntry } from '@spurbridge/recovery';
import { compress, sha256Hex } from '@spurbridge/recovery';
import type { Revision, Version } from '@spurbridge/wire';
import { ValidationError, read } from '@spurbridge/wire';

const FORMAT = 'spurbridge-snapshot';
/** Raised by every change that older programs could not read. */
export const SNAPSHOT_FORMAT_VERSION = 1;
const MOST_HEADER = 4096;

/** What a snapshot says of itself, before anything is unpacked. */
export interface SnapshotHeader {
  readonly deployment: string;
  /** Number of the state service's epoch, and all of its changes up to this revision. */
  readonly epoch: number;
  readonly revision: Revision;
  /** Time of day in milliseconds since 1970. */
  readonly takenAt: number;
  readonly records: number;
  /** Bytes of the records before compression. */
  readonly plainBytes: number;
  /** SHA-256 of the compressed bytes. */
  readonly digest: string;
}

/** A state service's records up to one revision; a memory to be merged (docs/state-loss.md). */
export interface Snapshot extends SnapshotHeader {
  get(key: string): ReplicaEntry | undefined;
  keys(): IterableIterator<string>;
}

/** Why a file is no snapshot that may be used. */
export class SnapshotFormatError extends Error {}

/** One line of JSON, then the records, compressed. */
export function encodeSnapshot(
  h: Pick<SnapshotHeader, 'deployment' | 'epoch' | 'revision' | 'takenAt'>,
  entries: Iterable<readonly [string, ReplicaEntry]>,
): Buffer {
  const records = [...entries].map(([key, s]) => [key, s.version, s.text]);
  const plain = JSON.stringify(records);
  const body = compress(plain);
  const header = {
    format: FORMAT,
    version: SNAPSHOT_FORMAT_VERSION,
    ...h,
    takenAt: Math.round(h.takenAt),
    records: records.length,
    plainBytes: Buffer.byteLength(plain),
    digest: sha256Hex(body),
  };
  return Buffer.concat([Buffer.from(`${JSON.stringify(header)}\n`), body]);
}

/** The header alone. Throws `BadSnapshotError`, which says what is wrong. */
export function decodeSnapshotHeader(bytes: Buffer): {
  readonly header: SnapshotHeader;
  readonly bodyAt: number;
} {
  const end = bytes.subarray(0, MOST_HEADER).indexOf('\n');
  if (end < 0) throw new SnapshotFormatError('no header: this is no snapshot, or it was cut short');
  try {
    const o = read.asObject(JSON.parse(bytes.subarray(0, end).toString()), 'header');
    if (o['format'] !== FORMAT) throw new ValidationError('format', FORMAT);
    if (o['version'] !== SNAPSHOT_FORMAT_VERSION)
      throw new ValidationError('version', String(SNAPSHOT_FORMAT_VERSION));
    const header: SnapshotHeader = {
      deployment: read.name(o, 'deployment'),
      epoch: read.count(o, 'epoch', 1),
      revision: read.count(o, 'revision') as Revision,
      takenAt: read.count(o, 'takenAt'),
      records: read.count(o, 'records'),
      plainBytes: read.count(o, 'plainBytes'),
      digest: read.string(o, 'digest'),
    };
    return { header, bodyAt: end + 1 };
  } catch (e) {
    throw new SnapshotFormatError(e instanceof Error ? e.message : String(e));
  }
}

/** Reads and checks a whole snapshot. Throws `BadSnapshotError`. */
export function decodeSnapshot(bytes: Buffer): Snapshot {
  const { header, bodyAt } = decodeSnapshotHeader(bytes);
  const body = bytes.subarray(bodyAt);
  if (sha256Hex(body) !== header.digest)
    throw new SnapshotFormatError('the checksum does not match: it is damaged');
  const seen = new Map<string, ReplicaEntry>();
  try {
    for (const entry of read.asArray(JSON.parse(brotliDecompressSync(body).toString()), 'records')) {
      const [key, version, text] = read.asArray(entry, 'record');
      if (typeof key !== 'string' || typeof version !== 'number' || typeof text !== 'string')
        throw new ValidationError('record', 'a key, a version and a value');
      seen.set(key, { version: version as Version, text });
    }
  } catch (e) {
    throw new SnapshotFormatError(e instanceof Error ? e.message : String(e));
  }
  if (seen.size !== header.records)
    throw new SnapshotFormatError(`records: expected ${header.records}, found ${seen.size}`);
  return { ...header, get: (key) => seen.get(key), keys: () => seen.keys() };
}
