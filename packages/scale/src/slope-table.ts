/**
 * The table of slopes: how each resource figure grows with the load, and its value for the capacity plan.
 *
 * @module
 */
import type { DriverName, Metric } from './capacity-metrics.js';
import { DRIVERS, METRICS } from './capacity-metrics.js';
import type { LinearFit } from './linear-fit.js';
import { fitLine } from './linear-fit.js';
import type { Column } from './markdown-table.js';
import { formatNumber, markdownTable } from './markdown-table.js';
import { CAPACITY_PLAN } from './options.js';
import type { StepResult } from './results.js';

/** Values this close to the measured range, as a share of its ends, count as measured. */
const RANGE_TOLERANCE = 0.05;
const SLOPE_DIGITS = 3;

/** The drivers of one region in the capacity plan. */
const PLAN_PER_REGION: Readonly<Record<DriverName, number>> = {
  'starts/s': CAPACITY_PLAN.starts / CAPACITY_PLAN.regions,
  workers: CAPACITY_PLAN.workers / CAPACITY_PLAN.regions,
  tasks: CAPACITY_PLAN.running / CAPACITY_PLAN.workers,
};

/** The drivers of all regions in the capacity plan, if a single leader controlled them. */
const PLAN_IN_TOTAL: Readonly<Record<DriverName, number>> = {
  'starts/s': CAPACITY_PLAN.starts,
  workers: CAPACITY_PLAN.workers,
  tasks: CAPACITY_PLAN.running / CAPACITY_PLAN.workers,
};

interface SlopeRow {
  readonly metric: Metric;
  readonly fit: LinearFit;
  /** The fitted value for one region of the plan. */
  readonly perRegion: number;
  /** The fitted value for the whole plan. */
  readonly inTotal: number;
}

function slopeRow(metric: Metric, steps: readonly StepResult[]): SlopeRow {
  const driverOf = DRIVERS[metric.driver];
  const fit = fitLine(steps.map((step) => [driverOf(step), metric.valueOf(step)] as const));
  return {
    metric,
    fit,
    perRegion: fit.base + fit.slope * PLAN_PER_REGION[metric.driver],
    inTotal: fit.base + fit.slope * PLAN_IN_TOTAL[metric.driver],
  };
}

function shareOfLimit(value: number, limit: number | null): string {
  return limit === null ? '-' : `${Math.round((value / limit) * 100)}%`;
}

/** Describes whether a value of the driver lies within the measured range, or by what factor it exceeds it. */
function rangeNote(fit: LinearFit, driver: number): string {
  if (driver <= fit.maxDriver * (1 + RANGE_TOLERANCE) && driver >= fit.minDriver * (1 - RANGE_TOLERANCE))
    return 'measured';
  return driver > fit.maxDriver ? `extrapolated x${(driver / fit.maxDriver).toFixed(1)}` : 'below the range';
}

function formulaCell({ metric, fit }: SlopeRow): string {
  const base = formatNumber(fit.base, metric.digits);
  return `${base} + ${fit.slope.toPrecision(SLOPE_DIGITS)} x ${metric.driver}`;
}

function perRegionCell({ metric, fit, perRegion }: SlopeRow): string {
  const note = rangeNote(fit, PLAN_PER_REGION[metric.driver]);
  return `${formatNumber(perRegion, metric.digits)} (${note})`;
}

function inTotalCell({ metric, inTotal }: SlopeRow): string {
  if (metric.driver === 'tasks') return '-';
  return `${formatNumber(inTotal, metric.digits)} (${shareOfLimit(inTotal, metric.limit)})`;
}

const COLUMNS: readonly Column<SlopeRow>[] = [
  { title: 'role', cell: ({ metric }) => metric.role },
  { title: 'what', cell: ({ metric }) => metric.quantity },
  { title: 'fit', cell: formulaCell },
  {
    title: 'residual; r2',
    cell: ({ metric, fit }) => `${formatNumber(fit.residual, metric.digits + 1)}; ${fit.r2.toFixed(2)}`,
  },
  {
    title: 'range',
    cell: ({ fit }) => `${formatNumber(fit.minDriver, 0)} to ${formatNumber(fit.maxDriver, 0)}`,
  },
  { title: "one region's part", cell: perRegionCell },
  { title: 'limit', cell: ({ metric }) => (metric.limit === null ? '-' : String(metric.limit)) },
  { title: 'used', cell: ({ metric, perRegion }) => shareOfLimit(perRegion, metric.limit) },
  { title: 'all at one leader', cell: inTotalCell },
];

/** Renders the table of slopes, fitted to the given steps. */
export function slopeTable(steps: readonly StepResult[]): string {
  const rows = METRICS.map((metric) => slopeRow(metric, steps));
  return markdownTable(COLUMNS, rows);
}
