/**
 * Decodes the messages of an incoming connection.
 *
 * @module
 */
import type { PeerMessage } from '@spurbridge/wire';
import { decodePeerMessage } from '@spurbridge/wire';

/** Yields the messages in a stream of bytes, each as soon as its frame is complete. */
export async function* decodePeerMessages(chunks: AsyncIterable<Uint8Array>): AsyncGenerator<PeerMessage> {
  let buffered: Buffer = Buffer.alloc(0);
  for await (const chunk of chunks) {
    buffered = buffered.length === 0 ? Buffer.from(chunk) : Buffer.concat([buffered, chunk]);
    for (;;) {
      const frame = decodePeerMessage(buffered);
      if (frame === null) break;
      buffered = buffered.subarray(frame.size);
      yield frame.message;
    }
  }
}
