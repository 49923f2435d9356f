/**
 * Rules for gangs, whose tasks start and stop together.
 *
 * @module
 */
import type { Job, Placement } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import type { JobSpec, MachineId } from '@spurbridge/wire';
import type { ClusterState } from '../jobs/cluster-state.js';
import { lateHeartbeatMs } from '../machines/heartbeat-lateness.js';
import type { Settings } from '../settings.js';

/** Ratio of the longest to the nominal time of an image fetch: on a slow machine, concurrently with another fetch. */
const SLOWEST_FETCH_FACTOR = 2.25;
/** Safety margin of the time that a gang's task waits for the others, in seconds. */
const GANG_WAIT_MARGIN_S = 10;

/**
 * Whether all tasks of the gang run on machines that can receive a stop now. If the stop reaches some of them too late,
 * no checkpoint is saved, and all tasks lose their work since the last one.
 */
export function isWholeGangReachable(
  cluster: ClusterState,
  settings: Settings,
  job: Job,
  now: MonotonicMs,
): boolean {
  const maxSilenceMs = lateHeartbeatMs(settings);
  if (job.gang?.isRunningUnstopped !== true) return false;
  for (const id of job.gang.machines.keys()) {
    const machine = cluster.machines.get(id);
    if (machine === undefined || machine.lastHeartbeatAt === null) return false;
    if (machine.state !== 'ready' && machine.state !== 'draining') return false;
    if (now - machine.lastHeartbeatAt > maxSilenceMs) return false;
  }
  return true;
}

/**
 * Whether the start of a gang's task is delayed although its machine has the image. If another machine may take longer
 * to fetch the image than the first task may wait, the first task would exit each time because the gang is incomplete,
 * and the whole attempt would fail.
 */
export function isGangStartDelayed(
  cluster: ClusterState,
  settings: Settings,
  job: Job,
  placement: Placement,
): boolean {
  const { spec, gang } = job;
  if (gang === null || spec.tasks === 1 || !hasImage(cluster, spec, placement.machine)) return false;
  if (slowestFetchS(cluster, spec, placement) <= settings.workers.gangWaitS - GANG_WAIT_MARGIN_S)
    return false;
  for (const [machine, { placed, waiting }] of gang.machines)
    if (waiting < placed && !hasImage(cluster, spec, machine)) return true;
  return false;
}

function hasImage(cluster: ClusterState, { image }: JobSpec, machine: MachineId): boolean {
  return cluster.machines.get(machine)?.images.has(image) === true;
}

function slowestFetchS(cluster: ClusterState, { imageGb }: JobSpec, placement: Placement): number {
  const machine = cluster.machines.get(placement.machine);
  const type = machine === undefined ? undefined : cluster.machineType(machine.type);
  return type === undefined ? 0 : (imageGb / type.fetchGbPerS) * SLOWEST_FETCH_FACTOR;
}
