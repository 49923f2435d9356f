import { EPSILON } from '@spurbridge/model';
import type { JobId, JobSpec } from '@spurbridge/wire';
import type { SimulatedWorker } from '@spurbridge/simulated-worker';
import type { World } from './world.js';

/** Once all troubles are over no job waits for so long though it could run, in milliseconds. */
export const STARVATION_LIMIT_MS = 90_000;
const LOOK_MS = 1000;

/** How many tasks of the job still fit on the machine, by what is taken of it. */
function roomOn(x: SimulatedWorker, spec: JobSpec): number {
  const isAllowed =
    x.alive &&
    !x.isHanging &&
    (spec.types === null || spec.types.includes(x.type.name)) &&
    (spec.zone === null || spec.zone === x.zone) &&
    (spec.spot || !x.spot);
  if (!isAllowed) return 0;
  const { cpus, gpus, memoryGb } = x.type;
  let [c, g, m] = [cpus, gpus, memoryGb];
  for (const { job } of x.occupyingTasks()) {
    c -= job.cpus;
    g -= job.gpus;
    m -= job.memoryGb;
  }
  const times = (free: number, each: number): number =>
    each <= 0 ? Infinity : Math.floor((free + EPSILON) / each);
  return Math.max(0, Math.min(times(c, spec.cpus), times(g, spec.gpus), times(m, spec.memoryGb)));
}

/** Whether the job could begin at once: one task of an array or a service, all tasks of a gang. */
export function couldStart(w: World, spec: JobSpec): boolean {
  const least = spec.kind === 'gang' ? spec.tasks : 1;
  const team = w.teams.find((t) => t.name === spec.team);
  if (team === undefined) return false;
  const workers = [...w.workers.values()];
  let [cpus, gpus] = [least * spec.cpus, least * spec.gpus];
  for (const x of workers)
    for (const { job } of x.occupyingTasks())
      if (job.team === spec.team) {
        cpus += job.cpus;
        gpus += job.gpus;
      }
  if (cpus > team.cpusMax + EPSILON || gpus > team.gpusMax + EPSILON) return false;
  const zones = spec.oneZone ? [...new Set(workers.map((x) => x.zone))] : [null];
  return zones.some((zone) => {
    const within = workers.filter((x) => zone === null || x.zone === zone);
    return within.reduce((sum, x) => sum + roomOn(x, spec), 0) >= least;
  });
}

/** Looks once a second, as soon as all troubles are over, whether a job is left waiting though it could begin. */
export function watchForStarvation(w: World): void {
  const since = new Map<JobId, number>();
  const look = (): void => {
    for (const spec of w.checker.submitted.values()) {
      const { id } = spec;
      const waits =
        w.checker.isAccepted(id) &&
        !w.checker.isCancellationRequested(id) &&
        !w.checker.isCompleted(id) &&
        w.checker.runningTasksOf(id) === 0 &&
        couldStart(w, spec);
      if (!waits) {
        since.delete(id);
        continue;
      }
      const from = since.get(id) ?? w.time.now;
      since.set(id, from);
      if (w.time.now - from < STARVATION_LIMIT_MS) continue;
      w.checker.jobStarved(id, w.time.now - from);
      since.set(id, w.time.now);
    }
    w.time.after(LOOK_MS, look);
  };
  w.time.after(w.checker.faultsEndMs - w.time.now, look);
}
