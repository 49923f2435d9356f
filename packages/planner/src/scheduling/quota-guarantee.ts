import type { JobView, ClusterSnapshot } from '../cluster-snapshot.js';
import { OVERDUE_FACTOR } from './job-order.js';
import { EPSILON } from '@spurbridge/model';

/** How many of its milestones a job cannot meet any more, even if all of it started now. */
function countMissedMilestones(j: JobView): number {
  const last = j.completionMilestonesS.at(-1);
  if (last === undefined || j.pendingTasks.length === 0 || j.ageS > last * OVERDUE_FACTOR) return 0;
  return j.completionMilestonesS.filter(
    (m, i) => j.ageS + j.estimateS > m && j.ageS > (j.startMilestonesS[i] ?? -1),
  ).length;
}

/**
 * Jobs that fit in their team's guarantee along with the team's earlier unfinished jobs. Among a team's
 * own jobs it is not for the late ones: its oldest jobs, all late already in a burst, went ahead of every
 * job that could still be in time.
 */
export function jobsWithinGuarantee(s: ClusterSnapshot): Set<JobView> {
  const used = new Map<string, { cpus: number; gpus: number }>();
  const inside = new Set<JobView>();
  const ranked = s.jobs.map((job) => ({ job, late: countMissedMilestones(job) }));
  ranked.sort((a, b) => a.late - b.late || a.job.submissionOrder - b.job.submissionOrder);
  for (const { job: j } of ranked) {
    const team = s.teams.find((t) => t.name === j.spec.team);
    if (team === undefined) continue;
    const sum = used.get(team.name) ?? { cpus: 0, gpus: 0 };
    sum.cpus += j.spec.cpus * j.unfinishedCount;
    sum.gpus += j.spec.gpus * j.unfinishedCount;
    used.set(team.name, sum);
    if (sum.cpus <= team.cpus + EPSILON && sum.gpus <= team.gpus + EPSILON) inside.add(j);
  }
  return inside;
}
