/**
 * Reading the epoch record.
 *
 * @module
 */
import type { KeyValueStore } from '@spurbridge/store';
import { KEY_ABSENT } from '@spurbridge/wire';
import { EPOCH_KEY } from '../epoch/control-keys.js';
import type { VersionedEpoch } from '../epoch/epoch-record.js';
import { decodeEpoch } from '../epoch/epoch-record.js';
import { CONTROL_PRIORITY } from '../request-priorities.js';

/** Reads the epoch record. Returns null if the store has not responded. */
export async function readEpochRecord(underlyingStore: KeyValueStore): Promise<VersionedEpoch | null> {
  const found = await underlyingStore.read(EPOCH_KEY, CONTROL_PRIORITY);
  if (found.outcome === 'absent') return { epoch: null, version: KEY_ABSENT };
  if (found.outcome !== 'found') return null;
  return { epoch: decodeEpoch(found.item.value), version: found.item.version };
}
