/**
 * Service levels: which share of what was requested a class of jobs or a team was given. The log, the checker of the simulated
 * world and the regression measurements share this definition.
 *
 * @module
 */

import type { JobSpec } from '@spurbridge/wire';

/** Below this share of what was requested and could have been served, a class or a team counts as not served. */
export const MIN_SERVED_SHARE = 0.5;
/** The replicas of a service count as requested from so many seconds after its submission on. */
export const REPLICA_GRACE_S = 20;
/** A job may wait so many seconds for its first task before it counts as not started. */
export const START_GRACE_S = 60;

/** The largest jobs of a class have to start within so many seconds. */
export const LARGEST_JOB_START_S = 240;
/** The largest jobs are this share of the jobs of a class. */
const LARGEST_JOB_SHARE = 0.25;
/** Among fewer jobs than this, none counts as one of the largest. */
const LARGEST_JOB_MIN_COUNT = 8;
/** A job without a deadline could have ended after this multiple of its estimate, and the time to start. */
const EXPECTED_END_ESTIMATES = 4;
/** A job with a deadline could have ended after this multiple of it. */
const EXPECTED_END_DEADLINES = 1.5;

/** The size by which the largest jobs of a class are found: all its accelerators, or its CPUs where it needs none. */
export function jobSize(spec: JobSpec): number {
  return spec.tasks * (spec.gpus > 0 ? spec.gpus : spec.cpus);
}

/** The size from which on a job is one of the largest of its class; Infinity where there are too few jobs to tell. */
export function largestJobThreshold(sizes: readonly number[]): number {
  if (sizes.length < LARGEST_JOB_MIN_COUNT) return Infinity;
  const sorted = [...sizes].sort((first, second) => second - first);
  return sorted[Math.floor(sorted.length * LARGEST_JOB_SHARE) - 1] ?? Infinity;
}

/** The age in seconds at which a job that ends by itself could have ended; a younger job counts neither way. */
export function expectedEndAgeS(spec: JobSpec): number {
  return spec.deadlineS === null
    ? START_GRACE_S + EXPECTED_END_ESTIMATES * spec.estimateS
    : EXPECTED_END_DEADLINES * spec.deadlineS;
}

/** The replicas that can run at the same time: only half of them where they are spread but bound to one zone. */
export function maxRunnableReplicas(spec: JobSpec): number {
  return spec.zone !== null && spec.spread ? Math.ceil(spec.tasks / 2) : spec.tasks;
}

/** What a class or a team requested, and what it was given. */
export interface ServiceLevelCounts {
  /** Jobs that end by themselves and have ended or could have. */
  couldEnd: number;
  /** How many of these have ended. */
  ended: number;
  /** How many of these have a deadline. */
  timed: number;
  /** How many of those have met it. */
  inTime: number;
  /** Jobs that have started or could have. */
  couldStart: number;
  /** How many of these have started. */
  started: number;
  /** Replica seconds that were requested. */
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
  /** The share of what was requested that was given. */
  readonly share: number;
  /** The share less `MIN_SERVED_SHARE`; below zero the level is missed. */
  readonly margin: number;
  /** Whether a missed level is only a warning: operators may care for it, the definition of being served does not. */
  readonly isWarning: boolean;
}

function serviceLevel(indicator: ServiceLevelIndicator, given: number, requested: number): ServiceLevel {
  const share = given / requested;
  return { indicator, share, margin: share - MIN_SERVED_SHARE, isWarning: indicator === 'in time' };
}

/** The service levels of one class or team, as far as anything was requested. */
export function serviceLevels(counts: ServiceLevelCounts): ServiceLevel[] {
  const levels: ServiceLevel[] = [];
  if (counts.couldEnd > 0) levels.push(serviceLevel('ended', counts.ended, counts.couldEnd));
  if (counts.couldStart > 0) levels.push(serviceLevel('started', counts.started, counts.couldStart));
  if (counts.wantedS > 0) levels.push(serviceLevel('replicas', counts.ranS, counts.wantedS));
  if (counts.timed > 0) levels.push(serviceLevel('in time', counts.inTime, counts.timed));
  return levels;
}

/** The service levels that are missed, without those that are only a warning. */
export function missedServiceLevels(counts: ServiceLevelCounts): ServiceLevel[] {
  return serviceLevels(counts).filter((level) => level.margin < 0 && !level.isWarning);
}

/** What became of a job so far. */
export interface JobOutcome {
  readonly spec: JobSpec;
  /** Its age in seconds at its end, or now. */
  readonly ageS: number;
  /** Its age in seconds at its first start, as far as it is known; null: it has not started. */
  readonly startedS: number | null;
  readonly isEnded: boolean;
  /** Cancelled by its user: what it had not reached by then counts neither way. */
  readonly isCancelled: boolean;
}

/** Counts a job; the replica seconds of services are counted as they run. */
export function countJob(counts: ServiceLevelCounts, job: JobOutcome): void {
  countStarted(counts, job, START_GRACE_S, Infinity);
  countEnded(counts, job);
}

/** Counts one of the largest jobs of its class: it has to start in time, not only at all. */
export function countLargestJob(counts: ServiceLevelCounts, job: JobOutcome): void {
  countStarted(counts, job, LARGEST_JOB_START_S, LARGEST_JOB_START_S);
  countEnded(counts, job);
}

/** A job that has not started counts from the age of `graceS` on; started after `withinS`, it counts as not started. */
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
