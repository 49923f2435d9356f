/**
 * Compression and checksums of contributions and snapshots.
 *
 * @module
 */
import { createHash } from 'node:crypto';
import { brotliCompressSync, constants } from 'node:zlib';

const BROTLI_QUALITY = 4;

/** Compresses a text with Brotli. */
export function compress(text: string): Buffer {
  return brotliCompressSync(text, { params: { [constants.BROTLI_PARAM_QUALITY]: BROTLI_QUALITY } });
}

/** Returns the SHA-256 checksum of bytes, in hexadecimal. */
export function sha256Hex(bytes: Uint8Array): string {
  return createHash('sha256').update(bytes).digest('hex');
}
