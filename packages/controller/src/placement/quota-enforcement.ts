import type { Job, Placement, Team } from '@spurbridge/model';
import { EPSILON, isUnsent } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import type { ClusterState } from '../jobs/cluster-state.js';

interface Use {
  cpus: number;
  gpus: number;
}

interface Unsent {
  readonly job: Job;
  readonly placement: Placement;
}

/** What each team's tasks that may be on a machine use of its limit. */
function useByTeam(cluster: ClusterState): Map<string, Use> {
  const used = new Map<string, Use>();
  for (const { spec, placements } of cluster.jobs.values()) {
    if (placements.size === 0) continue;
    const use = used.get(spec.team) ?? { cpus: 0, gpus: 0 };
    used.set(spec.team, use);
    use.cpus += spec.cpus * placements.size;
    use.gpus += spec.gpus * placements.size;
  }
  return used;
}

/** The team's placements of which no machine was told yet, the latest first. */
function unsentOf(cluster: ClusterState, team: string): Unsent[] {
  const unsent: Unsent[] = [];
  for (const job of cluster.jobs.values()) {
    // A gang starts as a whole: part of it given up would stop the rest.
    if (job.spec.team !== team || job.gang !== null) continue;
    for (const placement of job.placements.values())
      if (isUnsent(placement) && placement.stopRequest === null) unsent.push({ job, placement });
  }
  return unsent.sort((a, b) => b.placement.placedAt - a.placement.placedAt);
}

function isBeyond(use: Use, team: Team): boolean {
  return use.cpus > team.cpusMax + EPSILON || use.gpus > team.gpusMax + EPSILON;
}

/**
 * A limit that was lowered lets nothing new start: placements beyond it of which no machine was told are given up, the
 * latest first. What was told to start runs on.
 */
export function cancelUnsentBeyondQuota(
  cluster: ClusterState,
  teams: readonly Team[],
  now: MonotonicMs,
): void {
  const used = useByTeam(cluster);
  for (const team of teams) {
    const use = used.get(team.name);
    if (use === undefined || !isBeyond(use, team)) continue;
    for (const { job, placement } of unsentOf(cluster, team.name)) {
      if (!isBeyond(use, team)) break;
      job.requestStop(placement.task, 0, 'preempted', now);
      cluster.emit('due', placement.machine);
      use.cpus -= job.spec.cpus;
      use.gpus -= job.spec.gpus;
    }
  }
}
