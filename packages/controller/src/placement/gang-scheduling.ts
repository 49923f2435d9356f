import type { Job, Placement } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { Settings } from '../settings.js';
import { maxHeartbeatIntervalMs } from '../settings.js';

/** An image may take this many times its nominal time: a slow machine, and another image beside it. */
const SLOWEST_FETCH = 2.25;
const GANG_MARGIN_S = 10;

/**
 * Whether every task of the gang can be told now: a stop that some hear too late saves nothing, and costs
 * all of them what they did since their last checkpoint.
 */
export function isWholeGangReachable(
  cluster: ClusterState,
  settings: Settings,
  job: Job,
  now: MonotonicMs,
): boolean {
  for (const p of job.placements.values()) {
    const m = cluster.machines.get(p.machine);
    const heardAt = m?.lastHeartbeatAt ?? null;
    if (m === undefined || heardAt === null || (m.state !== 'ready' && m.state !== 'draining')) return false;
    if (p.state !== 'running' || p.stopRequest !== null) return false;
    if (now - heardAt > maxHeartbeatIntervalMs(settings) + 1000) return false;
  }
  return true;
}

/**
 * Whether a gang's task, whose machine has the image, is not started yet because another one may fetch
 * it for longer than the first may wait: it would exit as incomplete, and the gang with it, each time.
 */
export function isGangStartDelayed(
  cluster: ClusterState,
  settings: Settings,
  job: Job,
  p: Placement,
): boolean {
  const { spec } = job;
  const m = cluster.machines.get(p.machine);
  if (spec.kind !== 'gang' || spec.tasks === 1 || m?.images.has(spec.image) !== true) return false;
  const type = cluster.machineType(m.type);
  const slowestS = type === undefined ? 0 : (spec.imageGb / type.fetchGbPerS) * SLOWEST_FETCH;
  if (slowestS <= settings.workers.gangWaitS - GANG_MARGIN_S) return false;
  for (const other of job.placements.values())
    if (other.state !== 'waiting' && cluster.machines.get(other.machine)?.images.has(spec.image) !== true)
      return true;
  return false;
}
