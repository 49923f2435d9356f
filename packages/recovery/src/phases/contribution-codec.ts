/**
 * Contributions of controllers to a recovery, as they are kept in the key-value store: numbered pages with compressed
 * records, and a marker that says that the contribution is complete.
 *
 * @module
 */
import { brotliDecompressSync } from 'node:zlib';
import type { FencingToken, KeyValue, NodeId, Version } from '@spurbridge/wire';
import { read } from '@spurbridge/wire';
import { compress, sha256Hex } from '../compression.js';
import { CONTRIBUTION_PREFIX } from '../epoch/control-keys.js';
import { ContributionFormatError } from '../errors.js';
import type { RecordRepair } from '../replica/merge.js';
import { writeBackPriority } from './write-back-priority.js';

/** Bytes of a value that are reserved for the JSON around the text of a page. */
const PAGE_OVERHEAD_BYTES = 256;
const BYTES_PER_KIB = 1024;
/** Last part of a marker's key, in the place of the page number in a page's key. */
const MARKER_PART = 'done';

/**
 * States that a controller no longer relies on any lease from before the recovery, and that its contribution is
 * complete.
 */
export interface ContributionMarker {
  readonly pageCount: number;
  /** SHA-256 of the compressed bytes. */
  readonly digest: string;
  /** Highest fencing token that this process gave to workers as the leader; 0 if it never led. */
  readonly lastLedToken: FencingToken;
  /** Highest token that the process has seen. */
  readonly highestSeenToken: FencingToken;
  /** Whether the process had followed its epoch without a gap. */
  readonly continuous: boolean;
  /** Highest lease id that the process was granted. */
  readonly highestLeaseId: number;
}

/** A complete contribution. */
export interface Contribution {
  readonly epochId: string;
  readonly node: NodeId;
  readonly marker: ContributionMarker;
  readonly repairs: readonly RecordRepair[];
}

/** Pages that hold repairs, with the checksum that the marker names. */
export interface EncodedPages {
  readonly pages: readonly string[];
  /** SHA-256 of the compressed bytes; empty without any page. */
  readonly digest: string;
}

/** Returns the prefix of the keys of all contributions to an epoch. */
export function epochContributionPrefix(epochId: string): string {
  return `${CONTRIBUTION_PREFIX}${epochId}/`;
}

/** Returns the prefix of all keys of a controller's contribution to an epoch. */
export function contributionKeyPrefix(epochId: string, node: NodeId): string {
  return `${epochContributionPrefix(epochId)}${node}/`;
}

/** Returns the key of the marker of a controller's contribution to an epoch. */
export function markerKey(epochId: string, node: NodeId): string {
  return `${contributionKeyPrefix(epochId, node)}${MARKER_PART}`;
}

/** Returns the key of a page of a controller's contribution to an epoch. */
export function pageKey(epochId: string, node: NodeId, page: number): string {
  return `${contributionKeyPrefix(epochId, node)}${page}`;
}

/** Returns whether a key is that of a marker. */
export function isMarkerKey(key: string): boolean {
  return key.endsWith(`/${MARKER_PART}`);
}

/** Encodes a marker as the value of its key. */
export function encodeMarker(marker: ContributionMarker): Record<string, unknown> {
  return {
    pages: marker.pageCount,
    digest: marker.digest,
    led: marker.lastLedToken,
    seen: marker.highestSeenToken,
    continuous: marker.continuous,
    lease: marker.highestLeaseId,
  };
}

function decodeMarker(record: Readonly<Record<string, unknown>>): ContributionMarker {
  return {
    pageCount: read.count(record, 'pages'),
    digest: read.string(record, 'digest'),
    lastLedToken: read.count(record, 'led') as FencingToken,
    highestSeenToken: read.count(record, 'seen') as FencingToken,
    continuous: read.boolean(record, 'continuous'),
    highestLeaseId: read.count(record, 'lease'),
  };
}

/** Encodes the text of a page as the value of its key. */
export function encodePage(text: string): Record<string, unknown> {
  return { text };
}

