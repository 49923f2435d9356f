/**
 * Detects jobs that keep waiting although they could start.
 *
 * @module
 */
import { EPSILON } from '@spurbridge/model';
import type { SimulatedWorker } from '@spurbridge/simulated-worker';
import type { JobId, JobSpec } from '@spurbridge/wire';
import type { World } from './world.js';

/** Maximum waiting time of a job that could start, once all faults are over, in milliseconds. */
export const STARVATION_LIMIT_MS = 90_000;
/**
 * How long a run has to continue after all faults, in milliseconds, so that starvation is detected. Room for a waiting
 * job may appear only when the tasks that the faults delayed end; the limit counts from then on.
 */
export const STARVATION_DETECTION_MS = STARVATION_LIMIT_MS + 60_000;
const CHECK_INTERVAL_MS = 1000;

/**
 * Whether a further part of the job could start at once: all tasks of a gang, or one more task of an array or a
 * service.
 */
export function couldStart(world: World, spec: JobSpec): boolean {
  const minTasks = spec.kind === 'gang' ? spec.tasks : 1;
  if (!hasQuota(world, spec, minTasks)) return false;
  const running = world.checker.runningTasks(spec.id);
  const workers = [...world.workers.values()];
  if (!spec.oneZone && !spec.spread) return countFitting(workers, spec) >= minTasks;
  const zones = [...new Set(workers.map(({ zone }) => zone))];
  const roomByZone = zones.map((zone) => {
    const runningInZone = running.filter((task) => task.zone === zone).length;
    if (spec.oneZone && runningInZone < running.length) return 0;
    const maxInZone = spec.spread ? Math.ceil(spec.tasks / 2) - runningInZone : Infinity;
    const fitting = countFitting(
      workers.filter((worker) => worker.zone === zone),
      spec,
    );
    return Math.min(maxInZone, fitting);
  });
  if (spec.oneZone) return roomByZone.some((room) => room >= minTasks);
  return roomByZone.reduce((sum, room) => sum + room, 0) >= minTasks;
}

/** Once all faults are over, checks every second for starved jobs and reports them. */
export function watchForStarvation(world: World): void {
  const waitingSince = new Map<JobId, number>();
  const check = (): void => {
    for (const spec of world.checker.submitted.values()) checkJob(world, spec, waitingSince);
    world.time.after(CHECK_INTERVAL_MS, check);
  };
  world.time.after(world.checker.faultsEndMs - world.time.now, check);
}

function checkJob(world: World, spec: JobSpec, waitingSince: Map<JobId, number>): void {
  const { checker, time } = world;
  const { id } = spec;
  if (!isWaiting(world, spec)) {
    waitingSince.delete(id);
    return;
  }
  const sinceMs = waitingSince.get(id) ?? time.now;
  waitingSince.set(id, sinceMs);
  if (time.now - sinceMs < STARVATION_LIMIT_MS) return;
  checker.jobStarved(id, time.now - sinceMs);
  waitingSince.set(id, time.now);
}

function isWaiting(world: World, spec: JobSpec): boolean {
  const { checker } = world;
  const { id } = spec;
  return (
    checker.isAccepted(id) &&
    !checker.isCancellationRequested(id) &&
    !checker.isCompleted(id) &&
    hasUnstartedTasks(world, spec) &&
    couldStart(world, spec)
  );
}

/**
 * Whether some task of the job is neither done nor on a machine, where tasks that wait for their image count as on the
 * machine. The tasks of a gang start together, so only a gang without any task on a machine can start.
 */
function hasUnstartedTasks({ checker, workers }: World, { id, kind, tasks }: JobSpec): boolean {
  const startedTasks = new Set<number>();
  for (const worker of workers.values())
    for (const { job, task } of worker.occupyingTasks())
      if (job.id === id && !checker.isTaskDone(id, task)) startedTasks.add(task);
  if (kind === 'gang') return startedTasks.size === 0;
  return startedTasks.size + checker.doneTaskCountOf(id) < tasks;
}

/**
 * Whether this many tasks of the job are within its team's limits, including the team's tasks on machines.
 */
function hasQuota(world: World, spec: JobSpec, tasks: number): boolean {
  const team = world.teams.find((candidate) => candidate.name === spec.team);
  if (team === undefined) return false;
  let cpus = tasks * spec.cpus;
  let gpus = tasks * spec.gpus;
  for (const worker of world.workers.values())
    for (const { job } of worker.occupyingTasks())
      if (job.team === spec.team) {
        cpus += job.cpus;
        gpus += job.gpus;
      }
  return cpus <= team.cpusMax + EPSILON && gpus <= team.gpusMax + EPSILON;
}

/** The number of the job's tasks that still fit on these machines. */
function countFitting(workers: readonly SimulatedWorker[], spec: JobSpec): number {
  return workers.reduce((sum, worker) => sum + fittingTasks(worker, spec), 0);
}

/** The number of the job's tasks that still fit on the machine. */
function fittingTasks(worker: SimulatedWorker, spec: JobSpec): number {
  if (!isAllowedOn(worker, spec)) return 0;
  let { cpus, gpus, memoryGb } = worker.type;
  for (const { job } of worker.occupyingTasks()) {
    cpus -= job.cpus;
    gpus -= job.gpus;
    memoryGb -= job.memoryGb;
  }
  const fitting = Math.min(
    countThatFit(cpus, spec.cpus),
    countThatFit(gpus, spec.gpus),
    countThatFit(memoryGb, spec.memoryGb),
  );
  return Math.max(0, fitting);
}

function isAllowedOn(worker: SimulatedWorker, spec: JobSpec): boolean {
  if (!worker.alive || worker.isHanging) return false;
  if (spec.types !== null && !spec.types.includes(worker.type.name)) return false;
  if (spec.zone !== null && spec.zone !== worker.zone) return false;
  return spec.spot || !worker.spot;
}

function countThatFit(available: number, each: number): number {
  return each <= 0 ? Infinity : Math.floor((available + EPSILON) / each);
}
