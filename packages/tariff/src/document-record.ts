/**
 * The stored form of a tariff: compressed, and cut into parts that each fit into one value.
 *
 * @module
 */
import { brotliCompressSync, brotliDecompressSync } from 'node:zlib';
import type { TariffDocument } from '@spurbridge/wire';
import { formatTariff, parseTariff, read } from '@spurbridge/wire';

/** What a part's value takes beside its text. */
const PART_RESERVE_BYTES = 64;

/** A tariff in its stored form. */
export interface PackedDocument {
  /** Value of the record that says how many parts there are. */
  readonly head: { readonly revision: number; readonly parts: number };
  /** Values of the parts, in order. */
  readonly parts: readonly { readonly text: string }[];
  /** Size of all parts together. */
  readonly bytes: number;
}

/** @param valueKb size of the largest value that the key-value store takes, in KiB */
export function packDocument(document: TariffDocument, valueKb: number): PackedDocument {
  const text = brotliCompressSync(JSON.stringify(formatTariff(document))).toString('base64');
  const partBytes = valueKb * 1024 - PART_RESERVE_BYTES;
  const parts: { readonly text: string }[] = [];
  for (let start = 0; start < text.length; start += partBytes)
    parts.push({ text: text.slice(start, start + partBytes) });
  return { head: { revision: document.revision, parts: parts.length }, parts, bytes: text.length };
}

/**
 * Reads what {@link packDocument} made.
 *
 * @param partAt value of a part by its index
 * @throws MalformedError naming the field
 */
export function unpackDocument(head: unknown, partAt: (index: number) => unknown): TariffDocument {
  const count = read.count(read.asObject(head, 'head'), 'parts');
  const texts = Array.from({ length: count }, (_, index) =>
    read.string(read.asObject(partAt(index), 'part'), 'text'),
  );
  const text = brotliDecompressSync(Buffer.from(texts.join(''), 'base64')).toString('utf8');
  return parseTariff(JSON.parse(text));
}
