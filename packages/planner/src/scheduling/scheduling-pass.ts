/**
 * The state of one scheduling pass: the queues as they are filled, the remaining quotas, and the decisions
 * made so far.
 *
 * @module
 */

import type { JobId, JobSpec, MachineId } from '@spurbridge/wire';
import type { ClusterSnapshot, JobView, MachineView, Occupant } from '../cluster-snapshot.js';
import type { JobFocus } from '../job-focus.js';
import { EarliestStartIndex, sizeClassOf } from './earliest-start-index.js';
import { MachineQueue } from './machine-queue.js';
import { PreemptionIndex } from './preemption-index.js';
import { QueueOrder } from './queue-order.js';
import { jobsWithinGuarantee } from './quota-guarantee.js';
import { ResourcePool } from './resource-pool.js';
import type { Quota, ResourceDimension } from './resources.js';
import { plannedRunS, takeQuota } from './resources.js';
import type {
  JobEvaluation,
  JobShape,
  PlanOptions,
  SchedulingPlan,
  TaskAssignment,
  TaskPreemption,
  TaskStart,
  UnplacedDemand,
} from './types.js';

/** Costs that differ by less than this, in seconds, count as equal when machines are compared. */
export const COST_BUCKET_S = 0.5;

/**
 * Estimates for the next task of the job being evaluated, by queue; reused by all evaluations to avoid
 * allocations.
 */
export class QueueEstimates {
  readonly startsS: Float64Array;
  readonly endsS: Float64Array;
  /** The cost of each queue as a multiple of `COST_BUCKET_S`. */
  readonly costBuckets: Float64Array;
  /** The number of the job's tasks that the evaluation assigned to each queue. */
  readonly taskCounts: Int32Array;

  constructor(queueCount: number) {
    this.startsS = new Float64Array(queueCount);
    this.endsS = new Float64Array(queueCount);
    this.costBuckets = new Float64Array(queueCount);
    this.taskCounts = new Int32Array(queueCount);
  }
}

/** The state shared by the steps of one scheduling pass. */
export class SchedulingPass {
  /** The queues of the schedulable machines; a queue is replaced by a copy whenever it changes. */
  readonly queues: MachineQueue[];
  readonly queueOrder: QueueOrder;
  readonly estimates: QueueEstimates;
  /** The lowest slowness of the schedulable machines, at most 1. */
  readonly leastSlowness: number;
  readonly guaranteedJobs: ReadonlySet<JobView>;
  readonly preemptionIndex: PreemptionIndex;
  /** The tasks that this pass preempts. */
  readonly preempted = new Set<Occupant>();
  /** The shapes of the waiting jobs, by their keys. */
  readonly jobShapes = new Map<string, JobShape>();
  readonly shapeOf = new Map<JobView, JobShape>();
  /** A job whose tasks' mean wait exceeds this, in seconds, is starved and planned first. */
  starvationThresholdS: number;
  /** The number of queue visits so far. */
  queueVisits = 0;
  private currentRevision = 0;
  private readonly remainingQuotas: ReadonlyMap<string, Quota>;
  private readonly resourcePools = new Map<ResourceDimension, ResourcePool>();
  private readonly startIndexes = new Map<string, EarliestStartIndex>();
  /** The index of each machine's queue; empty until it is first needed. */
  private readonly queueIndexes = new Map<MachineId, number>();
  private readonly starts: TaskStart[] = [];
  private readonly queuedStarts: TaskStart[] = [];
  private readonly preemptions: TaskPreemption[] = [];
  private readonly unplacedDemand: UnplacedDemand[] = [];

  constructor(
    readonly snapshot: ClusterSnapshot,
    readonly options: PlanOptions,
    /** The job that the pass is working on. */
    readonly focus: JobFocus,
  ) {
    this.starvationThresholdS = snapshot.starvationThresholdS;
    this.queues = snapshot.machines
      .filter((machine) => machine.isSchedulable)
      .map((machine) => MachineQueue.of(machine));
    this.queueOrder = new QueueOrder(this.queues);
    this.estimates = new QueueEstimates(this.queues.length);
    this.leastSlowness = this.queues.reduce((least, { machine }) => Math.min(least, machine.slowness), 1);
    this.guaranteedJobs = jobsWithinGuarantee(snapshot, focus);
    const beyondGuarantee = snapshot.jobs.filter((job) => !this.guaranteedJobs.has(job));
    this.preemptionIndex = new PreemptionIndex(
      snapshot.machines,
      new Set(beyondGuarantee.map((job) => job.spec.id)),
    );
    this.remainingQuotas = new Map(
      snapshot.teams.map(({ name, cpusMax, gpusMax }) => [name, { cpus: cpusMax, gpus: gpusMax }]),
    );
    for (const machine of snapshot.machines) this.countOccupants(machine);
  }

  /** The revision of the pass; it changes with every assignment. */
  get revision(): number {
    return this.currentRevision;
  }

  /** The decisions made so far. */
  get plan(): SchedulingPlan {
    return {
      starts: this.starts,
      queuedStarts: this.queuedStarts,
      preemptions: this.preemptions,
      unplacedDemand: this.unplacedDemand,
      queueVisits: this.queueVisits + this.preemptionIndex.machineVisits,
    };
  }

