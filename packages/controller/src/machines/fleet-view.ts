import type { Job } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import type { ZoneSpread, FleetMachine, Replica, UnplacedDemand } from '@spurbridge/planner';
import { effectiveCpus } from '@spurbridge/planner';
import type { MachineType } from '@spurbridge/wire';
import type { ClusterState } from '../jobs/cluster-state.js';

const PEAK_WINDOW_MS = 40_000;
const HEADROOM = 1.1;
/** Room kept for replicas of a lost machine, at most this share of what services use. */
const RESERVE_SHARE = 0.1;
/** A replica is not moved again before this: a start that is stopped soon after does not count. */
const SETTLED_MS = 45_000;

/** What the last while needed, in CPUs: the fleet's target. */
export class DemandHistory {
  private readonly seen: { at: MonotonicMs; cpus: number; ordinary: number }[] = [];

  constructor(
    private readonly cluster: ClusterState,
    private readonly types: () => readonly MachineType[],
  ) {}

  record(unmet: readonly UnplacedDemand[], now: MonotonicMs): void {
    let cpus = 0;
    let ordinary = 0;
    const types = this.types();
    for (const job of this.cluster.jobs.values())
      if (job.placements.size > 0) {
        const needed = job.placements.size * effectiveCpus(job.spec, types);
        cpus += needed;
        if (!job.spec.spot) ordinary += needed;
      }
    for (const u of unmet)
      if (u.isWithinLimit) {
        const needed = u.taskCount * effectiveCpus(u.job.spec, types);
        cpus += needed;
        if (!u.job.spec.spot) ordinary += needed;
      }
    this.seen.push({ at: now, cpus, ordinary });
    while ((this.seen[0]?.at ?? now) < now - PEAK_WINDOW_MS) this.seen.shift();
  }

  target(): { cpus: number; ordinary: number } {
    let cpus = 0;
    let ordinary = 0;
    for (const d of this.seen) {
      cpus += d.cpus;
      ordinary = Math.max(ordinary, d.ordinary);
    }
    return {
      cpus: (cpus / Math.max(1, this.seen.length)) * HEADROOM,
      ordinary: ordinary * HEADROOM + Math.min(this.reserve(), ordinary * RESERVE_SHARE),
    };
  }

  /** Whether services that take ordinary machines alone spread over the zones. */
  spreadsOverZones(): boolean {
    for (const { spec, state } of this.cluster.jobs.values())
      if (state === 'active' && spec.kind === 'service' && spec.spread && !spec.spot) return true;
    return false;
  }

  /** What the loss of one machine would leave without a place: the most that services hold on one. */
  private reserve(): number {
    let most = 0;
    const types = this.types();
    for (const m of this.cluster.machines.values()) {
      if (m.spot || m.state !== 'ready') continue;
      let cpus = 0;
      for (const { job } of this.cluster.tasksOn(m.id))
        if (job.spec.kind === 'service') cpus += effectiveCpus(job.spec, types);
      most = Math.max(most, cpus);
    }
    return most;
  }
}

/**
 * The machines as the fleet's planner sees them. One that was up before this leader and is not heard counts as coming only
 * until workers have had the time to find it, at `foundBy`: a zone that was cut off before a takeover passed for one that was
 * booting, and no room was rented for what was lost with it.
 */
export function buildFleetView(
  cluster: ClusterState,
  now: MonotonicMs,
  consolidates: boolean,
  foundBy: MonotonicMs,
): FleetMachine[] {
  const machines: FleetMachine[] = [];
  const beside = new Map<Job, ZoneSpread | null>();
  for (const m of cluster.machines.values()) {
    const type = cluster.machineType(m.type);
    if (type === undefined || m.state === 'gone' || m.state === 'releasing') continue;
    let usedCpus = 0;
    let usedGpus = 0;
    let usedMemoryGb = 0;
    let steadyCpus = 0;
    let steadyMemoryGb = 0;
    let settled = true;
    const replicas: Replica[] = [];
    for (const { job, task } of cluster.tasksOn(m.id)) {
      usedCpus += job.spec.cpus;
      usedGpus += job.spec.gpus;
      usedMemoryGb += job.spec.memoryGb;
      if (job.spec.kind !== 'array') {
        steadyCpus += job.spec.cpus;
        steadyMemoryGb += job.spec.memoryGb;
      }
      if (job.spec.kind === 'gang') settled = false;
      if (job.spec.kind !== 'service' || !consolidates) continue;
      let b = beside.get(job);
      if (b === undefined) {
        b = besideOf(cluster, job);
        beside.set(job, b);
      }
      replicas.push({ ...job.spec, zoneSpread: b });
      const p = job.placements.get(task);
      if (p?.runningSince === null || p?.stopRequest !== null || now - p.runningSince < SETTLED_MS)
        settled = false;
    }
    machines.push({
      id: m.id,
      type,
      zone: m.zone,
      spot: m.spot,
      isBooting: m.state === 'booting' && (now < foundBy || !cluster.isKnownToHaveRun(m)),
      canScaleIn: m.isProvisioned || cluster.minimizesCost,
      idleS: m.idleSince === null ? 0 : (now - m.idleSince) / 1000,
      usedCpus,
      usedGpus,
      usedMemoryGb,
      nonPreemptibleCpus: steadyCpus,
      nonPreemptibleMemoryGb: steadyMemoryGb,
      isSchedulable: m.isSchedulable,
      images: m.images,
      replicas,
      isStable: settled,
    });
  }
  return machines;
}

function besideOf(cluster: ClusterState, job: Job): ZoneSpread | null {
  const { spec } = job;
  if (!spec.spread && !spec.oneZone) return null;
  const held = new Map<string, number>();
  for (const p of job.placements.values()) {
    const zone = cluster.machines.get(p.machine)?.zone ?? '';
    held.set(zone, (held.get(zone) ?? 0) + 1);
  }
  return {
    replicasByZone: held,
    maxPerZone: spec.spread ? Math.ceil(spec.tasks / 2) : Infinity,
    oneZone: spec.oneZone,
  };
}
