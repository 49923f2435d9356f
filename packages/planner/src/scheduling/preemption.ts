import type { JobView, MachineView, Occupant } from '../cluster-snapshot.js';
import { PRIORITY_RANK } from '../cluster-snapshot.js';
import type { SchedulingPass } from './scheduling-pass.js';
import { EPSILON } from '@spurbridge/model';
import { isMachineAllowed, imageFetchS } from './types.js';

/** Stopping a task and starting another in its place takes about this long. */
const TASK_SWITCH_S = 0.3;
/** Less than this gained is not worth stopping a task for. */
const MIN_PREEMPTION_GAIN_S = 0.7;

/** Whether anything runs that this job might be made room from. */
export function canPreempt(g: SchedulingPass, job: JobView, guaranteed: boolean): boolean {
  const order = PRIORITY_RANK[job.spec.priority];
  if (g.lowestPreemptibleRank > order) return true;
  if (!guaranteed) return false;
  for (const [team, lowest] of g.lowestRankBeyondGuarantee)
    if (team !== job.spec.team && lowest >= order) return true;
  return false;
}

/** A machine on which something may be stopped, or is being stopped, for jobs of some kind. */
interface PreemptionCandidate {
  readonly machine: MachineView;
  /** What may be stopped, that which loses least first. */
  readonly victims: readonly Occupant[];
  readonly stopping: boolean;
  /** Free but for what is being stopped. */
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** Sites by what their victims depend on, kept for one plan: many jobs of a kind look for room. */
export type PreemptionCandidates = Map<string, readonly PreemptionCandidate[]>;

function candidatesFor(g: SchedulingPass, job: JobView, guaranteed: boolean): readonly PreemptionCandidate[] {
  const rank = PRIORITY_RANK[job.spec.priority];
  const key = guaranteed ? `${rank}/${job.spec.team}` : `${rank}`;
  let sites = g.preemptionCandidates.get(key);
  if (sites === undefined) {
    sites = findCandidates(g, rank, guaranteed ? job.spec.team : null);
    g.preemptionCandidates.set(key, sites);
  }
  return sites;
}

function findCandidates(
  g: SchedulingPass,
  rank: number,
  guaranteedTeam: string | null,
): PreemptionCandidate[] {
  const sites: PreemptionCandidate[] = [];
  for (const m of g.snapshot.machines) {
    g.queueVisits += 1;
    if (!m.isSchedulable) continue;
    let { cpus, gpus, memoryGb } = m.type;
    let stopping = false;
    const victims: Occupant[] = [];
    for (const o of m.occupants) {
      if (o.isStopping) {
        stopping = true;
        continue;
      }
      cpus -= o.cpus;
      gpus -= o.gpus;
      memoryGb -= o.memoryGb;
      const order = PRIORITY_RANK[o.priority];
      const isBeyond =
        guaranteedTeam !== null && o.team !== guaranteedTeam && g.jobsBeyondGuarantee.has(o.job);
      if (o.isPreemptible && (order > rank || (isBeyond && order >= rank))) victims.push(o);
    }
    if (victims.length === 0 && !stopping) continue;
    victims.sort((a, b) => a.lostWorkS - b.lostWorkS);
    sites.push({ machine: m, victims, stopping, cpus, gpus, memoryGb });
  }
  return sites;
}

interface PreemptionOption {
  readonly stops: readonly Occupant[];
  readonly lostS: number;
  readonly endS: number;
  readonly zone: string;
}

/**
 * Makes room by stopping what the rules of preemption allow, the least lost work first, and only
 * where it lets a task end sooner than by waiting: room freed elsewhere would be filled by others
 * and freed again, over and over. For a gang room is made for all that wait, or for none. Returns for
 * how many tasks room is being made.
 */
export function preempt(
  g: SchedulingPass,
  job: JobView,
  ends: readonly number[],
  guaranteed: boolean,
  zone: string | null = null,
): number {
  const spec = job.spec;
  // Room that stops under way will free counts already.
  const waits = [...ends].sort((a, b) => b - a);
  let next = 0;
  const perZone = new Map<string, number>();
  for (const z of job.placedZones) perZone.set(z, (perZone.get(z) ?? 0) + 1);
  const zoneMost = spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;
  const options: PreemptionOption[] = [];
  const runS = spec.kind === 'service' ? 0 : job.estimateS;
  for (const site of candidatesFor(g, job, guaranteed)) {
    const m = site.machine;
    g.queueVisits += 1;
    if (!isMachineAllowed(job, m) || job.excludedMachines.has(m.id)) continue;
    if (zone !== null && m.zone !== zone) continue;
    let { cpus, gpus, memoryGb } = site;
    if (site.stopping && cpus >= spec.cpus && gpus >= spec.gpus && memoryGb >= spec.memoryGb) {
      const byGpus = spec.gpus > 0 ? Math.floor(gpus / spec.gpus) : Infinity;
      next += Math.max(1, Math.min(byGpus, Math.floor(cpus / Math.max(spec.cpus, 0.01))));
      continue;
    }
    if (site.victims.length === 0) continue;
    const fetchS = imageFetchS(job, m);
    const endS = TASK_SWITCH_S + fetchS + runS * m.slowness;
    let from = 0;
    let lostS = 0;
    for (const [i, v] of site.victims.entries()) {
      if (g.preempted.has(v)) {
        if (from === i) from += 1;
        continue;
      }
      lostS += v.lostWorkS * v.cpus;
      cpus += v.cpus;
      gpus += v.gpus;
      memoryGb += v.memoryGb;
      if (cpus + EPSILON < spec.cpus || gpus + EPSILON < spec.gpus || memoryGb + EPSILON < spec.memoryGb)
        continue;
      const stops = site.victims.slice(from, i + 1).filter((x) => !g.preempted.has(x));
      options.push({ stops, lostS: lostS + fetchS * 4, endS, zone: m.zone });
      from = i + 1;
      lostS = 0;
      cpus -= spec.cpus;
      gpus -= spec.gpus;
      memoryGb -= spec.memoryGb;
    }
  }
  options.sort((a, b) => a.lostS - b.lostS);
  const stopped: Occupant[] = [];
  for (const option of options) {
    const waitS = waits[next];
    if (waitS === undefined) break;
    if (option.endS + MIN_PREEMPTION_GAIN_S > waitS) continue;
    if ((perZone.get(option.zone) ?? 0) >= zoneMost) continue;
    perZone.set(option.zone, (perZone.get(option.zone) ?? 0) + 1);
    stopped.push(...option.stops);
    next += 1;
  }
  if (spec.kind === 'gang' && next < waits.length) return 0;
  for (const o of stopped) g.preempt(o, spec.id);
  return Math.min(next, waits.length);
}