  /** The remaining part of a team's limit; undefined for an unknown team. */
  findQuota(team: string): Quota | undefined {
    return this.remainingQuotas.get(team);
  }

  /** The remaining part of a team's limit; zero for an unknown team. */
  remainingQuota(team: string): Quota {
    return this.remainingQuotas.get(team) ?? { cpus: 0, gpus: 0 };
  }

  /** All queues as one pool of a resource, in their state at the first request of that pool. */
  resourcePool(dimension: ResourceDimension): ResourcePool {
    let pool = this.resourcePools.get(dimension);
    if (pool === undefined) {
      pool = new ResourcePool(this.queues, dimension);
      this.resourcePools.set(dimension, pool);
    }
    return pool;
  }

  /**
   * The queues of one zone, or of all zones for null, by the earliest start of the smallest task of the job's
   * size class.
   */
  startIndex(spec: JobSpec, zone: string | null): EarliestStartIndex {
    const { key: sizeKey, request } = sizeClassOf(spec);
    const key = zone === null ? sizeKey : `${sizeKey}/${zone}`;
    let index = this.startIndexes.get(key);
    if (index === undefined || index.isStale) {
      index = new EarliestStartIndex(this.queues, request, this.queueOrder.inZone(zone), COST_BUCKET_S);
      this.startIndexes.set(key, index);
    }
    return index;
  }

  /**
   * How many seconds before its resources become free a task of the job may be placed. It is greater than 0
   * only for replicas. Tasks of a gang start together, so they are never placed ahead. Array tasks placed ahead
   * took the resources being freed for a service, were preempted for it and took them again. Others waited
   * behind tasks that ran longer than estimated while other machines became free (docs/results.md).
   */
  placeAheadS(job: JobView): number {
    return job.spec.kind === 'service' ? this.snapshot.placeAheadS : 0;
  }

  /** Starts a task, or places it ahead, and subtracts it from its team's remaining quota. */
  start(job: JobView, assignment: TaskAssignment, quota: Quota): void {
    takeQuota(job.spec, quota);
    const { machine } = this.queues[assignment.queueIndex] as MachineQueue;
    const starts = assignment.startS <= 0 ? this.starts : this.queuedStarts;
    starts.push({ job: job.spec.id, task: assignment.task, machine: machine.id });
  }

  /** Preempts a task. */
  preempt(victim: Occupant, preemptor: JobId): void {
    this.preempted.add(victim);
    this.preemptions.push({ job: victim.job, task: victim.task, preemptor });
  }

  /** Reserves resources for a task of the job on a machine where other tasks are being stopped for it. */
  reserve({ spec, estimateS }: JobView, id: MachineId): void {
    const queueIndex = this.findQueueIndex(id);
    const queue = this.queues[queueIndex]?.copy();
    if (queue === undefined) return;
    queue.add(spec, 0, spec.kind === 'service' ? Infinity : plannedRunS(estimateS));
    this.queues[queueIndex] = queue;
    this.currentRevision += 1;
  }

  private findQueueIndex(id: MachineId): number {
    if (this.queueIndexes.size === 0)
      for (const [index, { machine }] of this.queues.entries()) this.queueIndexes.set(machine.id, index);
    return this.queueIndexes.get(id) ?? -1;
  }

  /** Records tasks of a job that cannot start now, if there are any. */
  recordUnplaced(
    job: JobView,
    taskCount: number,
    startsInS: number,
    isWithinLimit: boolean,
    zone: string | null = null,
  ): void {
    if (taskCount <= 0) return;
    const isGuaranteed = this.guaranteedJobs.has(job);
    this.unplacedDemand.push({ job, taskCount, startsInS, isWithinLimit, isGuaranteed, zone });
  }

  /** Adds all assignments of an evaluation to the queues. */
  applyEvaluation(evaluation: JobEvaluation): void {
    this.currentRevision += 1;
    for (const [queueIndex, change] of evaluation.changedQueues) this.queues[queueIndex] = change.after;
  }

  /** Adds the assignments of an evaluation to the queues, except for the last `omittedCount` ones. */
  applyAllButLast({ job, assignments }: JobEvaluation, omittedCount: number): void {
    this.currentRevision += 1;
    for (const { queueIndex, startS, endS } of assignments.slice(0, assignments.length - omittedCount)) {
      // A new object, so that evaluations based on the previous queue are recognised as outdated.
      const queue = (this.queues[queueIndex] as MachineQueue).copy();
      queue.add(job.spec, startS, job.spec.kind === 'service' ? Infinity : endS);
      this.queues[queueIndex] = queue;
    }
  }

  /** Subtracts the occupants of a machine from their teams' quotas, and adds them to the preemption index. */
  private countOccupants({ occupants }: MachineView): void {
    for (const occupant of occupants) {
      const quota = this.remainingQuotas.get(occupant.team);
      if (quota !== undefined) {
        quota.cpus -= occupant.cpus;
        quota.gpus -= occupant.gpus;
      }
      this.preemptionIndex.addOccupant(occupant);
    }
  }
}
