/**
 * Publishes the progress of jobs to the other controllers.
 *
 * @module
 */
import type { Job, Placement } from '@spurbridge/model';
import type { JobId, JobProgress } from '@spurbridge/wire';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { ClusterState } from './cluster-state.js';

const PUBLISH_INTERVAL_MS = 1000;

/** Publishes the progress of jobs that have changed. Progress is only displayed; no decision depends on it. */
export class ProgressPublisher {
  private readonly changedJobs = new Set<JobId>();

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
  ) {
    cluster.on('jobChanged', (job) => {
      this.changedJobs.add(job.spec.id);
    });
  }

  /** Publishes at regular intervals until the leader's term ends. */
  async run(): Promise<void> {
    const { clock, publishProgress } = this.term.context;
    while (this.term.isActive) {
      await clock.sleep(PUBLISH_INTERVAL_MS);
      const progress: JobProgress[] = [];
      for (const id of this.changedJobs) {
        const job = this.cluster.jobs.get(id);
        if (job?.state === 'active') progress.push(progressOf(job));
      }
      this.changedJobs.clear();
      if (progress.length > 0) publishProgress(progress);
    }
  }

  /** The progress of a job, or null for one that is not known here. */
  progressOfJob(id: JobId): JobProgress | null {
    const job = this.cluster.jobs.get(id);
    return job === undefined ? null : progressOf(job);
  }
}

function progressOf({ spec, doneCount, placements }: Job): JobProgress {
  const isRunning = ({ state }: Placement): boolean => state === 'running' || state === 'saving';
  return { job: spec.id, done: doneCount, running: [...placements.values()].filter(isRunning).length };
}
