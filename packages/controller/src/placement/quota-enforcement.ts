/**
 * Cancels placements when an operator lowers a team's quota.
 *
 * @module
 */
import type { Job, Placement, Team } from '@spurbridge/model';
import { EPSILON, isUnsent } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { ResourceUsage } from './resource-usage.js';
import { addTaskUsage, usageOf } from './resource-usage.js';

interface UnsentPlacement {
  readonly job: Job;
  readonly placement: Placement;
}

/**
 * Cancels placements beyond a team's limit whose starts were not sent yet, the latest first. Tasks whose start was sent
 * continue to run.
 */
export function cancelUnsentBeyondQuota(
  cluster: ClusterState,
  teams: readonly Team[],
  now: MonotonicMs,
): void {
  const usageByTeam = measureUsage(cluster);
  for (const team of teams) {
    const usage = usageByTeam.get(team.name);
    if (usage === undefined || !isBeyondLimit(usage, team)) continue;
    for (const { job, placement } of unsentPlacementsOf(cluster, team.name)) {
      if (!isBeyondLimit(usage, team)) break;
      job.requestStop(placement.task, 0, 'preempted', now);
      cluster.emit('commandsDue', placement.machine);
      addTaskUsage(usage, job.spec, -1);
    }
  }
}

/** The usage of each team by tasks that may be on a machine. */
function measureUsage(cluster: ClusterState): Map<string, ResourceUsage> {
  const usageByTeam = new Map<string, ResourceUsage>();
  for (const { spec, placements } of cluster.jobs.values())
    if (placements.size > 0) addTaskUsage(usageOf(usageByTeam, spec.team), spec, placements.size);
  return usageByTeam;
}

/** The team's placements whose starts were not sent yet, the latest first. */
function unsentPlacementsOf(cluster: ClusterState, team: string): UnsentPlacement[] {
  const unsent: UnsentPlacement[] = [];
  for (const job of cluster.jobs.values()) {
    // A gang starts as a whole: cancelling part of it would stop the rest.
    if (job.spec.team !== team || job.gang !== null) continue;
    for (const placement of job.placements.values())
      if (isUnsent(placement) && placement.stopRequest === null) unsent.push({ job, placement });
  }
  return unsent.sort((left, right) => right.placement.placedAt - left.placement.placedAt);
}

function isBeyondLimit(usage: ResourceUsage, team: Team): boolean {
  return usage.cpus > team.cpusMax + EPSILON || usage.gpus > team.gpusMax + EPSILON;
}
