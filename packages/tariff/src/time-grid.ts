/**
 * The time until the last finish time, divided into pieces with constant prices.
 *
 * @module
 */
import type { Capacity, ReleaseInput } from './release-decision.js';

/** Target number of pieces, if prices do not change more often. */
const TARGET_PIECES = 160;
/** Minimum length of a piece, in milliseconds. */
export const MIN_PIECE_MS = 15_000;

/** Pieces of time, by index. */
export interface TimeGrid {
  /** Milliseconds since 1970. */
  readonly starts: Float64Array;
  readonly lengthsS: Float64Array;
  /** Index of the price piece that each piece lies in. */
  readonly pricePieces: Int32Array;
}

/** Subdivides the price pieces up to `end`, so that releases spread over a long window. */
export function buildTimeGrid(input: ReleaseInput, end: number): TimeGrid {
  const maxPieceMs = Math.max(MIN_PIECE_MS, (end - input.now) / TARGET_PIECES);
  const starts: number[] = [];
  const lengthsS: number[] = [];
  const pricePieces: number[] = [];
  input.starts.forEach((start, pricePiece) => {
    const from = Math.max(input.now, start);
    const to = Math.min(end, input.starts[pricePiece + 1] ?? input.until);
    if (to <= from) return;
    const parts = Math.max(1, Math.ceil((to - from) / maxPieceMs));
    for (let part = 0; part < parts; part += 1) {
      starts.push(from + ((to - from) * part) / parts);
      lengthsS.push((to - from) / parts / 1000);
      pricePieces.push(pricePiece);
    }
  });
  return {
    starts: Float64Array.from(starts),
    lengthsS: Float64Array.from(lengthsS),
    pricePieces: Int32Array.from(pricePieces),
  };
}

/** Free CPU seconds in each piece of the grid, after the work released earlier. */
export function freeCapacity(capacity: Capacity, grid: TimeGrid): Float64Array {
  let backlogCpuS = capacity.backlogCpuS;
  return grid.lengthsS.map((lengthS) => {
    const totalCpuS = capacity.cpus * lengthS;
    const usedCpuS = Math.min(totalCpuS, backlogCpuS);
    backlogCpuS -= usedCpuS;
    return totalCpuS - usedCpuS;
  });
}

/** Prices of a CPU second on a grid. */
export interface GridPrices {
  readonly series: readonly Float64Array[];
  /** Whether no price is known at all. */
  readonly isBlind: boolean;
}

/** Prices on the grid. Unknown ones are set to the highest known price, so that no job waits for them. */
export function pricesOnGrid(input: ReleaseInput, grid: TimeGrid): GridPrices {
  let isBlind = true;
  const series = input.prices.map((prices) => {
    const highest = highestPrice(prices, grid);
    if (highest > -Infinity) isBlind = false;
    const substitute = highest > -Infinity ? highest : 1;
    return Float64Array.from(grid.pricePieces, (piece) => {
      const price = prices[piece] as number;
      return Number.isNaN(price) ? substitute : price;
    });
  });
  return { series, isBlind };
}

/** The highest price that is known on the grid, or -Infinity. */
function highestPrice(prices: Float64Array, grid: TimeGrid): number {
  let highest = -Infinity;
  for (const piece of grid.pricePieces) {
    const price = prices[piece] as number;
    if (price > highest) highest = price;
  }
  return highest;
}
