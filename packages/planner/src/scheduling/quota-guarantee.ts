/**
 * Determines which jobs are within the guaranteed quota of their team.
 *
 * @module
 */

import { EPSILON } from '@spurbridge/model';
import type { ClusterSnapshot, JobView } from '../cluster-snapshot.js';
import type { JobFocus } from '../job-focus.js';
import { isLongOverdue } from './job-order.js';
import type { Quota } from './resources.js';

/**
 * The jobs that fit into their team's guarantee together with the team's unfinished jobs ranked before them.
 * Jobs that can still be in time use the guarantee first. When the oldest jobs used it first, in a burst it went
 * to jobs that were already late, before every job that could still be in time.
 */
export function jobsWithinGuarantee({ jobs, teams }: ClusterSnapshot, focus: JobFocus): Set<JobView> {
  const usedByTeam = new Map<string, Quota>();
  const guaranteed = new Set<JobView>();
  const ranked = jobs.map((job) => {
    focus.set(job);
    return { job, missedMilestones: countMissedMilestones(job) };
  });
  ranked.sort(
    (first, second) =>
      first.missedMilestones - second.missedMilestones ||
      first.job.submissionOrder - second.job.submissionOrder,
  );
  for (const { job } of ranked) {
    focus.set(job);
    const { spec, unfinishedCount } = job;
    const team = teams.find(({ name }) => name === spec.team);
    if (team === undefined) continue;
    const used = usedByTeam.get(team.name) ?? { cpus: 0, gpus: 0 };
    used.cpus += spec.cpus * unfinishedCount;
    used.gpus += spec.gpus * unfinishedCount;
    usedByTeam.set(team.name, used);
    if (used.cpus <= team.cpus + EPSILON && used.gpus <= team.gpus + EPSILON) guaranteed.add(job);
  }
  return guaranteed;
}

/** The number of milestones that a job misses even if all of it starts now. */
function countMissedMilestones(job: JobView): number {
  const { ageS, estimateS, completionMilestonesS, startMilestonesS } = job;
  if (completionMilestonesS.length === 0 || job.pendingTasks.length === 0 || isLongOverdue(job)) return 0;
  return completionMilestonesS.filter(
    (milestoneS, level) => ageS + estimateS > milestoneS && ageS > (startMilestonesS[level] ?? -1),
  ).length;
}
