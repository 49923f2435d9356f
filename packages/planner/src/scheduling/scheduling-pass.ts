import type { JobId, JobSpec } from '@spurbridge/wire';
import type { JobView, Occupant, ClusterSnapshot } from '../cluster-snapshot.js';
import { PRIORITY_RANK } from '../cluster-snapshot.js';
import { jobsWithinGuarantee } from './quota-guarantee.js';
import type { ResourcePool } from './resource-pool.js';
import type { PreemptionCandidates } from './preemption.js';
import type { ResourceDimension } from './machine-queue.js';
import { MachineQueue } from './machine-queue.js';
import { EarliestStartIndex, sizeClass } from './earliest-start-index.js';
import type {
  TaskAssignment,
  JobEvaluation,
  JobShape,
  PlanOptions,
  TaskStart,
  TaskPreemption,
  UnplacedDemand,
} from './types.js';

/** Differences in completion below this are no reason to prefer one machine to another. */
export const COST_GRAIN_S = 0.5;

/** What the steps of one plan share: the queues as they fill, what the teams have left, and what was decided. */
export class SchedulingPass {
  readonly queues: MachineQueue[];
  readonly remainingQuota: Map<string, { cpus: number; gpus: number }>;
  readonly starts: TaskStart[] = [];
  readonly queuedStarts: TaskStart[] = [];
  readonly preemptions: TaskPreemption[] = [];
  /** What these stop. */
  readonly preempted = new Set<Occupant>();
  readonly preemptionCandidates: PreemptionCandidates = new Map();
  readonly unplacedDemand: UnplacedDemand[] = [];
  readonly guaranteedJobs: Set<JobView>;
  readonly jobsBeyondGuarantee: ReadonlySet<JobId>;
  /** Lowest priority of what may be stopped: of all, and of what each team runs beyond its guarantee. */
  lowestPreemptibleRank = -1;
  readonly lowestRankBeyondGuarantee = new Map<string, number>();
  readonly jobShapes = new Map<string, JobShape>();
  readonly shapeOf = new Map<JobView, JobShape>();
  readonly resourcePools = new Map<ResourceDimension, ResourcePool>();
  revision = 0;
  /** A job whose tasks have waited for longer on average goes first. */
  starvationThresholdS: number;
  /** Queues looked at: what a plan costs, whatever the machine it runs on. */
  queueVisits = 0;
  // Scratch of one evaluation, by queue index.
  readonly startsS: Float64Array;
  readonly endsS: Float64Array;
  readonly costBuckets: Float64Array;
  readonly taskCounts: Int32Array;
  /** Place of each queue in the order of preference among equals, and the queue at each place. */
  readonly preferenceRanks: Int32Array;
  readonly queuesByPreference: number[];
  readonly zoneIndexes: Int32Array;
  readonly zones: string[] = [];
  /** The fastest that any machine was seen to be. */
  readonly leastSlowness: number;
  private readonly startIndexes = new Map<string, EarliestStartIndex>();
  private readonly queuesByZone = new Map<string | null, readonly number[]>();

