/**
 * Evaluates a job: assigns each of its tasks to a queue, and estimates the job's earliest completion. This is
 * the paper's minimum completion time, computed greedily: each task goes to the queue in which it ends first.
 *
 * @module
 */

import { maxTasksPerZone } from '@spurbridge/model';
import type { JobView } from '../cluster-snapshot.js';
import type { EarliestStartIndex } from './earliest-start-index.js';
import type { MachineQueue } from './machine-queue.js';
import { estimateTask } from './queue-estimate.js';
import { QueueHeap } from './queue-heap.js';
import { plannedRunS } from './resources.js';
import type { QueueEstimates, SchedulingPass } from './scheduling-pass.js';
import { COST_BUCKET_S } from './scheduling-pass.js';
import type { JobEvaluation, QueueChange, TaskAssignment } from './types.js';
import { isMachineAllowed } from './types.js';

/** Marks the absence of a queue. */
const NO_QUEUE = -1;

/** Evaluates a job; modifies only the pass's estimates. */
export function evaluate(pass: SchedulingPass, job: JobView): JobEvaluation {
  pass.focus.set(job);
  if (!job.spec.oneZone) return new JobEvaluator(pass, job, null).evaluate();
  let best: JobEvaluation | null = null;
  for (const zone of possibleZones(pass, job)) {
    const evaluation = new JobEvaluator(pass, job, zone).evaluate();
    const isBetter =
      best === null ||
      evaluation.unplacedCount < best.unplacedCount ||
      evaluation.completionS < best.completionS;
    if (isBetter) best = evaluation;
  }
  return best ?? new JobEvaluator(pass, job, null).evaluate();
}

/**
 * The candidate zones of a zone-bound job: the zone of its present tasks if it has any, otherwise all zones.
 */
function possibleZones({ snapshot }: SchedulingPass, job: JobView): readonly string[] {
  const [placedZone] = job.placedZones;
  if (placedZone !== undefined) return [placedZone];
  return [...new Set(snapshot.machines.map((machine) => machine.zone))];
}

/** A search for the best queue in one zone, or in all zones. */
interface QueueSearch {
  /** The indexes of the queues estimated so far, the best on top. */
  readonly heap: QueueHeap;
  readonly startIndex: EarliestStartIndex;
  /** The next position of the index to visit. */
  nextPosition: number;
}

/** Evaluates one job in one zone, or in all zones if the zone is null. */
class JobEvaluator {
  private readonly isService: boolean;
  /** Whether the tasks are balanced over the zones. */
  private readonly isBalanced: boolean;
  private readonly maxPerZone: number;
  private readonly estimates: QueueEstimates;
  private readonly zoneIndexes: Int32Array;
  /** The number of the job's tasks in each zone, including those assigned so far. */
  private readonly tasksByZone: Int32Array;
  /** One search per zone if the tasks are balanced over the zones, otherwise a single one. */
  private readonly searches: readonly QueueSearch[];
  /** The planned run time of a task on a machine of usual speed, in seconds. */
  private readonly runS: number;
  /** Lower bound of the task's run time on any machine, in seconds. */
  private readonly minRunS: number;
  private readonly changedQueues = new Map<number, QueueChange>();
  private readonly assignments: TaskAssignment[] = [];
  private completionS = 0;

  constructor(
    private readonly pass: SchedulingPass,
    private readonly job: JobView,
    private readonly zone: string | null,
  ) {
    const { spec } = job;
    const { queueOrder } = pass;
    this.isService = spec.kind === 'service';
    this.isBalanced = spec.spread || this.isService;
    this.maxPerZone = maxTasksPerZone(spec);
    this.estimates = pass.estimates;
    this.zoneIndexes = queueOrder.zoneIndexes;
    this.tasksByZone = countTasksByZone(job, queueOrder.zones);
    this.runS = plannedRunS(job.estimateS);
    this.minRunS = this.isService ? 0 : this.runS * pass.leastSlowness;
    const zones = zone !== null ? [zone] : this.isBalanced ? queueOrder.zones : [null];
    this.searches = zones.map((searchedZone) => ({
      heap: new QueueHeap(pass.estimates, queueOrder.preferenceRanks, this.isBalanced),
      startIndex: pass.startIndex(spec, searchedZone),
      nextPosition: 0,
    }));
  }

  evaluate(): JobEvaluation {
    const { job, assignments } = this;
    for (const task of job.pendingTasks) {
      const queueIndex = this.findBestQueue();
      if (queueIndex === NO_QUEUE) break;
      this.assign(task, queueIndex);
    }
    const unplacedCount = job.pendingTasks.length - assignments.length;
    return {
      job,
      completionS: this.estimateCompletionS(unplacedCount),
      assignments,
      changedQueues: this.changedQueues,
      unplacedCount,
      passRevision: this.pass.revision,
    };
  }

