/**
 * Tables of the steps of one run, and of the faults injected into them.
 *
 * @module
 */
import type { Column } from './markdown-table.js';
import { formatLatency, formatNumber, markdownTable } from './markdown-table.js';
import type { FaultResult, StepResult } from './results.js';

/** A figure of the leader; a leader that was elected during the measurement has none. */
export function leaderFigure(step: StepResult, value: number, digits: number): string {
  return step.roles.leader.residentMb === 0 ? 'changed' : formatNumber(value, digits);
}

function sizeCell({ share, regions }: StepResult): string {
  if (share < 1) return `1/${Math.round(1 / share)} of a region`;
  return `${regions} region${regions > 1 ? 's' : ''}`;
}

function startsCell(step: StepResult): string {
  const [actual, target, submitted] = [step.startsPerS, step.startsAskedPerS, step.tasksCamePerS].map(
    (rate) => formatNumber(rate, 0),
  );
  return `${actual} of ${target} (${submitted})`;
}

const STEP_COLUMNS: readonly Column<StepResult>[] = [
  { title: 'step', cell: sizeCell },
  { title: 'workers', cell: (step) => String(step.workers * step.regions) },
  { title: 'processes', cell: (step) => String(step.processes) },
  { title: 'starts/s a region, of asked (came)', cell: startsCell },
  { title: 'running a region', cell: (step) => String(step.running) },
  { title: 'leader cores', cell: (step) => leaderFigure(step, step.roles.leader.cpu, 2) },
  { title: 'other node cores', cell: (step) => formatNumber(step.roles.node.cpu, 2) },
  { title: 'leader MB', cell: (step) => leaderFigure(step, step.roles.leader.residentMb, 0) },
  { title: 'changes/s a region', cell: (step) => formatNumber(step.state.changesPerS, 0) },
  {
    title: 'urgent wait ms p50, p99, most (tasks)',
    cell: ({ urgentMs }) => `${formatLatency(urgentMs)} (${urgentMs.count})`,
  },
  { title: 'accepted ms p50, p99, most', cell: (step) => formatLatency(step.acceptedMs) },
  { title: 'killed by leases', cell: (step) => String(step.killedByLease) },
  { title: 'ends', cell: (step) => String(step.ends.length) },
  { title: 'rules broken', cell: (step) => String(step.brokenRules.length) },
  { title: 'machine', cell: (step) => `${Math.round(step.machineCpu * 100)}%, ${step.memoryMb} MB` },
];

const FAULT_COLUMNS: readonly Column<FaultResult>[] = [
  { title: 'trouble', cell: (fault) => fault.trouble },
  { title: 'watched s', cell: (fault) => formatNumber(fault.watchedS, 0) },
  { title: 'starts/s', cell: (fault) => formatNumber(fault.startsPerS, 0) },
  { title: 'longest time without a start, s', cell: (fault) => formatNumber(fault.longestPauseS, 1) },
  {
    title: 'urgent wait ms p50, p99, most (tasks)',
    cell: ({ urgentMs }) => `${formatLatency(urgentMs)} (${urgentMs.count})`,
  },
  { title: 'killed by leases', cell: (fault) => String(fault.killedByLease) },
  { title: 'rules broken', cell: (fault) => String(fault.brokenRules) },
];

/** Renders one row for each step. */
export function stepTable(steps: readonly StepResult[]): string {
  return markdownTable(STEP_COLUMNS, steps);
}

/** Renders one row for each fault that was injected into the steps. */
export function faultTable(steps: readonly StepResult[]): string {
  const faults = steps.flatMap((step) => step.troubles);
  return markdownTable(FAULT_COLUMNS, faults);
}
