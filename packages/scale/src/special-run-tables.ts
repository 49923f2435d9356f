/**
 * Tables of the runs with configuration changes, and of the runs that start with many ended jobs.
 *
 * @module
 */
import type { ConfigurationResult } from './configuration-load.js';
import type { Column } from './markdown-table.js';
import { formatLatency, formatNumber, markdownTable } from './markdown-table.js';
import { CAPACITY_PLAN } from './options.js';
import type { ScaleResult, StepResult } from './results.js';
import { leaderFigure } from './step-tables.js';

const SECONDS_PER_HOUR = 3600;
const ENDED_JOBS_PER_REGION_AND_DAY = CAPACITY_PLAN.jobsADay / CAPACITY_PLAN.regions;

/** A kept run and its name. */
export interface NamedResult {
  readonly name: string;
  readonly result: ScaleResult;
}

interface NamedStep {
  readonly run: string;
  readonly step: StepResult;
}

interface ConfigurationRow extends NamedStep {
  readonly changes: ConfigurationResult;
}

function namedSteps(results: readonly NamedResult[]): NamedStep[] {
  return results.flatMap(({ name, result }) => result.steps.map((step) => ({ run: name, step })));
}

/** Whether the step ran with neither configuration changes nor ended jobs. */
export function isPlainStep(step: StepResult): boolean {
  return (step.configuration ?? null) === null && (step.endedJobs ?? 0) === 0;
}

const CONFIGURATION_COLUMNS: readonly Column<ConfigurationRow>[] = [
  { title: 'run', cell: ({ run }) => run },
  { title: 'workers', cell: ({ step }) => String(step.workers) },
  {
    title: 'changes/h',
    cell: ({ step, changes }) => formatNumber((changes.asked / step.seconds) * SECONDS_PER_HOUR, 0),
  },
  { title: 'in force', cell: ({ changes }) => `${changes.committed - changes.lagged} of ${changes.asked}` },
  { title: 'ms p50, p99, most', cell: ({ changes }) => formatLatency(changes.inForceMs) },
  {
    title: 'asked again, failed, late',
    cell: ({ changes }) => `${changes.conflicts}, ${changes.failed}, ${changes.lagged}`,
  },
  {
    title: 'all teams at once, ms',
    cell: ({ changes }) => (changes.allTeamsMs === null ? 'not made' : formatNumber(changes.allTeamsMs, 0)),
  },
  { title: 'urgent p99 ms', cell: ({ step }) => formatNumber(step.urgentMs.p99, 0) },
  { title: 'leader cores', cell: ({ step }) => leaderFigure(step, step.roles.leader.cpu, 2) },
  { title: 'changes/s', cell: ({ step }) => formatNumber(step.state.changesPerS, 0) },
  { title: 'elections', cell: ({ step }) => String(step.elections) },
  { title: 'rules broken', cell: ({ step }) => String(step.brokenRules.length) },
];

function readyCell({ step }: NamedStep): string {
  const { readySeconds } = step;
  return readySeconds === null || readySeconds === undefined ? 'never' : formatNumber(readySeconds, 2);
}

const ENDED_JOBS_COLUMNS: readonly Column<NamedStep>[] = [
  { title: 'run', cell: ({ run }) => run },
  { title: 'ended jobs', cell: ({ step }) => String(step.endedJobs) },
  {
    title: 'days of the plan in one region',
    cell: ({ step }) => formatNumber((step.endedJobs ?? 0) / ENDED_JOBS_PER_REGION_AND_DAY, 1),
  },
  { title: 'from start of all nodes to a leader that has read, s', cell: readyCell },
  { title: 'leader MB', cell: ({ step }) => formatNumber(step.roles.leader.residentMb, 0) },
  { title: 'other node MB', cell: ({ step }) => formatNumber(step.roles.node.residentMb, 0) },
  { title: 'urgent p99 ms', cell: ({ step }) => formatNumber(step.urgentMs.p99, 0) },
];

/** Renders one row for each step during which the configuration was changed. */
export function configurationTable(results: readonly NamedResult[]): string {
  const rows = namedSteps(results).flatMap(({ run, step }) => {
    const changes = step.configuration ?? null;
    return changes === null ? [] : [{ run, step, changes }];
  });
  return markdownTable(CONFIGURATION_COLUMNS, rows);
}

/** Renders one row for each step that started with records of ended jobs. */
export function endedJobsTable(results: readonly NamedResult[]): string {
  const rows = namedSteps(results).filter(({ step }) => (step.endedJobs ?? 0) > 0);
  return markdownTable(ENDED_JOBS_COLUMNS, rows);
}