  /** The latest end of the assigned tasks, extrapolated to all pending tasks. */
  private estimateCompletionS(unplacedCount: number): number {
    const { pendingCount, pendingTasks } = this.job;
    if (unplacedCount > 0) return Infinity;
    if (pendingCount <= pendingTasks.length) return this.completionS;
    return this.completionS * (pendingCount / pendingTasks.length);
  }

  private findBestQueue(): number {
    const { searches, tasksByZone, maxPerZone, isBalanced } = this;
    const isSearchPerZone = isBalanced && this.zone === null;
    let bestQueue = NO_QUEUE;
    for (let searchIndex = 0; searchIndex < searches.length; searchIndex += 1) {
      if (isSearchPerZone && (tasksByZone[searchIndex] as number) >= maxPerZone) continue;
      const search = searches[searchIndex] as QueueSearch;
      this.advance(search);
      const queueIndex = search.heap.peek();
      if (queueIndex === undefined || this.tasksInZoneOf(queueIndex) >= maxPerZone) continue;
      if (isBalanced && bestQueue !== NO_QUEUE && !this.isBetterBalanced(search.heap, queueIndex, bestQueue))
        continue;
      bestQueue = queueIndex;
    }
    return bestQueue;
  }

  private tasksInZoneOf(queueIndex: number): number {
    return this.tasksByZone[this.zoneIndexes[queueIndex] as number] as number;
  }

  /** Whether the first queue is better by cost, then by the job's tasks in its zone, then by the usual ranking. */
  private isBetterBalanced(heap: QueueHeap, first: number, second: number): boolean {
    const { costBuckets } = this.estimates;
    const firstCost = costBuckets[first] as number;
    const secondCost = costBuckets[second] as number;
    if (firstCost !== secondCost) return firstCost < secondCost;
    const byTasksInZone = this.tasksInZoneOf(first) - this.tasksInZoneOf(second);
    return byTasksInZone === 0 ? heap.isBetter(first, second) : byTasksInZone < 0;
  }

  /**
   * Estimates further queues of a search until the index's lower bound shows that none of the remaining ones
   * can be better.
   */
  private advance(search: QueueSearch): void {
    const { pass, job, estimates } = this;
    const { heap, startIndex } = search;
    const isExhaustive = pass.options.exhaustive === true;
    while (search.nextPosition < startIndex.size) {
      const position = search.nextPosition;
      const queueIndex = startIndex.queueIndexes[position] as number;
      if (!isExhaustive) {
        const leastCostS = (startIndex.earliestStartsS[position] as number) + this.minRunS;
        if (heap.isWorseThanTop(queueIndex, Math.floor(leastCostS / COST_BUCKET_S))) return;
      }
      const queue = pass.queues[queueIndex] as MachineQueue;
      startIndex.recordVisit(position, queue);
      search.nextPosition += 1;
      const { machine } = queue;
      if (!isMachineAllowed(job, machine)) continue;
      if (job.excludedMachines.size > 0 && job.excludedMachines.has(machine.id)) continue;
      estimates.taskCounts[queueIndex] = 0;
      if (estimateTask(pass, job, queueIndex, queue, this.runS)) heap.push(queueIndex);
    }
  }

  private assign(task: number, queueIndex: number): void {
    const { pass, job, estimates, zoneIndexes, tasksByZone } = this;
    const { after } = this.changeOf(queueIndex);
    const startS = estimates.startsS[queueIndex] as number;
    const endS = estimates.endsS[queueIndex] as number;
    this.assignments.push({ task, queueIndex, startS, endS });
    this.completionS = Math.max(this.completionS, endS);
    after.add(job.spec, startS, this.isService ? Infinity : endS);
    estimates.taskCounts[queueIndex] = (estimates.taskCounts[queueIndex] as number) + 1;
    const zoneIndex = zoneIndexes[queueIndex] as number;
    tasksByZone[zoneIndex] = (tasksByZone[zoneIndex] as number) + 1;
    const { heap } = this.searches[this.searches.length > 1 ? zoneIndex : 0] as QueueSearch;
    if (estimateTask(pass, job, queueIndex, after, this.runS)) heap.replaceTop(queueIndex);
    else heap.pop();
  }

  private changeOf(queueIndex: number): QueueChange {
    let change = this.changedQueues.get(queueIndex);
    if (change === undefined) {
      const before = this.pass.queues[queueIndex] as MachineQueue;
      change = { before, after: before.copy() };
      this.changedQueues.set(queueIndex, change);
    }
    return change;
  }
}

/** The number of tasks that the job already has in each zone, by zone index. */
function countTasksByZone(job: JobView, zones: readonly string[]): Int32Array {
  const counts = new Int32Array(zones.length);
  for (const zone of job.placedZones) {
    const index = zones.indexOf(zone);
    if (index >= 0) counts[index] = (counts[index] as number) + 1;
  }
  return counts;
}
