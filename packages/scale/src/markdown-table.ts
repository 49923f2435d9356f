/**
 * Tables in Markdown, described by their columns.
 *
 * @module
 */
import type { LatencySummary } from './messages.js';

/** One column: its title, and the text of its cell in each row. */
export interface Column<Row> {
  readonly title: string;
  readonly cell: (row: Row) => string;
}

function tableLine(cells: readonly string[]): string {
  return `| ${cells.join(' | ')} |`;
}

/** Renders the rows as a table. */
export function markdownTable<Row>(columns: readonly Column<Row>[], rows: readonly Row[]): string {
  return [
    tableLine(columns.map((column) => column.title)),
    tableLine(columns.map(() => '---')),
    ...rows.map((row) => tableLine(columns.map((column) => column.cell(row)))),
  ].join('\n');
}

/** A number with a fixed count of digits after the decimal point. */
export function formatNumber(value: number, digits: number): string {
  return value.toFixed(digits);
}

/** Median, 99th percentile and maximum in whole milliseconds. */
export function formatLatency({ p50, p99, most }: LatencySummary): string {
  return [p50, p99, most].map((latencyMs) => formatNumber(latencyMs, 0)).join(', ');
}
