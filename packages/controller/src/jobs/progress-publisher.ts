import type { Job } from '@spurbridge/model';
import type { JobId, JobProgress } from '@spurbridge/wire';
import type { ClusterState } from './cluster-state.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

const PUBLISH_MS = 1000;

/** Tells the other nodes how far jobs are, for display alone. */
export class ProgressPublisher {
  private readonly changed = new Set<JobId>();

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
  ) {
    cluster.on('changed', (job) => {
      this.changed.add(job.spec.id);
    });
  }

  async run(): Promise<void> {
    while (this.term.isActive) {
      await this.term.context.clock.sleep(PUBLISH_MS);
      const progress: JobProgress[] = [];
      for (const id of this.changed) {
        const job = this.cluster.jobs.get(id);
        if (job !== undefined && job.state === 'active') progress.push(progressOf(job));
      }
      this.changed.clear();
      if (progress.length > 0) this.term.context.publishProgress(progress);
    }
  }

  progressOfJob(id: JobId): JobProgress | null {
    const job = this.cluster.jobs.get(id);
    return job === undefined ? null : progressOf(job);
  }
}

function progressOf(job: Job): JobProgress {
  let running = 0;
  for (const p of job.placements.values()) if (p.state === 'running' || p.state === 'saving') running += 1;
  return { job: job.spec.id, done: job.doneCount, running };
}
