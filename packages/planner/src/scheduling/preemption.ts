/**
 * Preempts running tasks in favour of a job's waiting ones.
 *
 * @module
 */

import { EPSILON, maxTasksPerZone } from '@spurbridge/model';
import type { JobView, MachineView, Occupant } from '../cluster-snapshot.js';
import type { PreemptionCandidate } from './preemption-index.js';
import { plannedRunS } from './resources.js';
import type { SchedulingPass } from './scheduling-pass.js';
import { imageFetchS, isMachineAllowed } from './types.js';

/** Typical time to stop a task and start another one in its place, in seconds. */
const TASK_SWITCH_S = 0.3;
/** Preemption must let the waiting task end at least this many seconds earlier. */
const MIN_GAIN_S = 0.7;
/** The cost of each second of fetching an image, in CPU seconds of lost work. */
const FETCH_COST_PER_S = 4;
/** Used in place of the CPUs of a task that requests none. */
const MIN_TASK_CPUS = 0.01;

/** Tasks on one machine whose preemption frees resources for one task of the job. */
interface PreemptionOption {
  readonly victims: readonly Occupant[];
  /** The lost work in CPU seconds plus the cost of fetching the image. */
  readonly cost: number;
  /** The estimated end of the task there, in seconds from now. */
  readonly endS: number;
  readonly machine: MachineView;
}

/** The options of a job for preemption. */
interface PreemptionOptions {
  readonly options: PreemptionOption[];
  /** The number of the job's tasks that fit once the tasks being stopped have stopped. */
  slotsBeingFreed: number;
}

/**
 * Preempts running tasks for tasks of a job if the rules allow it, least lost work first. It does so only
 * if a task ends earlier than by waiting. Otherwise the task would not use the freed resources, other jobs
 * would take them, and the preemption would be repeated over and over. For a gang, resources are freed for all
 * of its tasks or for none.
 *
 * @param endsS - when the waiting tasks would end without preemption, in seconds from now.
 * @param zone - the only zone to preempt in; null for all.
 * @returns the number of tasks for which resources are being freed.
 */
export function preemptFor(
  pass: SchedulingPass,
  job: JobView,
  endsS: readonly number[],
  zone: string | null = null,
): number {
  const latestFirst = [...endsS].sort((first, second) => second - first);
  const { options, slotsBeingFreed } = collectOptions(pass, job, zone);
  options.sort((first, second) => first.cost - second.cost);
  const chosen = chooseOptions(job, options, latestFirst, slotsBeingFreed);
  const taskCount = slotsBeingFreed + chosen.length;
  if (job.spec.kind === 'gang' && taskCount < latestFirst.length) return 0;
  for (const { victims, machine } of chosen) {
    for (const victim of victims) pass.preempt(victim, job.spec.id);
    // Otherwise a later job of this pass would take what is free there already, and the preemption would be in vain.
    pass.reserve(job, machine.id);
  }
  return Math.min(taskCount, latestFirst.length);
}

function collectOptions(pass: SchedulingPass, job: JobView, zone: string | null): PreemptionOptions {
  const collected: PreemptionOptions = { options: [], slotsBeingFreed: 0 };
  const isGuaranteed = pass.guaranteedJobs.has(job);
  for (const candidate of pass.preemptionIndex.candidatesFor(job, isGuaranteed)) {
    const { machine } = candidate;
    pass.queueVisits += 1;
    if (!isMachineAllowed(job, machine) || job.excludedMachines.has(machine.id)) continue;
    if (zone !== null && machine.zone !== zone) continue;
    if (candidate.isStopping && fitsOnceStopped(job, candidate))
      collected.slotsBeingFreed += countSlotsBeingFreed(job, candidate);
    else addOptions(pass, job, candidate, collected.options);
  }
  return collected;
}

/** Whether a task fits once all tasks that are being stopped on the machine have stopped. */
function fitsOnceStopped({ spec }: JobView, { cpus, gpus, memoryGb }: PreemptionCandidate): boolean {
  return cpus >= spec.cpus && gpus >= spec.gpus && memoryGb >= spec.memoryGb;
}

function countSlotsBeingFreed({ spec }: JobView, { cpus, gpus }: PreemptionCandidate): number {
  const tasksByGpus = spec.gpus > 0 ? Math.floor(gpus / spec.gpus) : Infinity;
  const tasksByCpus = Math.floor(cpus / Math.max(spec.cpus, MIN_TASK_CPUS));
  return Math.max(1, Math.min(tasksByGpus, tasksByCpus));
}

/** Adds an option for each task of the job that fits on the machine in place of preemptible tasks. */
function addOptions(
  pass: SchedulingPass,
  job: JobView,
  candidate: PreemptionCandidate,
  options: PreemptionOption[],
): void {
  const { spec } = job;
  const { machine, victims } = candidate;
  let { cpus, gpus, memoryGb } = candidate;
  const fetchS = imageFetchS(job, machine);
  const runS = spec.kind === 'service' ? 0 : plannedRunS(job.estimateS);
  const endS = TASK_SWITCH_S + fetchS + runS * machine.slowness;
  let firstVictim = 0;
  let lostWork = 0;
  for (const [index, victim] of victims.entries()) {
    if (pass.preempted.has(victim)) {
      if (firstVictim === index) firstVictim += 1;
      continue;
    }
    lostWork += victim.lostWorkS * victim.cpus;
    cpus += victim.cpus;
    gpus += victim.gpus;
    memoryGb += victim.memoryGb;
    const fits =
      cpus + EPSILON >= spec.cpus && gpus + EPSILON >= spec.gpus && memoryGb + EPSILON >= spec.memoryGb;
    if (!fits) continue;
    options.push({
      victims: victims.slice(firstVictim, index + 1).filter((other) => !pass.preempted.has(other)),
      cost: lostWork + fetchS * FETCH_COST_PER_S,
      endS,
      machine,
    });
    firstVictim = index + 1;
    lostWork = 0;
    cpus -= spec.cpus;
    gpus -= spec.gpus;
    memoryGb -= spec.memoryGb;
  }
}

/** Selects the cheapest options for the tasks that would end last; the first `skippedTasks` of them need none. */
function chooseOptions(
  job: JobView,
  options: readonly PreemptionOption[],
  latestFirst: readonly number[],
  skippedTasks: number,
): PreemptionOption[] {
  const { spec, placedZones } = job;
  const maxPerZone = maxTasksPerZone(spec);
  const tasksByZone = new Map<string, number>();
  for (const zone of placedZones) tasksByZone.set(zone, (tasksByZone.get(zone) ?? 0) + 1);
  const chosen: PreemptionOption[] = [];
  for (const option of options) {
    const waitingEndS = latestFirst[skippedTasks + chosen.length];
    if (waitingEndS === undefined) break;
    if (option.endS + MIN_GAIN_S > waitingEndS) continue;
    const { zone } = option.machine;
    const tasksInZone = tasksByZone.get(zone) ?? 0;
    if (tasksInZone >= maxPerZone) continue;
    tasksByZone.set(zone, tasksInZone + 1);
    chosen.push(option);
  }
  return chosen;
}
