/**
 * Distributes teams over pages, each of which is one value of the key-value store.
 *
 * @module
 */
import type { ConfiguredTeam } from './types.js';

/** Maximum fill of new pages, relative to the size limit of a value, so that their teams can grow. */
const INITIAL_FILL_RATIO = 0.5;
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Index of the page that holds a team: its name's FNV-1a hash modulo the number of pages. */
export function pageIndexOf(teamName: string, pageCount: number): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < teamName.length; index += 1)
    hash = Math.imul(hash ^ teamName.charCodeAt(index), FNV_PRIME);
  return (hash >>> 0) % pageCount;
}

/** The teams of each page, by the index of the page. */
export function groupIntoPages(teams: readonly ConfiguredTeam[], pageCount: number): ConfiguredTeam[][] {
  const pages: ConfiguredTeam[][] = Array.from({ length: pageCount }, () => []);
  for (const team of teams) pages[pageIndexOf(team.name, pageCount)]?.push(team);
  return pages;
}

/**
 * Number of pages to begin with.
 *
 * @param totalBytes - encoded size of all teams together
 * @param maxValueBytes - size limit of a value
 */
export function initialPageCount(totalBytes: number, maxValueBytes: number): number {
  return Math.max(1, Math.ceil(totalBytes / (maxValueBytes * INITIAL_FILL_RATIO)));
}
