import type { Job, Placement, Team } from '@spurbridge/model';
import { EPSILON, isUnsent } from '@spurbridge/model';
import type { Ms } from '@spurbridge/net';
import type { Cluster } from './cluster.js';

interface Use {
  cpus: number;
  gpus: number;
}

interface Unsent {
  readonly job: Job;
  readonly placement: Placement;
}

/** What all that may be on a machine uses of a team's limit, and what of it no machine was told of yet. */
function useOf(cluster: Cluster, team: string): { readonly use: Use; readonly unsent: Unsent[] } {
  const use = { cpus: 0, gpus: 0 };
  const unsent: Unsent[] = [];
  for (const job of cluster.jobs.values()) {
    if (job.spec.team !== team) continue;
    for (const placement of job.placements.values()) {
      use.cpus += job.spec.cpus;
      use.gpus += job.spec.gpus;
      // A gang starts as a whole: part of it given up would stop the rest.
      if (job.gang === null && isUnsent(placement) && placement.stop === null)
        unsent.push({ job, placement });
    }
  }
  return { use, unsent };
}

function isBeyond(use: Use, team: Team): boolean {
  return use.cpus > team.cpusMax + EPSILON || use.gpus > team.gpusMax + EPSILON;
}

/**
 * A limit that was lowered lets nothing new start: placements beyond it of which no machine was told are given up, the
 * latest first. What was told to start runs on.
 */
export function giveUpBeyondLimits(cluster: Cluster, teams: readonly Team[], now: Ms): void {
  const used = new Map<string, Use>();
  for (const job of cluster.jobs.values()) {
    if (job.placements.size === 0) continue;
    const use = used.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
    used.set(job.spec.team, use);
    use.cpus += job.spec.cpus * job.placements.size;
    use.gpus += job.spec.gpus * job.placements.size;
  }
  for (const team of teams) {
    const sum = used.get(team.name);
    if (sum === undefined || !isBeyond(sum, team)) continue;
    const { use, unsent } = useOf(cluster, team.name);
    unsent.sort((a, b) => b.placement.placedAt - a.placement.placedAt);
    for (const { job, placement } of unsent) {
      if (!isBeyond(use, team)) break;
      job.askStop(placement.task, 0, 'preempted', now);
      cluster.emit('due', placement.machine);
      use.cpus -= job.spec.cpus;
      use.gpus -= job.spec.gpus;
    }
  }
}
