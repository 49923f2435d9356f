import type { JobSpec } from '@spurbridge/wire';

/** Under this share of what was asked and could be served, a class or a team counts as not served. */
export const MIN_SERVED_SHARE = 0.5;
/** Replicas are asked for from so many seconds after their submission on. */
export const REPLICA_GRACE_S = 20;
/** A job may wait this long for its first task before it counts as not started, in seconds. */
export const START_GRACE_S = 60;

/** The largest jobs of a class have to begin within this, in seconds. */
export const LARGEST_JOB_START_S = 240;
/** The largest are this share of a class's jobs; of fewer jobs than this there are none. */
const LARGEST_JOB_SHARE = 0.25;
const LARGEST_JOB_MIN_COUNT = 8;

/** What a job asks for at once, by which the largest of its class are told: CPUs, or accelerators where it has any. */
export function jobSize(spec: JobSpec): number {
  return spec.tasks * (spec.gpus > 0 ? spec.gpus : spec.cpus);
}

/** The size from which a job is among the largest quarter of a class; Infinity where it has too few jobs to tell. */
export function largestJobThreshold(sizes: readonly number[]): number {
  if (sizes.length < LARGEST_JOB_MIN_COUNT) return Infinity;
  const sorted = [...sizes].sort((a, b) => b - a);
  return sorted[Math.floor(sorted.length * LARGEST_JOB_SHARE) - 1] ?? Infinity;
}

/** Age in seconds at which a job that ends by itself could have ended: what is younger counts neither way. */
export function expectedEndAgeS(spec: JobSpec): number {
  return spec.deadlineS === null ? START_GRACE_S + 4 * spec.estimateS : 1.5 * spec.deadlineS;
}

/** Replicas that can run at the same time: bound to one zone and spread over zones, only half of them. */
export function maxRunnableReplicas(spec: JobSpec): number {
  return spec.zone !== null && spec.spread ? Math.ceil(spec.tasks / 2) : spec.tasks;
}

/** What was asked of the service by a class or a team, and what was done of it. */
export interface ServiceLevelCounts {
  /** Jobs that end by themselves and ended or could have; jobs that started or could have. */
  couldEnd: number;
  ended: number;
  /** Of those that ended or could have and have a deadline: how many kept it. */
  timed: number;
  inTime: number;
  couldStart: number;
  started: number;
  /** Replica seconds asked for and run. */
  wantedS: number;
  ranS: number;
}

export function emptyServiceLevelCounts(): ServiceLevelCounts {
  return { couldEnd: 0, ended: 0, timed: 0, inTime: 0, couldStart: 0, started: 0, wantedS: 0, ranS: 0 };
}

export type ServiceLevelIndicator = 'ended' | 'started' | 'replicas' | 'in time';

export interface ServiceLevel {
  readonly indicator: ServiceLevelIndicator;
  readonly share: number;
  /** Share over half; below zero the day has failed. */
  readonly margin: number;
  /** Whether it is only said: operators may mean it, the definition does not. */
  readonly isWarning: boolean;
}

/** The readings of one class or team: one definition for the log, the checker and the regression. */
export function serviceLevels(a: ServiceLevelCounts): ServiceLevel[] {
  const rows: readonly (readonly [ServiceLevelIndicator, number, number])[] = [
    ['ended', a.ended, a.couldEnd],
    ['started', a.started, a.couldStart],
    ['replicas', a.ranS, a.wantedS],
    ['in time', a.inTime, a.timed],
  ];
  return rows
    .filter(([, , of]) => of > 0)
    .map(([indicator, did, of]) => {
      const share = did / of;
      return { indicator, share, margin: share - MIN_SERVED_SHARE, isWarning: indicator === 'in time' };
    });
}

/** The readings under half that fail a day. */
export function missedServiceLevels(a: ServiceLevelCounts): ServiceLevel[] {
  return serviceLevels(a).filter((s) => s.margin < 0 && !s.isWarning);
}

/** One job's part in what was asked, at an age; `ageS` is its age at its end, or now. */
export interface JobOutcome {
  readonly spec: JobSpec;
  readonly ageS: number;
  /** Its age at its first start, as far as it is known; null: it has not begun. */
  readonly startedS: number | null;
  readonly isEnded: boolean;
  /** Cancelled by its user: what it had not reached counts neither way. */
  readonly isCancelled: boolean;
}

/** Adds a job that ends by itself; replicas are added as they run. */
export function countJob(a: ServiceLevelCounts, j: JobOutcome): void {
  countStarted(a, j, START_GRACE_S, Infinity);
  countEnded(a, j);
}

/** Adds one of the largest jobs of its class: it has to begin in time, not only at all. */
export function countLargestJob(a: ServiceLevelCounts, j: JobOutcome): void {
  countStarted(a, j, LARGEST_JOB_START_S, LARGEST_JOB_START_S);
  countEnded(a, j);
}

/** Not begun, it counts from the age of `fromS` on; begun after `withinS` it counts as not started. */
function countStarted(a: ServiceLevelCounts, j: JobOutcome, fromS: number, withinS: number): void {
  const isStarted = j.startedS !== null;
  if (!isStarted && (j.isCancelled || j.ageS < fromS)) return;
  a.couldStart += 1;
  if (isStarted && (j.startedS ?? 0) <= withinS) a.started += 1;
}

function countEnded(a: ServiceLevelCounts, j: JobOutcome): void {
  if (j.spec.kind === 'service' || (j.isCancelled && !j.isEnded)) return;
  if (!j.isEnded && j.ageS < expectedEndAgeS(j.spec)) return;
  a.couldEnd += 1;
  if (j.isEnded) a.ended += 1;
  const { deadlineS } = j.spec;
  if (deadlineS === null) return;
  a.timed += 1;
  if (j.isEnded && j.ageS <= deadlineS) a.inTime += 1;
}
