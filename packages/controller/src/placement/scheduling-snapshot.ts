import type { MonotonicMs } from '@spurbridge/net';
import type { Placement } from '@spurbridge/model';
import type { Job } from '@spurbridge/model';
import type { JobView, MachineView, Occupant, ClusterSnapshot } from '@spurbridge/planner';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { RuntimeEstimator } from './runtime-estimator.js';
import type { Settings } from '../settings.js';
import { maxHeartbeatIntervalMs } from '../settings.js';

/** Starting value of the design: seconds of summed waiting after which a job goes first. */
const STARVATION_S = 30;
/**
 * Room that is expected to come free within this is given to a task now: its intent is durable by then, and it starts with the
 * report that shows the room. Longer, and estimates are too far off to tie a task to one machine.
 */
const HEAD_S = 0.5;
/** Tasks of one job that one plan looks at. */
const PLAN_TASKS = 200;

function occupant(job: Job, p: Placement, now: MonotonicMs, expectedS: number): Occupant {
  const spec = job.spec;
  const ranS = p.runningSince === null ? 0 : (now - p.runningSince) / 1000;
  const overS = expectedS - ranS;
  const isWaiting = p.state === 'intended' || p.state === 'queued';
  // Past its estimate, a task is expected to take a share longer of what it took already.
  const remainingS = p.stopRequest !== null ? 0.5 : overS > 0.5 ? overS : Math.max(0.5, ranS * 0.25);
  return {
    job: spec.id,
    task: p.task,
    cpus: spec.cpus,
    gpus: spec.gpus,
    memoryGb: spec.memoryGb,
    remainingS: spec.kind === 'service' && p.stopRequest === null ? Infinity : remainingS,
    lostWorkS: isWaiting ? 0 : spec.checkpointS > 0 ? Math.min(ranS, 1) : (now - p.placedAt) / 1000,
    priority: spec.priority,
    team: spec.team,
    isStopping: p.stopRequest !== null,
    isPreemptible: spec.kind !== 'gang',
  };
}

/**
 * What the planner sees: everything that may be on a machine counts, also where none is heard, and of the
 * jobs those that have joined the order.
 */
export function buildSchedulingSnapshot(
  cluster: ClusterState,
  estimates: RuntimeEstimator,
  settings: Settings,
  now: MonotonicMs,
  hasJoined: (job: Job) => boolean,
): ClusterSnapshot {
  const machines: MachineView[] = [];
  const expected = new Map<Job, number>();
  const expect = (job: Job): number => {
    let s = expected.get(job);
    if (s === undefined) {
      s = estimates.expectedRuntimeS(job.spec);
      expected.set(job, s);
    }
    return s;
  };
  const freshMs = maxHeartbeatIntervalMs(settings) + 1500;
  for (const m of cluster.machines.values()) {
    if (m.state === 'gone') continue;
    const type = cluster.machineType(m.type) ?? {
      name: m.type,
      cpus: 0,
      gpus: 0,
      memoryGb: 0,
      cacheGb: 0,
      fetchGbPerS: 1,
      price: 0,
      spotPrice: 0,
      bootS: 0,
      zones: [],
    };
    const occupants: Occupant[] = [];
    const { slowness } = m;
    for (const { job, task } of cluster.tasksOn(m.id)) {
      const p = job.placements.get(task);
      if (p !== undefined) occupants.push(occupant(job, p, now, expect(job) * slowness));
    }
    machines.push({
      id: m.id,
      type,
      zone: m.zone,
      spot: m.spot,
      isSchedulable:
        m.isSchedulable &&
        now >= m.backoffUntil &&
        m.lastHeartbeatAt !== null &&
        now - m.lastHeartbeatAt < freshMs,
      images: m.images,
      slowness,
      occupants,
    });
  }
  const jobs: JobView[] = [];
  let order = 0;
  const active = [...cluster.jobs.values()].filter((j) => j.state === 'active' && hasJoined(j));
  active.sort((a, b) => a.submittedAt - b.submittedAt);
  for (const job of active) jobs.push(viewOf(cluster, estimates, settings, job, now, order++));
  return {
    jobs,
    machines,
    teams: settings.teams,
    starvationThresholdS: STARVATION_S,
    placeAheadS: HEAD_S,
    isCostAware: cluster.minimizesCost,
    typicalTask: estimates.typicalTask(),
  };
}

function viewOf(
  cluster: ClusterState,
  estimates: RuntimeEstimator,
  settings: Settings,
  job: Job,
  now: MonotonicMs,
  order: number,
): JobView {
  const zones: string[] = [];
  if (job.pendingCount > 0)
    for (const p of job.placements.values()) zones.push(cluster.machines.get(p.machine)?.zone ?? '');
  // A gang starts as a whole: while any task of the old attempt may be there, none can, but for what
  // completes an attempt that has not started.
  const blocked = job.spec.kind === 'gang' && job.placements.size > 0 && !job.awaitsReplacementTask;
  const pending = blocked ? [] : job.pendingTasks(job.spec.kind === 'gang' ? job.spec.tasks : PLAN_TASKS);
  const waitS = Math.max(0, now - Math.max(job.submittedAt, job.waitingSince)) / 1000;
  return {
    spec: job.spec,
    pendingTasks: pending,
    pendingCount: job.pendingCount,
    unfinishedCount: job.spec.tasks - job.doneCount,
    placedZones: zones,
    totalWaitS: waitS * job.pendingCount,
    ageS: (now - job.submittedAt) / 1000,
    estimateS: estimates.expectedRuntimeS(job.spec),
    completionMilestonesS: milestones(settings, job),
    startMilestonesS: startMilestones(settings, job),
    toleratedWaitS: patience(settings, job, (now - job.submittedAt) / 1000),
    excludedMachines: job.failedMachines,
    submissionOrder: order,
    // After a takeover a machine may be known by its id alone: without the zones of what it may run,
    // a job that is bound by zones cannot be placed.
    isStartable: now >= job.backoffUntil && !((job.spec.spread || job.spec.oneZone) && zones.includes('')),
  };
}

const LEAST_PATIENCE_S = 0.5;
const LATE_PATIENCE_S = 2;

/** What the aims leave a job to wait before its start; one that is late already is treated alike. */
function patience(settings: Settings, job: Job, ageS: number): number {
  const { objectives } = settings;
  const aim =
    objectives.find((o) => o.kind === 'wait' && o.class === job.spec.class) ??
    objectives.find((o) => o.kind === 'guarantee');
  const withinS = aim?.withinS ?? 0;
  if (job.spec.kind === 'service') return Math.max(LEAST_PATIENCE_S, withinS - ageS);
  return withinS - ageS - 1 > 0 ? withinS - ageS - 1 : LATE_PATIENCE_S;
}

function startMilestones(settings: Settings, job: Job): number[] {
  const ages: number[] = [];
  for (const o of settings.objectives)
    if (o.class === job.spec.class && o.kind === 'wait' && o.withinS !== null) ages.push(o.withinS);
  return ages.sort((a, b) => a - b);
}

function milestones(settings: Settings, job: Job): number[] {
  const { spec } = job;
  const ages: number[] = [];
  for (const o of settings.objectives) {
    if (o.class !== spec.class) continue;
    if (o.kind === 'deadline' && spec.deadlineS !== null) ages.push(spec.deadlineS * (o.times ?? 1));
    else if (o.kind === 'finished' && o.withinS !== null) ages.push(o.withinS);
  }
  if (ages.length === 0 && spec.deadlineS !== null) ages.push(spec.deadlineS);
  return ages.sort((a, b) => a - b);
}