  constructor(
    readonly snapshot: ClusterSnapshot,
    readonly options: PlanOptions,
  ) {
    this.starvationThresholdS = snapshot.starvationThresholdS;
    this.queues = snapshot.machines.filter((m) => m.isSchedulable).map((m) => MachineQueue.of(m));
    const n = this.queues.length;
    this.startsS = new Float64Array(n);
    this.endsS = new Float64Array(n);
    this.costBuckets = new Float64Array(n);
    this.taskCounts = new Int32Array(n);
    const rank = new Float64Array(n);
    this.zoneIndexes = new Int32Array(n);
    this.queues.forEach((q, i) => {
      const m = q.machine;
      const price = (m.spot ? m.type.spotPrice : m.type.price) / Math.max(m.type.cpus, 1);
      // Among equals the cheaper machine, then the fuller one, so that others empty and can go back.
      let cpus = 0;
      let gpus = 0;
      for (const o of m.occupants) {
        cpus += o.cpus;
        gpus += o.gpus;
      }
      // How full a machine is goes by what runs out first.
      const used = Math.max(cpus / Math.max(m.type.cpus, 1), m.type.gpus > 0 ? gpus / m.type.gpus : 0);
      rank[i] = price * 10 - used / 10;
      let zone = this.zones.indexOf(m.zone);
      if (zone < 0) zone = this.zones.push(m.zone) - 1;
      this.zoneIndexes[i] = zone;
    });
    this.leastSlowness = this.queues.reduce((least, q) => Math.min(least, q.machine.slowness), 1);
    this.queuesByPreference = this.queues.map((_, i) => i);
    this.queuesByPreference.sort((a, b) => (rank[a] as number) - (rank[b] as number) || a - b);
    this.preferenceRanks = new Int32Array(n);
    this.queuesByPreference.forEach((at, p) => (this.preferenceRanks[at] = p));
    this.queuesByZone.set(null, this.queuesByPreference);
    for (const [z, name] of this.zones.entries())
      this.queuesByZone.set(
        name,
        this.queuesByPreference.filter((i) => this.zoneIndexes[i] === z),
      );
    this.remainingQuota = new Map(snapshot.teams.map((t) => [t.name, { cpus: t.cpusMax, gpus: t.gpusMax }]));
    this.guaranteedJobs = jobsWithinGuarantee(snapshot);
    this.jobsBeyondGuarantee = new Set(
      snapshot.jobs.filter((j) => !this.guaranteedJobs.has(j)).map((j) => j.spec.id),
    );
    for (const m of snapshot.machines)
      for (const o of m.occupants) {
        const room = this.remainingQuota.get(o.team);
        if (room !== undefined) {
          room.cpus -= o.cpus;
          room.gpus -= o.gpus;
        }
        if (!o.isPreemptible || o.isStopping) continue;
        const order = PRIORITY_RANK[o.priority];
        this.lowestPreemptibleRank = Math.max(this.lowestPreemptibleRank, order);
        if (this.jobsBeyondGuarantee.has(o.job))
          this.lowestRankBeyondGuarantee.set(
            o.team,
            Math.max(this.lowestRankBeyondGuarantee.get(o.team) ?? -1, order),
          );
      }
  }

  /** Queues, of one zone or of all, in the order of when a task as small as any of this class could start. */
  startIndex(spec: JobSpec, zone: string | null): EarliestStartIndex {
    const { key, cpus, gpus } = sizeClass(spec);
    const name = zone === null ? key : `${key}/${zone}`;
    let order = this.startIndexes.get(name);
    if (order === undefined || order.isStale) {
      order = new EarliestStartIndex(
        this.queues,
        cpus,
        gpus,
        this.queuesByZone.get(zone) ?? [],
        COST_GRAIN_S,
      );
      this.startIndexes.set(name, order);
    }
    return order;
  }

  recordUnplaced(
    job: JobView,
    tasks: number,
    startsInS: number,
    withinLimit: boolean,
    zone: string | null = null,
  ): void {
    const guaranteed = this.guaranteedJobs.has(job);
    if (tasks > 0)
      this.unplacedDemand.push({
        job,
        taskCount: tasks,
        startsInS,
        isWithinLimit: withinLimit,
        isGuaranteed: guaranteed,
        zone,
      });
  }

  zoneOfQueue(at: number): string {
    return this.zones[this.zoneIndexes[at] as number] as string;
  }

  /**
   * Within this a replica may be placed ahead of its room. A gang's tasks all start at once. Tasks of arrays took the room that
   * was being freed for a service, were stopped for it and took it again; and placed ahead by estimates they waited behind
   * longer ones while others found room (docs/results.md).
   */
  placeAheadS(job: JobView): number {
    return job.spec.kind === 'service' ? this.snapshot.placeAheadS : 0;
  }

  start(job: JobView, c: TaskAssignment, room: { cpus: number; gpus: number }): void {
    room.cpus -= job.spec.cpus;
    room.gpus -= job.spec.gpus;
    (c.startS <= 0 ? this.starts : this.queuedStarts).push({
      job: job.spec.id,
      task: c.task,
      machine: (this.queues[c.queueIndex] as MachineQueue).machine.id,
    });
  }

  preempt(o: Occupant, inFavourOf: JobId): void {
    this.preempted.add(o);
    this.preemptions.push({ job: o.job, task: o.task, preemptor: inFavourOf });
  }

  applyEvaluation(e: JobEvaluation): void {
    this.revision += 1;
    for (const [at, q] of e.changedQueues) this.queues[at] = q.after;
  }

  applyStartedAssignments(e: JobEvaluation, limited: number): void {
    this.revision += 1;
    for (const c of e.assignments.slice(0, e.assignments.length - limited)) {
      // A copy, so that evaluations made from the queue before can be told to be old.
      const q = (this.queues[c.queueIndex] as MachineQueue).copy();
      q.add(e.job.spec, c.startS, e.job.spec.kind === 'service' ? Infinity : c.endS);
      this.queues[c.queueIndex] = q;
    }
  }
}
