import type { JobView, Occupant } from '../snapshot.js';
import { PRIORITY_ORDER } from '../snapshot.js';
import type { Ground } from './ground.js';
import type { Stop } from './types.js';
import { EPSILON } from './epsilon.js';
import { allows, fetchSeconds } from './types.js';

/** Stopping a task and starting another in its place takes about this long. */
const STOP_S = 0.3;
/** Less than this gained is not worth stopping a task for. */
const PREEMPT_GAIN_S = 0.7;

/** Whether anything runs that this job might be made room from. */
export function mayPreempt(g: Ground, job: JobView, guaranteed: boolean): boolean {
  const order = PRIORITY_ORDER[job.spec.priority];
  if (g.lowest > order) return true;
  if (!guaranteed) return false;
  for (const [team, lowest] of g.lowestBeyond) if (team !== job.spec.team && lowest >= order) return true;
  return false;
}

/**
 * Makes room by stopping what the rules of preemption allow, the least lost work first, and only
 * where it lets a task end sooner than by waiting: room freed elsewhere would be filled by others
 * and freed again, over and over. For a gang room is made for all that wait, or for none. Returns for
 * how many tasks room is being made.
 */
export function preempt(
  g: Ground,
  job: JobView,
  ends: readonly number[],
  guaranteed: boolean,
  zone: string | null = null,
): number {
  const spec = job.spec;
  const rank = PRIORITY_ORDER[spec.priority];
  const mayStop = (o: Occupant): boolean =>
    o.movable &&
    !o.stopping &&
    (PRIORITY_ORDER[o.priority] > rank ||
      (guaranteed && o.team !== spec.team && g.beyond.has(o.job) && PRIORITY_ORDER[o.priority] >= rank));
  const taken = new Set<string>(g.stops.map((s) => `${s.job}/${s.task}`));
  // Room that stops under way will free counts already.
  const waits = [...ends].sort((a, b) => b - a);
  let next = 0;
  const perZone = new Map<string, number>();
  for (const z of job.zones) perZone.set(z, (perZone.get(z) ?? 0) + 1);
  const zoneMost = spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;
  const options: { stops: Occupant[]; lostS: number; endS: number; zone: string }[] = [];
  const runS = spec.kind === 'service' ? 0 : job.estimateS;
  for (const m of g.s.machines) {
    g.steps += 1;
    if (!m.takesTasks || !allows(job, m) || job.avoid.has(m.id)) continue;
    if (zone !== null && m.zone !== zone) continue;
    let cpus = m.type.cpus;
    let gpus = m.type.gpus;
    let memory = m.type.memoryGb;
    for (const o of m.occupants) {
      if (o.stopping) continue;
      cpus -= o.cpus;
      gpus -= o.gpus;
      memory -= o.memoryGb;
    }
    const victims = m.occupants
      .filter((o) => mayStop(o) && !taken.has(`${o.job}/${o.task}`))
      .sort((a, b) => a.lostS - b.lostS);
    const stopping = m.occupants.some((o) => o.stopping);
    if (stopping && cpus >= spec.cpus && gpus >= spec.gpus && memory >= spec.memoryGb) {
      const byGpus = spec.gpus > 0 ? Math.floor(gpus / spec.gpus) : Infinity;
      next += Math.max(1, Math.min(byGpus, Math.floor(cpus / Math.max(spec.cpus, 0.01))));
      continue;
    }
    let chosen: Occupant[] = [];
    let lostS = 0;
    for (const v of victims) {
      chosen.push(v);
      lostS += v.lostS * v.cpus;
      cpus += v.cpus;
      gpus += v.gpus;
      memory += v.memoryGb;
      if (cpus + EPSILON < spec.cpus || gpus + EPSILON < spec.gpus || memory + EPSILON < spec.memoryGb)
        continue;
      const fetchS = fetchSeconds(job, m);
      const endS = STOP_S + fetchS + runS * m.slowness;
      options.push({ stops: chosen, lostS: lostS + fetchS * 4, endS, zone: m.zone });
      chosen = [];
      lostS = 0;
      cpus -= spec.cpus;
      gpus -= spec.gpus;
      memory -= spec.memoryGb;
    }
  }
  options.sort((a, b) => a.lostS - b.lostS);
  const stops: Stop[] = [];
  for (const option of options) {
    const waitS = waits[next];
    if (waitS === undefined) break;
    if (option.endS + PREEMPT_GAIN_S > waitS) continue;
    if ((perZone.get(option.zone) ?? 0) >= zoneMost) continue;
    perZone.set(option.zone, (perZone.get(option.zone) ?? 0) + 1);
    for (const o of option.stops) stops.push({ job: o.job, task: o.task, inFavourOf: spec.id });
    next += 1;
  }
  if (spec.kind === 'gang' && next < waits.length) return 0;
  g.stops.push(...stops);
  return Math.min(next, waits.length);
}
