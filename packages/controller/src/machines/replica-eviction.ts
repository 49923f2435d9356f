/**
 * Evicts replicas of services from draining machines, so that they are placed elsewhere.
 *
 * @module
 */
import type { Job, Machine, Placement } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import type { ClusterState } from '../jobs/cluster-state.js';

/** One replica per this many may be moved concurrently, and at least one. */
const REPLICAS_PER_MOVE = 250;
/** A replica that does not run yet counts as being moved until this long after its placement. */
const REPLICA_START_TIMEOUT_MS = 20_000;
/** Added to the time that a replica takes to save its state, in seconds. */
const GRACE_MARGIN_S = 1;

/** The replicas that are disrupted at present. */
interface Disruption {
  readonly replicaCount: number;
  readonly disruptedCount: number;
  readonly jobs: Set<Job>;
}

/**
 * Gracefully evicts replicas from draining machines, at most one per job at a time, and only one at a time in a small
 * fleet. None is evicted while another one waits to be placed.
 */
export function evictReplicas(cluster: ClusterState, draining: readonly Machine[], now: MonotonicMs): void {
  const disruption = measureDisruption(cluster, now);
  if (disruption === null) return;
  const { replicaCount, disruptedCount, jobs } = disruption;
  let remaining = Math.max(1, Math.floor(replicaCount / REPLICAS_PER_MOVE)) - disruptedCount;
  for (const machine of draining)
    for (const { job, task } of cluster.tasksOn(machine.id)) {
      if (remaining <= 0) return;
      if (job.spec.kind !== 'service' || jobs.has(job)) continue;
      job.requestStop(task, job.spec.saveS + GRACE_MARGIN_S, 'drained', now);
      cluster.emit('commandsDue', machine.id);
      jobs.add(job);
      remaining -= 1;
    }
}

/** Counts replicas; returns null while any waits to be placed. */
function measureDisruption(cluster: ClusterState, now: MonotonicMs): Disruption | null {
  let replicaCount = 0;
  let disruptedCount = 0;
  const jobs = new Set<Job>();
  for (const job of cluster.jobs.values()) {
    if (job.spec.kind !== 'service' || job.state !== 'active') continue;
    if (job.pendingCount > 0) return null;
    replicaCount += job.placements.size;
    for (const placement of job.placements.values()) {
      if (!isDisrupted(placement, now)) continue;
      disruptedCount += 1;
      jobs.add(job);
    }
  }
  return { replicaCount, disruptedCount, jobs };
}

function isDisrupted({ stopRequest, state, placedAt }: Placement, now: MonotonicMs): boolean {
  return stopRequest !== null || (state !== 'running' && now - placedAt < REPLICA_START_TIMEOUT_MS);
}
