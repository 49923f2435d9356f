/**
 * The output of the configuration command.
 *
 * @module
 */
import type { FieldChange, HistoryEntry, NodeVersion, RolloutResult } from '@spurbridge/configuration';
import { printLine } from './command-line.js';

function formatVersion(version: number | null): string {
  return version === null ? 'unknown' : String(version);
}

/** Prints one line per field that differs. */
export function printFieldChanges(fieldChanges: readonly FieldChange[]): void {
  for (const { path, from, to } of fieldChanges) printLine(`${path}: ${from} -> ${to}`);
}

/** Prints whether a version is in force everywhere, or which nodes lag. */
export function printRollout(version: number, { laggingNodes, elapsedMs }: RolloutResult): void {
  if (laggingNodes.length === 0)
    printLine(`version ${version} is in force everywhere, after ${Math.round(elapsedMs)} ms`);
  for (const lagging of laggingNodes)
    printLine(
      `${lagging.node} lags: version ${formatVersion(lagging.version)}, ` +
        `last confirmed ${Math.round(lagging.ageMs)} ms ago`,
    );
}

/** Prints one line per node with the version that is in force on it. */
export function printNodeVersions(nodes: readonly NodeVersion[]): void {
  for (const { node, version, ageMs, leads } of nodes)
    printLine(
      `${node}: version ${formatVersion(version)}, confirmed ${Math.round(ageMs)} ms ago${leads ? ', leads' : ''}`,
    );
}

/** Prints one entry of the history. */
export function printHistoryEntry(entry: HistoryEntry): void {
  printLine(`version ${entry.version}, ${new Date(entry.at).toISOString()}, ${entry.author}`);
  printFieldChanges(entry.differences);
  if (entry.more > 0) printLine(`and ${entry.more} more`);
}
