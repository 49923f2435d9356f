/**
 * The file format of snapshots: one line of JSON as a header, then the records as JSON, compressed.
 *
 * @module
 */
import { brotliDecompressSync } from 'node:zlib';
import type { ReplicaEntry } from '@spurbridge/recovery';
import { compress, sha256Hex } from '@spurbridge/recovery';
import type { Revision, Version } from '@spurbridge/wire';
import { ValidationError, read } from '@spurbridge/wire';
import { SnapshotFormatError } from './errors.js';

const FORMAT_NAME = 'spurbridge-snapshot';
/** Version of the file format, raised by every change that older programs could not read. */
const SNAPSHOT_FORMAT_VERSION = 1;
const MAX_HEADER_BYTES = 4096;
const HEADER_END = '\n';

/** The state of the key-value store that a snapshot holds. */
export interface SnapshotOrigin {
  /** Id of the deployment, assigned at its first start. */
  readonly deployment: string;
  /** Number of the epoch in which the snapshot was taken. */
  readonly epoch: number;
  /** The snapshot holds the effect of all changes up to this revision. */
  readonly revision: Revision;
  /** Wall-clock time in milliseconds since 1970. */
  readonly takenAt: number;
}

/** The header of a snapshot file, which can be read without decompressing the records. */
export interface SnapshotHeader extends SnapshotOrigin {
  /** Number of records. */
  readonly records: number;
  /** Size of the records before compression, in bytes. */
  readonly plainBytes: number;
  /** SHA-256 of the compressed records, in hexadecimal. */
  readonly digest: string;
}

/** All records of the key-value store as of one revision: a replica that recovery can merge (docs/state-loss.md). */
export interface Snapshot extends SnapshotHeader {
  get(key: string): ReplicaEntry | undefined;
  keys(): IterableIterator<string>;
}

/** A decoded header, with the position at which the compressed records begin. */
export interface DecodedHeader {
  readonly header: SnapshotHeader;
  readonly bodyOffset: number;
}

/** Encodes a snapshot file. */
export function encodeSnapshot(
  origin: SnapshotOrigin,
  entries: Iterable<readonly [string, ReplicaEntry]>,
): Buffer {
  const records = [...entries].map(([key, entry]) => [key, entry.version, entry.text]);
  const plainText = JSON.stringify(records);
  const body = compress(plainText);
  const header = {
    format: FORMAT_NAME,
    version: SNAPSHOT_FORMAT_VERSION,
    ...origin,
    takenAt: Math.round(origin.takenAt),
    records: records.length,
    plainBytes: Buffer.byteLength(plainText),
    digest: sha256Hex(body),
  };
  return Buffer.concat([Buffer.from(`${JSON.stringify(header)}${HEADER_END}`), body]);
}

function parseHeader(text: string): SnapshotHeader {
  const fields = read.asObject(JSON.parse(text), 'header');
  if (fields['format'] !== FORMAT_NAME) throw new ValidationError('format', FORMAT_NAME);
  if (fields['version'] !== SNAPSHOT_FORMAT_VERSION)
    throw new ValidationError('version', String(SNAPSHOT_FORMAT_VERSION));
  return {
    deployment: read.name(fields, 'deployment'),
    epoch: read.count(fields, 'epoch', 1),
    revision: read.count(fields, 'revision') as Revision,
    takenAt: read.count(fields, 'takenAt'),
    records: read.count(fields, 'records'),
    plainBytes: read.count(fields, 'plainBytes'),
    digest: read.string(fields, 'digest'),
  };
}

/** Runs a step of decoding, whose errors of any kind mean that the file is not a valid snapshot. */
function asFormatError<Result>(decode: () => Result): Result {
  try {
    return decode();
  } catch (error) {
    throw new SnapshotFormatError(error instanceof Error ? error.message : String(error), { cause: error });
  }
}

/**
 * Decodes the header alone.
 *
 * @throws {@link SnapshotFormatError} that states the defect
 */
export function decodeSnapshotHeader(bytes: Buffer): DecodedHeader {
  const headerEnd = bytes.subarray(0, MAX_HEADER_BYTES).indexOf(HEADER_END);
  if (headerEnd < 0) throw new SnapshotFormatError('no header: the file is not a snapshot or is truncated');
  const header = asFormatError(() => parseHeader(bytes.subarray(0, headerEnd).toString()));
  return { header, bodyOffset: headerEnd + HEADER_END.length };
}

function decodeRecords(body: Buffer): Map<string, ReplicaEntry> {
  const entries = new Map<string, ReplicaEntry>();
  const plainText = brotliDecompressSync(body).toString();
  for (const record of read.asArray(JSON.parse(plainText), 'records')) {
    const [key, version, text] = read.asArray(record, 'record');
    if (typeof key !== 'string' || typeof version !== 'number' || typeof text !== 'string')
      throw new ValidationError('record', 'a key, a version and a value');
    entries.set(key, { version: version as Version, text });
  }
  return entries;
}

/**
 * Decodes a whole snapshot and verifies its checksum and its number of records.
 *
 * @throws {@link SnapshotFormatError} that states the defect
 */
export function decodeSnapshot(bytes: Buffer): Snapshot {
  const { header, bodyOffset } = decodeSnapshotHeader(bytes);
  const body = bytes.subarray(bodyOffset);
  if (sha256Hex(body) !== header.digest)
    throw new SnapshotFormatError('the checksum of the records does not match: the file is damaged');
  const entries = asFormatError(() => decodeRecords(body));
  if (entries.size !== header.records)
    throw new SnapshotFormatError(`records: expected ${header.records}, found ${entries.size}`);
  return { ...header, get: (key) => entries.get(key), keys: () => entries.keys() };
}
