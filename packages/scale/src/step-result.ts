/**
 * Builds the result of a step from its measured interval.
 *
 * @module
 */
import type { MeasuredInterval } from './measured-interval.js';
import type { ScaleOptions, Step } from './options.js';
import type { RunProcess } from './processes.js';
import type { Region } from './region.js';
import type { StepResult } from './results.js';
import { roundFigure } from './usage.js';
import type { RunStatistics } from './run-statistics.js';
import type { StepShape } from './step-shape.js';

const ELECTED_MESSAGE = 'leading';

/** The data from which the result of a step is built. */
export interface StepOutcome {
  readonly options: ScaleOptions;
  readonly step: Step;
  readonly shape: StepShape;
  readonly regions: readonly Region[];
  readonly interval: MeasuredInterval;
  readonly statistics: RunStatistics;
  readonly processes: readonly RunProcess[];
  readonly warmS: number;
  /** Processes that exited unexpectedly. */
  readonly ends: readonly string[];
  readonly brokenRules: readonly string[];
  /** Time of the run's clock at the end of the interval, in milliseconds. */
  readonly now: number;
}

type Rates = Pick<
  StepResult,
  'seconds' | 'startsAskedPerS' | 'tasksCamePerS' | 'startsPerS' | 'jobsPerS' | 'running'
>;

type ProtocolCounts = Pick<StepResult, 'reportsPerS' | 'commandsPerS' | 'unanswered' | 'redirects'>;

function ratesOf({ shape, regions, interval, statistics }: StepOutcome): Rates {
  const { seconds } = interval;
  const meanRate = (count: number): number => roundFigure(count / seconds / regions.length);
  return {
    seconds: roundFigure(seconds),
    startsAskedPerS: roundFigure(shape.startsPerS),
    tasksCamePerS: meanRate(statistics.tasksSubmitted),
    startsPerS: meanRate(statistics.starts),
    jobsPerS: meanRate(statistics.jobsSubmitted),
    running: Math.round(statistics.runningTasks / regions.length),
  };
}

function storeFigures(interval: MeasuredInterval): StepResult['state'] {
  const perSecond = (kind: string): number => roundFigure(interval.storeCount(kind) / interval.seconds);
  return {
    requestsPerS: perSecond('requests'),
    changesPerS: perSecond('changes'),
    refusedPerS: perSecond('refused'),
    conflicts: interval.storeCount('conflicts'),
  };
}

function protocolCounts(interval: MeasuredInterval): ProtocolCounts {
  return {
    reportsPerS: roundFigure(interval.workerCount('reports') / interval.seconds),
    commandsPerS: roundFigure(interval.workerCount('commands') / interval.seconds),
    unanswered: interval.workerCount('unanswered'),
    redirects: interval.workerCount('redirects'),
  };
}

function readySecondsOf(region: Region | undefined): number | null {
  return region?.readyMs === null ? null : roundFigure((region?.readyMs ?? 0) / 1000);
}

/** Number of elections in all regions since the start of the controllers. */
function electionsIn(regions: readonly Region[]): number {
  const logs = regions.flatMap((region) => region.logs);
  return logs.reduce((sum, log) => sum + (log.messages.get(ELECTED_MESSAGE) ?? 0), 0);
}

/** Builds the result of a step. The results of configuration changes and faults are added later. */
export function buildStepResult(outcome: StepOutcome): StepResult {
  const { options, step, shape, regions, interval, statistics, processes } = outcome;
  return {
    ...step,
    workers: shape.workers,
    teams: options.teams,
    nodes: options.nodes,
    processes: processes.length,
    warmS: outcome.warmS,
    ...ratesOf(outcome),
    roles: interval.roleUsage(),
    tasksOnLoneWorker: roundFigure(interval.tasksPerDedicatedWorker()),
    state: storeFigures(interval),
    ...protocolCounts(interval),
    urgentMs: statistics.urgentLatency,
    urgentNotStarted: statistics.countOverdue(outcome.now),
    acceptedMs: interval.worstUserLatency('accepted'),
    users: interval.userCounts(),
    killedByLease: interval.killedByLease,
    ends: [...outcome.ends],
    readySeconds: readySecondsOf(regions[0]),
    endedJobs: options.endedJobs,
    elections: electionsIn(regions),
    brokenRules: outcome.brokenRules,
    troubles: [],
    machineCpu: roundFigure(interval.machineCpu),
    memoryMb: Math.round(interval.residentMb(processes)),
  };
}
