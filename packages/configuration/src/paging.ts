import type { ConfiguredTeam } from './types.js';

/** A page is begun no fuller than this share of a value, so that its teams have room to change. */
const FILL_SHARE = 0.5;
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Which page a team stands on: always the same for the same number of pages (FNV-1a of its name). */
export function pageIndexOf(name: string, pages: number): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < name.length; i += 1) hash = Math.imul(hash ^ name.charCodeAt(i), FNV_PRIME);
  return (hash >>> 0) % pages;
}

/** The teams of each page. */
export function groupIntoPages(teams: readonly ConfiguredTeam[], pages: number): ConfiguredTeam[][] {
  const all: ConfiguredTeam[][] = Array.from({ length: pages }, () => []);
  for (const team of teams) all[pageIndexOf(team.name, pages)]?.push(team);
  return all;
}

/** How many pages to begin with for teams of so many bytes together. */
export function initialPageCount(bytes: number, valueBytes: number): number {
  return Math.max(1, Math.ceil(bytes / (valueBytes * FILL_SHARE)));
}
