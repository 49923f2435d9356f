/**
 * Cotasks: job arrays of ready tasks of one graph, and the job ids under which the scheduler runs them.
 *
 * @module
 */
import type { Job } from '@spurbridge/model';
import type { GraphId, JobId } from '@spurbridge/wire';

/**
 * Unique name of a cotask: the fencing token of the leader that submitted it, and a counter of that leader.
 */
export type CotaskName = string;

/** Prefix of the job ids of all cotasks. */
export const COTASK_JOB_ID_PREFIX = 'wk-.gr-';

/**
 * Job id of a cotask. Users cannot choose such an id, and it is never reused: a worker remembers tasks by
 * name and would report the result of an earlier one.
 */
export function cotaskJobId(graph: GraphId, cotask: CotaskName): JobId {
  return `wk-.${graph}.${cotask}` as JobId;
}

/** The cotask of a job id made by {@link cotaskJobId}. */
export function cotaskNameOf(job: JobId): CotaskName {
  return job.slice(job.lastIndexOf('.') + 1);
}

/** A cotask and the graph that it belongs to. */
export interface CotaskReference {
  readonly graph: GraphId;
  readonly cotask: CotaskName;
}

/** The leader's state of the jobs that represent cotasks. */
export class CotaskRegistry {
  private readonly referenceByJob = new Map<JobId, CotaskReference>();
  /** Cotasks whose commit got no response and may have been executed. */
  private readonly unconfirmed = new Set<JobId>();
  private readonly finished = new Set<JobId>();

  /** Records which cotask a job represents. */
  register(job: JobId, reference: CotaskReference): void {
    this.referenceByJob.set(job, reference);
  }

  /** Removes a job's entry. */
  forget(job: JobId): void {
    this.referenceByJob.delete(job);
  }

  /** Removes all assignments of jobs to cotasks before they are loaded again. */
  clear(): void {
    this.referenceByJob.clear();
  }

  /** The cotask that a job represents, if known. */
  find(job: JobId): CotaskReference | undefined {
    return this.referenceByJob.get(job);
  }

  /** Records that the cotask's commit is in progress. */
  markUnconfirmed(job: JobId): void {
    this.unconfirmed.add(job);
  }

  /** Records that the outcome of the cotask's commit is known. */
  markResolved(job: JobId): void {
    this.unconfirmed.delete(job);
  }

  /** Whether the job may be planned: it is not a cotask, or its commit is confirmed and its tasks are known. */
  isRunnable(job: Job): boolean {
    const { id } = job.spec;
    return job.graph === null || (this.referenceByJob.has(id) && !this.unconfirmed.has(id));
  }

  /** Records that the cotask has ended, so that its job record can be deleted. */
  markFinished(job: JobId): void {
    this.finished.add(job);
  }

  /** Records that the job record was deleted. */
  markDeleted(job: JobId): void {
    this.finished.delete(job);
  }

  /** At most `limit` ended cotasks whose job records still exist. */
  finishedJobs(limit: number): JobId[] {
    return [...this.finished].slice(0, limit);
  }
}
