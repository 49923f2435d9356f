/**
 * Cotasks: job arrays of ready tasks of one graph, and the job ids under which the scheduler runs them.
 *
 * @module
 */
import type { Job } from '@spurbridge/model';
import type { GraphId, JobId } from '@spurbridge/wire';

/**
 * Name of a cotask, unique for ever: the fencing token of the leader that submitted it, and a counter of that
 * leader.
 */
export type CotaskName = string;

/** Start of the job ids of all cotasks. */
export const COTASK_JOB_ID_PREFIX = 'wk-.gr-';

/**
 * Job id of a cotask. No user can choose such an id, and it is never used again: a worker remembers tasks by
 * their names and would answer with the result of an earlier one.
 */
export function cotaskJobId(graph: GraphId, cotask: CotaskName): JobId {
  return `wk-.${graph}.${cotask}` as JobId;
}

/** The cotask that a job id made by {@link cotaskJobId} names. */
export function cotaskNameOf(job: JobId): CotaskName {
  return job.slice(job.lastIndexOf('.') + 1);
}

/** A cotask and the graph that it belongs to. */
export interface CotaskReference {
  readonly graph: GraphId;
  readonly cotask: CotaskName;
}

/** What this leader knows of the jobs that stand for cotasks. */
export class CotaskRegistry {
  private readonly referenceByJob = new Map<JobId, CotaskReference>();
  /** Cotasks whose commit got no response: it may have been executed. */
  private readonly unconfirmed = new Set<JobId>();
  private readonly finished = new Set<JobId>();

  /** Records which cotask a job stands for. */
  register(job: JobId, reference: CotaskReference): void {
    this.referenceByJob.set(job, reference);
  }

  /** Drops what is known of a job. */
  forget(job: JobId): void {
    this.referenceByJob.delete(job);
  }

  /** Drops which cotasks the jobs stand for, to begin reading anew. */
  clear(): void {
    this.referenceByJob.clear();
  }

  /** The cotask that a job stands for, if that is known. */
  find(job: JobId): CotaskReference | undefined {
    return this.referenceByJob.get(job);
  }

  /** The cotask's commit is under way. */
  markUnconfirmed(job: JobId): void {
    this.unconfirmed.add(job);
  }

  /** It is known whether the cotask's commit was executed. */
  markResolved(job: JobId): void {
    this.unconfirmed.delete(job);
  }

  /** Whether the job may be planned: it is no cotask, or known to be submitted for known tasks. */
  isRunnable(job: Job): boolean {
    const { id } = job.spec;
    return job.graph === null || (this.referenceByJob.has(id) && !this.unconfirmed.has(id));
  }

  /** The cotask has ended, and its job record can be deleted. */
  markFinished(job: JobId): void {
    this.finished.add(job);
  }

  /** The job record was deleted. */
  markDeleted(job: JobId): void {
    this.finished.delete(job);
  }

  /** Some cotasks that have ended and whose job records are still there, at most `limit`. */
  finishedJobs(limit: number): JobId[] {
    return [...this.finished].slice(0, limit);
  }
}
