/**
 * Service levels: the share of what a class of jobs or a team requested that it received. The log, the
 * checker of the simulated environment and the regression measurements share this definition.
 *
 * @module
 */

import type { JobSpec } from '@spurbridge/wire';

/** A class or team is not served if it received less than this share of what was requested and possible. */
export const MIN_SERVED_SHARE = 0.5;
/** The replicas of a service count as requested once this many seconds have passed since its submission. */
export const REPLICA_GRACE_S = 20;
/** A job that has waited this many seconds for its first task counts as not started. */
export const START_GRACE_S = 60;

/** The largest jobs of a class must start within this many seconds. */
export const LARGEST_JOB_START_S = 240;
/** The share of a class's jobs that counts as the largest ones. */
const LARGEST_JOB_SHARE = 0.25;
/** In a class with fewer jobs than this, none counts as one of the largest. */
const LARGEST_JOB_MIN_COUNT = 8;
/** A job without a deadline could have ended after `START_GRACE_S` plus this multiple of its estimate. */
const EXPECTED_END_ESTIMATES = 4;
/** A job with a deadline could have ended after this multiple of the deadline. */
const EXPECTED_END_DEADLINES = 1.5;

/** The size that ranks the jobs of a class: all its accelerators, or its CPUs if it needs no accelerators. */
export function jobSize(spec: JobSpec): number {
  return spec.tasks * (spec.gpus > 0 ? spec.gpus : spec.cpus);
}

/** The minimum size of the largest jobs of a class; Infinity if the class has too few jobs. */
export function largestJobThreshold(sizes: readonly number[]): number {
  if (sizes.length < LARGEST_JOB_MIN_COUNT) return Infinity;
  const sorted = [...sizes].sort((first, second) => second - first);
  return sorted[Math.floor(sorted.length * LARGEST_JOB_SHARE) - 1] ?? Infinity;
}

/** The age in seconds at which a job could have ended; younger unfinished jobs are not counted. */
export function expectedEndAgeS(spec: JobSpec): number {
  return spec.deadlineS === null
    ? START_GRACE_S + EXPECTED_END_ESTIMATES * spec.estimateS
    : EXPECTED_END_DEADLINES * spec.deadlineS;
}

/**
 * The number of replicas that can run at the same time: only half of them if the service is spread but bound
 * to one zone.
 */
export function maxRunnableReplicas(spec: JobSpec): number {
  return spec.zone !== null && spec.spread ? Math.ceil(spec.tasks / 2) : spec.tasks;
}

/** What a class or a team requested, and what it received. */
export interface ServiceLevelCounts {
  /** Jobs, apart from services, that have ended or could have ended. */
  couldEnd: number;
  /** How many of these have ended. */
  ended: number;
  /** How many of these have a deadline. */
  timed: number;
  /** How many of those have met their deadline. */
  inTime: number;
  /** Jobs that have started or could have started. */
  couldStart: number;
  /** How many of these have started. */
  started: number;
  /** Requested replica seconds. */
  wantedS: number;
  /** Replica seconds that were run. */
  ranS: number;
}

/** Counts with nothing requested. */
export function emptyServiceLevelCounts(): ServiceLevelCounts {
  return { couldEnd: 0, ended: 0, timed: 0, inTime: 0, couldStart: 0, started: 0, wantedS: 0, ranS: 0 };
}

/** What a service level measures. */
export type ServiceLevelIndicator = 'ended' | 'started' | 'replicas' | 'in time';

/** One service level of a class or a team. */
export interface ServiceLevel {
  readonly indicator: ServiceLevelIndicator;
  /** The received share of what was requested. */
  readonly share: number;
  /** The share minus `MIN_SERVED_SHARE`; the level is missed if negative. */
  readonly margin: number;
  /**
   * Whether missing it is only a warning: relevant to operators, but not part of the definition of being
   * served.
   */
  readonly isWarning: boolean;
}

function serviceLevel(indicator: ServiceLevelIndicator, received: number, requested: number): ServiceLevel {
  const share = received / requested;
  return { indicator, share, margin: share - MIN_SERVED_SHARE, isWarning: indicator === 'in time' };
}

/** The service levels of one class or team; indicators for which nothing was requested are left out. */
export function serviceLevels(counts: ServiceLevelCounts): ServiceLevel[] {
  const levels: ServiceLevel[] = [];
  if (counts.couldEnd > 0) levels.push(serviceLevel('ended', counts.ended, counts.couldEnd));
  if (counts.couldStart > 0) levels.push(serviceLevel('started', counts.started, counts.couldStart));
  if (counts.wantedS > 0) levels.push(serviceLevel('replicas', counts.ranS, counts.wantedS));
  if (counts.timed > 0) levels.push(serviceLevel('in time', counts.inTime, counts.timed));
  return levels;
}

/** The missed service levels, without those that are only a warning. */
export function missedServiceLevels(counts: ServiceLevelCounts): ServiceLevel[] {
  return serviceLevels(counts).filter((level) => level.margin < 0 && !level.isWarning);
}

/** The outcome of a job so far. */
export interface JobOutcome {
  readonly spec: JobSpec;
  /** Its age in seconds at its end, or now. */
  readonly ageS: number;
  /** Its age in seconds at its first start, if known; null if it has not started. */
  readonly startedS: number | null;
  readonly isEnded: boolean;
  /** Whether its user cancelled it; outcomes that it had not reached by then are not counted. */
  readonly isCancelled: boolean;
}

/** Counts a job; the replica seconds of services are counted while they run. */
export function countJob(counts: ServiceLevelCounts, job: JobOutcome): void {
  countStarted(counts, job, START_GRACE_S, Infinity);
  countEnded(counts, job);
}

/** Counts one of the largest jobs of its class: such a job must start in time. */
export function countLargestJob(counts: ServiceLevelCounts, job: JobOutcome): void {
  countStarted(counts, job, LARGEST_JOB_START_S, LARGEST_JOB_START_S);
  countEnded(counts, job);
}

/**
 * Counts the start of a job. A job that has not started is counted once its age reaches `graceS`; one that
 * started after `withinS` counts as not started. Both in seconds.
 */
function countStarted(counts: ServiceLevelCounts, job: JobOutcome, graceS: number, withinS: number): void {
  const isStarted = job.startedS !== null;
  if (!isStarted && (job.isCancelled || job.ageS < graceS)) return;
  counts.couldStart += 1;
  if (isStarted && (job.startedS ?? 0) <= withinS) counts.started += 1;
}

function countEnded(counts: ServiceLevelCounts, job: JobOutcome): void {
  if (job.spec.kind === 'service' || (job.isCancelled && !job.isEnded)) return;
  if (!job.isEnded && job.ageS < expectedEndAgeS(job.spec)) return;
  counts.couldEnd += 1;
  if (job.isEnded) counts.ended += 1;
  const { deadlineS } = job.spec;
  if (deadlineS === null) return;
  counts.timed += 1;
  if (job.isEnded && job.ageS <= deadlineS) counts.inTime += 1;
}
