/**
 * The history of changes: a ring of segments, each of which is one value of the key-value store.
 *
 * @module
 */
import type { KeyValue } from '@spurbridge/wire';
import type { HistoryEntry } from './records.js';
import { decodeHistory, encodeHistory, historyKey } from './records.js';

/** Number of segments. At 1,300 changes a day and about sixty changes per segment they cover about a day. */
const HISTORY_SEGMENT_COUNT = 24;

/** A segment is full at this share of the size limit of a value. */
const MAX_SEGMENT_FILL_RATIO = 0.75;

/** The segment that an appended entry went to, with its new contents. */
export interface AppendedSegment {
  readonly segmentIndex: number;
  readonly value: Record<string, unknown>;
}

/** All entries that are still stored, oldest first. */
export function readHistory(records: ReadonlyMap<string, KeyValue>): HistoryEntry[] {
  const entries: HistoryEntry[] = [];
  for (let segmentIndex = 0; segmentIndex < HISTORY_SEGMENT_COUNT; segmentIndex += 1) {
    const record = records.get(historyKey(segmentIndex));
    if (record !== undefined) entries.push(...decodeHistory(record.value));
  }
  return entries.sort((first, second) => first.version - second.version);
}

/**
 * Appends an entry to the newest segment, or begins the next segment, which overwrites the oldest.
 *
 * @param newestSegmentIndex - index of the segment that the previous change wrote to
 * @param maxValueBytes - size limit of a value
 */
export function appendHistory(
  records: ReadonlyMap<string, KeyValue>,
  newestSegmentIndex: number,
  entry: HistoryEntry,
  maxValueBytes: number,
): AppendedSegment {
  const newestSegment = records.get(historyKey(newestSegmentIndex));
  const entries = newestSegment === undefined ? [] : decodeHistory(newestSegment.value);
  const value = encodeHistory([...entries, entry]);
  const hasRoom = JSON.stringify(value).length <= maxValueBytes * MAX_SEGMENT_FILL_RATIO;
  if (hasRoom || entries.length === 0) return { segmentIndex: newestSegmentIndex, value };
  return {
    segmentIndex: (newestSegmentIndex + 1) % HISTORY_SEGMENT_COUNT,
    value: encodeHistory([entry]),
  };
}
