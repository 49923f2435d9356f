import { createHash } from 'node:crypto';
import { brotliCompressSync, brotliDecompressSync, constants } from 'node:zlib';
import type { KeyValue, NodeId, FencingToken, Version } from '@spurbridge/wire';
import { JOB_KEY_PREFIX, TASK_KEY_PREFIX } from '@spurbridge/model';
import { read } from '@spurbridge/wire';
import { CONTRIBUTION_PREFIX } from '../epoch/epoch-record.js';
import type { RecordRepair } from '../replica/merge.js';

/** Room in a value for what is around the text of a page. */
const FRAME_BYTES = 256;
const QUALITY = 4;

/** A node's word in a gathering epoch: it gives no orders any more, and what it remembers is on so many pages. */
export interface ContributionMarker {
  readonly pages: number;
  /** SHA-256 of the compressed bytes. */
  readonly digest: string;
  /** Token under which this process has led last; 0 if never. */
  readonly led: FencingToken;
  /** Highest token that it has seen. */
  readonly seen: FencingToken;
  /** Whether its copy was continuous. */
  readonly continuous: boolean;
  /** Highest lease id that it was granted. */
  readonly lease: number;
}

export function contributionKeyPrefix(id: string, node: NodeId): string {
  return `${CONTRIBUTION_PREFIX}${id}/${node}/`;
}

export function markerKey(id: string, node: NodeId): string {
  return `${contributionKeyPrefix(id, node)}done`;
}

export function compress(text: string): Buffer {
  return brotliCompressSync(text, { params: { [constants.BROTLI_PARAM_QUALITY]: QUALITY } });
}

export function sha256Hex(bytes: Uint8Array): string {
  return createHash('sha256').update(bytes).digest('hex');
}

/** Most needed first: open jobs, then their tasks, then the rest. */
export function writeBackPriority(key: string): number {
  return key.startsWith(JOB_KEY_PREFIX) ? 0 : key.startsWith(TASK_KEY_PREFIX) ? 1 : 2;
}

/** Repairs as pages of at most `valueKb` KiB, as values of the store. */
export function encodePages(
  repairs: readonly RecordRepair[],
  valueKb: number,
): { readonly pages: readonly string[]; readonly digest: string } {
  if (repairs.length === 0) return { pages: [], digest: '' };
  const ordered = [...repairs].sort((a, b) => writeBackPriority(a.key) - writeBackPriority(b.key));
  const bytes = compress(JSON.stringify(ordered.map((r) => [r.key, r.epoch, r.version, r.over, r.text])));
  const text = bytes.toString('base64');
  const most = valueKb * 1024 - FRAME_BYTES;
  const pages: string[] = [];
  for (let i = 0; i < text.length; i += most) pages.push(text.slice(i, i + most));
  return { pages, digest: sha256Hex(bytes) };
}

function decodePages(pages: readonly string[], digest: string): RecordRepair[] {
  if (pages.length === 0) return [];
  const bytes = Buffer.from(pages.join(''), 'base64');
  if (sha256Hex(bytes) !== digest) throw new Error('the checksum does not match');
  const entries = read.asArray(JSON.parse(brotliDecompressSync(bytes).toString()), 'pages');
  return entries.map((entry) => {
    const [key, epoch, version, over, text] = read.asArray(entry, 'page entry');
    if (typeof key !== 'string' || typeof text !== 'string') throw new Error('a page entry is malformed');
    return { key, epoch: epoch as number, version: version as Version, over: over as Version, text };
  });
}

export interface Contribution {
  readonly id: string;
  readonly node: NodeId;
  readonly marker: ContributionMarker;
  readonly repairs: readonly RecordRepair[];
}

/** What nodes have contributed, from all keys below `m/`. Damaged pages are told and passed over. */
export function readContributions(
  items: Iterable<KeyValue>,
  damaged: (what: string) => void,
): Contribution[] {
  const byPrefix = new Map<
    string,
    { id: string; node: NodeId; pages: string[]; marker: ContributionMarker | null }
  >();
  for (const item of items) {
    const [, id, node, part] = item.key.split('/');
    if (!item.key.startsWith(CONTRIBUTION_PREFIX) || id === undefined || node === undefined) continue;
    const prefix = contributionKeyPrefix(id, node as NodeId);
    const found = byPrefix.get(prefix) ?? { id, node: node as NodeId, pages: [], marker: null };
    byPrefix.set(prefix, found);
    try {
      const o = read.asObject(item.value, item.key);
      if (part === 'done')
        found.marker = {
          pages: read.count(o, 'pages'),
          digest: read.string(o, 'digest'),
          led: read.count(o, 'led') as FencingToken,
          seen: read.count(o, 'seen') as FencingToken,
          continuous: read.boolean(o, 'continuous'),
          lease: read.count(o, 'lease'),
        };
      else found.pages[Number(part)] = read.string(o, 'text');
    } catch (e) {
      damaged(`${item.key}: ${String(e)}`);
    }
  }
  const contributions: Contribution[] = [];
  for (const [prefix, c] of byPrefix) {
    if (c.marker === null) continue;
    try {
      // A marker may be older than pages of a later try under it: only its own number counts.
      const repairs = decodePages(c.pages.slice(0, c.marker.pages), c.marker.digest);
      contributions.push({ id: c.id, node: c.node, marker: c.marker, repairs });
    } catch (e) {
      damaged(`${prefix}: ${String(e)}`);
    }
  }
  return contributions;
}
