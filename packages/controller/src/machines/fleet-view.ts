/**
 * The fleet planner's view of the machines.
 *
 * @module
 */
import type { Job } from '@spurbridge/model';
import { maxTasksPerZone } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import type { FleetMachine, Replica, ZoneSpread } from '@spurbridge/planner';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { PlacedTask } from '../jobs/placement-index.js';

/** Minimum run time of a replica before it may be moved, because moving it sooner would waste its start. */
const MIN_REPLICA_RUN_MS = 45_000;

/** The resources that a machine's tasks use. */
interface MachineLoad {
  usedCpus: number;
  usedGpus: number;
  usedMemoryGb: number;
  nonPreemptibleCpus: number;
  nonPreemptibleMemoryGb: number;
  /** Jobs of the replicas on it, one entry per replica; empty unless the planner consolidates. */
  readonly services: Job[];
  /** Whether the machine may be emptied: it runs no gang and no replica that started recently. */
  isStable: boolean;
}

/**
 * Builds the fleet planner's view of all machines that are not being released.
 *
 * @param isConsolidating whether the planner looks for a machine to consolidate; replicas are listed only then
 * @param discoveredBy until when a machine that was up before this leader's term and has not sent a heartbeat to it
 * counts as booting. Without this limit, a zone that had become unreachable before the failover counted as booting, and
 * its machines were not replaced
 */
export function buildFleetView(
  cluster: ClusterState,
  now: MonotonicMs,
  isConsolidating: boolean,
  discoveredBy: MonotonicMs,
): FleetMachine[] {
  const machines: FleetMachine[] = [];
  const zoneSpreads = new Map<Job, ZoneSpread | null>();
  const zoneSpreadOf = (job: Job): ZoneSpread | null => {
    let spread = zoneSpreads.get(job);
    if (spread === undefined) {
      spread = measureZoneSpread(cluster, job);
      zoneSpreads.set(job, spread);
    }
    return spread;
  };
  for (const machine of cluster.machines.values()) {
    const type = cluster.machineType(machine.type);
    if (type === undefined || machine.state === 'gone' || machine.state === 'releasing') continue;
    const load = measureLoad(cluster.tasksOn(machine.id), now, isConsolidating);
    const { id, zone, spot, idleSince, isSchedulable, images } = machine;
    // Lists each property by itself: with several spread objects in the literal, this function took ten times as long.
    machines.push({
      id,
      type,
      zone,
      spot,
      isBooting: machine.state === 'booting' && (now < discoveredBy || !cluster.isKnownToHaveRun(machine)),
      canScaleIn: machine.isProvisioned || cluster.minimizesCost,
      idleS: idleSince === null ? 0 : (now - idleSince) / 1000,
      usedCpus: load.usedCpus,
      usedGpus: load.usedGpus,
      usedMemoryGb: load.usedMemoryGb,
      nonPreemptibleCpus: load.nonPreemptibleCpus,
      nonPreemptibleMemoryGb: load.nonPreemptibleMemoryGb,
      isSchedulable,
      images,
      replicas: load.services.map((job): Replica => ({ ...job.spec, zoneSpread: zoneSpreadOf(job) })),
      isStable: load.isStable,
    });
  }
  return machines;
}

function measureLoad(tasks: Iterable<PlacedTask>, now: MonotonicMs, isConsolidating: boolean): MachineLoad {
  const load: MachineLoad = {
    usedCpus: 0,
    usedGpus: 0,
    usedMemoryGb: 0,
    nonPreemptibleCpus: 0,
    nonPreemptibleMemoryGb: 0,
    services: [],
    isStable: true,
  };
  for (const placed of tasks) {
    const { job } = placed;
    const { cpus, gpus, memoryGb, kind } = job.spec;
    load.usedCpus += cpus;
    load.usedGpus += gpus;
    load.usedMemoryGb += memoryGb;
    if (kind === 'array') continue;
    load.nonPreemptibleCpus += cpus;
    load.nonPreemptibleMemoryGb += memoryGb;
    if (kind === 'gang') load.isStable = false;
    if (kind !== 'service' || !isConsolidating) continue;
    load.services.push(job);
    if (!hasRunLongEnough(placed, now)) load.isStable = false;
  }
  return load;
}

function hasRunLongEnough({ job, task }: PlacedTask, now: MonotonicMs): boolean {
  const placement = job.placements.get(task);
  if (placement === undefined || placement.runningSince === null || placement.stopRequest !== null)
    return false;
  return now - placement.runningSince >= MIN_REPLICA_RUN_MS;
}

/** The zones of a job's replicas and the constraints on them; null without constraints. */
function measureZoneSpread(cluster: ClusterState, job: Job): ZoneSpread | null {
  const { spread, oneZone } = job.spec;
  if (!spread && !oneZone) return null;
  return { replicasByZone: cluster.tasksByZone(job), maxPerZone: maxTasksPerZone(job.spec), oneZone };
}
