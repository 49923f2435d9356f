/**
 * The stored form of a tariff: compressed, and split into parts that each fit into one value.
 *
 * @module
 */
import { brotliCompressSync, brotliDecompressSync } from 'node:zlib';
import type { TariffDocument } from '@spurbridge/wire';
import { formatTariff, parseTariff, read } from '@spurbridge/wire';

/** Bytes of a part's value apart from its text. */
const PART_RESERVE_BYTES = 64;

/** A tariff in its stored form. */
export interface PackedDocument {
  /** Value of the record that holds the number of parts. */
  readonly head: { readonly revision: number; readonly parts: number };
  /** Values of the parts, in order. */
  readonly parts: readonly { readonly text: string }[];
  /** Total size of all parts. */
  readonly bytes: number;
}

/** @param valueKb size limit of a value in the key-value store, in KiB */
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
 * @throws ValidationError naming the field
 */
export function unpackDocument(head: unknown, partAt: (index: number) => unknown): TariffDocument {
  const count = read.count(read.asObject(head, 'head'), 'parts');
  const texts = Array.from({ length: count }, (_, index) =>
    read.string(read.asObject(partAt(index), 'part'), 'text'),
  );
  const text = brotliDecompressSync(Buffer.from(texts.join(''), 'base64')).toString('utf8');
  return parseTariff(JSON.parse(text));
}
