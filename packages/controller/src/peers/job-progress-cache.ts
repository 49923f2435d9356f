/**
 * The progress of jobs as the leader publishes it.
 *
 * @module
 */
import type { JobId, JobProgress } from '@spurbridge/wire';

/** Maximum number of entries; the ones published longest ago are dropped first. */
const MAX_ENTRIES = 5000;

/** Keeps the latest published progress of each job, for display on controllers that do not lead. */
export class JobProgressCache {
  /** In the order in which the entries were last published. */
  private readonly entries = new Map<JobId, JobProgress>();

  /** Records published progress. */
  record(published: readonly JobProgress[]): void {
    for (const progress of published) {
      const job = progress.job as JobId;
      this.entries.delete(job);
      this.entries.set(job, progress);
    }
    for (const job of this.entries.keys()) {
      if (this.entries.size <= MAX_ENTRIES) break;
      this.entries.delete(job);
    }
  }

  /** The progress of a job, or null if none is in the cache. */
  get(job: JobId): JobProgress | null {
    return this.entries.get(job) ?? null;
  }
}
