/**
 * The output of the snapshot command.
 *
 * @module
 */
import type { RestoreDifference, SnapshotInspection } from '@spurbridge/snapshot';
import { printLine } from './command-line.js';

const MAX_PRINTED_KEYS = 20;

/** Describes a completed restore ('was') or a dry run ('would be'). */
export type RestoreVerb = 'was' | 'would be';

function printKeys(keys: readonly string[], verb: RestoreVerb, change: 'added' | 'replaced'): void {
  printLine(`${keys.length} records ${verb} ${change}${keys.length === 0 ? '' : ':'}`);
  for (const key of keys.slice(0, MAX_PRINTED_KEYS)) printLine(`  ${key}`);
  if (keys.length > MAX_PRINTED_KEYS) printLine(`  and ${keys.length - MAX_PRINTED_KEYS} more`);
}

/** Prints what a restore changed, or would change. */
export function printRestoreDifference(difference: RestoreDifference, verb: RestoreVerb): void {
  printKeys(difference.addedKeys, verb, 'added');
  printKeys(difference.replacedKeys, verb, 'replaced');
  printLine(`${difference.keptCount} records stay as they are`);
}

function formatInspection(inspection: SnapshotInspection, isVerified: boolean): string {
  if ('wrong' in inspection) return `${inspection.name}  unusable: ${inspection.wrong}`;
  const { name, header, bytes } = inspection;
  const takenAt = new Date(header.takenAt).toISOString();
  const ratio = (header.plainBytes / bytes).toFixed(1);
  const verified = isVerified ? '  whole' : '';
  return `${name}  ${takenAt}  ${header.records} records  ${bytes} bytes, 1:${ratio}${verified}`;
}

/**
 * Prints one line per file and the number of usable and of unusable ones.
 *
 * @param isVerified - whether the contents were verified, not only the headers
 * @returns the number of unusable files
 */
export function printInspections(inspections: readonly SnapshotInspection[], isVerified: boolean): number {
  for (const inspection of inspections) printLine(formatInspection(inspection, isVerified));
  const unusableCount = inspections.filter((inspection) => 'wrong' in inspection).length;
  printLine(`${inspections.length - unusableCount} usable, ${unusableCount} unusable`);
  return unusableCount;
}
