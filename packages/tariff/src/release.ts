/**
 * Decides when deferrable jobs are released: a pure function, so that the same input gives the same decisions
 * on any node.
 *
 * @module
 */
import type { DeferrableJob, ReleaseDecision, ReleaseInput } from './release-decision.js';
import { ReleasePlanner } from './release-planner.js';

/**
 * The release time of each job: the cheapest moment that is safe given all other waiting jobs.
 *
 * Jobs are planned in the order of their latest safe release, each on the capacity that the earlier ones
 * left. The result is a schedule that meets every finish time, and no job waits without a place in it. If
 * each job needs one place and the windows are nested, as with finish times alone, this order is optimal.
 */
export function decideReleases(input: ReleaseInput): ReleaseDecision[] {
  const planner = new ReleasePlanner(input);
  const latestReleases = Float64Array.from(input.jobs, latestRelease);
  const jobAt = (index: number): DeferrableJob => input.jobs[index] as DeferrableJob;
  const order = Array.from(input.jobs.keys()).sort(
    (left, right) =>
      (latestReleases[left] as number) - (latestReleases[right] as number) ||
      (jobAt(left).id < jobAt(right).id ? -1 : 1),
  );
  return order.map((index) => planner.decide(jobAt(index)));
}

/** The latest moment at which a job can safely be released, in milliseconds since 1970. */
function latestRelease(job: DeferrableJob): number {
  const latestStart = job.finishBy - (job.taskRunTimeS + job.marginS) * 1000;
  return Math.min(latestStart, job.startBy ?? Infinity) - job.leadTimeS * 1000;
}