/** Encodes repairs as the texts of pages whose values take `valueKb` KiB at most. */
export function encodePages(repairs: readonly RecordRepair[], valueKb: number): EncodedPages {
  if (repairs.length === 0) return { pages: [], digest: '' };
  const ordered = [...repairs].sort(
    (first, second) => writeBackPriority(first.key) - writeBackPriority(second.key),
  );
  const bytes = compress(
    JSON.stringify(
      ordered.map(({ key, epoch, version, replacedVersion, text }) => [
        key,
        epoch,
        version,
        replacedVersion,
        text,
      ]),
    ),
  );
  const text = bytes.toString('base64');
  const pageLength = valueKb * BYTES_PER_KIB - PAGE_OVERHEAD_BYTES;
  const pages: string[] = [];
  for (let start = 0; start < text.length; start += pageLength)
    pages.push(text.slice(start, start + pageLength));
  return { pages, digest: sha256Hex(bytes) };
}

function decodePages(pages: readonly string[], digest: string): RecordRepair[] {
  if (pages.length === 0) return [];
  const bytes = Buffer.from(pages.join(''), 'base64');
  const actualDigest = sha256Hex(bytes);
  if (actualDigest !== digest) throw new ContributionFormatError('checksum', digest, actualDigest);
  const entries = read.asArray(JSON.parse(brotliDecompressSync(bytes).toString()), 'pages');
  return entries.map(decodePageEntry);
}

function decodePageEntry(entry: unknown): RecordRepair {
  const [key, epoch, version, replacedVersion, text] = read.asArray(entry, 'page entry');
  if (typeof key !== 'string' || typeof text !== 'string')
    throw new ContributionFormatError(
      'page entry',
      'a string key and a string value',
      `${typeof key} and ${typeof text}`,
    );
  return {
    key,
    epoch: epoch as number,
    version: version as Version,
    replacedVersion: replacedVersion as Version,
    text,
  };
}

/** Pages and marker of one contribution, as far as they were found. */
interface PartialContribution {
  readonly epochId: string;
  readonly node: NodeId;
  readonly pages: string[];
  marker: ContributionMarker | null;
}

/**
 * Decodes all complete contributions among the given keys.
 *
 * @param onDamaged - Called with a description of each key, or contribution, that cannot be decoded and is left out.
 */
export function readContributions(
  keyValues: Iterable<KeyValue>,
  onDamaged: (description: string) => void,
): Contribution[] {
  const contributions: Contribution[] = [];
  for (const [prefix, { epochId, node, pages, marker }] of groupByContribution(keyValues, onDamaged)) {
    if (marker === null) continue;
    try {
      // Pages of a later attempt may already exist while the marker is that of an earlier one, so the marker's page
      // count decides.
      const repairs = decodePages(pages.slice(0, marker.pageCount), marker.digest);
      contributions.push({ epochId, node, marker, repairs });
    } catch (error) {
      // The checksum does not match, or the text is not valid Base64, Brotli or JSON.
      onDamaged(`${prefix}: ${String(error)}`);
    }
  }
  return contributions;
}

function groupByContribution(
  keyValues: Iterable<KeyValue>,
  onDamaged: (description: string) => void,
): Map<string, PartialContribution> {
  const partials = new Map<string, PartialContribution>();
  for (const { key, value } of keyValues) {
    const [, epochId, node, part] = key.split('/') as [string, string?, NodeId?, string?];
    if (!key.startsWith(CONTRIBUTION_PREFIX) || epochId === undefined || node === undefined) continue;
    const prefix = contributionKeyPrefix(epochId, node);
    const partial = partials.get(prefix) ?? { epochId, node, pages: [], marker: null };
    partials.set(prefix, partial);
    try {
      const record = read.asObject(value, key);
      if (part === MARKER_PART) partial.marker = decodeMarker(record);
      else partial.pages[Number(part)] = read.string(record, 'text');
    } catch (error) {
      // The value has neither the form of a marker nor that of a page.
      onDamaged(`${key}: ${String(error)}`);
    }
  }
  return partials;
}
