/**
 * Tasks that are placed on a machine and wait there for free resources (docs/queues.md).
 *
 * @module
 */
import type { Job, Placement } from '@spurbridge/model';
import { EPSILON, isUnsent } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { PRIORITY_RANK } from '@spurbridge/planner';
import type { JobSpec, MachineId } from '@spurbridge/wire';
import { formatTaskName } from '@spurbridge/wire';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

/** A task that waits longer than this is placed again, because the tasks before it take longer than estimated. */
const MAX_QUEUE_WAIT_MS = 6000;
/** A task that still waits after this time is logged, because it is normally placed again before. */
const LONG_QUEUE_WAIT_MS = 10_000;

interface QueuedTask {
  readonly job: Job;
  readonly placement: Placement;
}

/** Resources that are free on a machine. */
interface FreeResources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/**
 * The queues of all machines. The head of a queue starts with the response to the heartbeat that shows the free
 * resources, without a scheduling pass and a commit in between.
 */
export class MachineQueues {
  /** Machines on which tasks may wait. */
  private readonly machinesWithQueue = new Set<MachineId>();
  /** Placements whose long wait is logged already. */
  private readonly loggedWaits = new WeakSet<Placement>();

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
  ) {
    const watch = (job: Job, task: number): void => {
      const placement = job.placements.get(task);
      if (placement !== undefined && job.gang === null) this.machinesWithQueue.add(placement.machine);
    };
    cluster.on('taskPlaced', watch);
    cluster.on('taskRestored', watch);
  }

  private now(): MonotonicMs {
    return this.term.context.clock.now();
  }

  /**
   * Starts the queued tasks that fit on the machine, by priority and in the order of their placement. Returns false if
   * none can start.
   */
  startFitting(id: MachineId): boolean {
    const queued = this.queuedOn(id);
    if (queued.length === 0) return false;
    const machine = this.cluster.machines.get(id);
    if (machine === undefined || this.now() < machine.backoffUntil) return false;
    const free = this.freeOn(id, machine.type);
    let hasStarted = false;
    for (const { job, placement } of queued.sort(compareQueuedTasks)) {
      if (!fits(job.spec, free)) continue;
      subtract(free, job.spec);
      job.markStarting(placement.task, this.now());
      hasStarted = true;
    }
    return hasStarted;
  }

  private queuedOn(id: MachineId): QueuedTask[] {
    const queued: QueuedTask[] = [];
    for (const { job, task } of this.cluster.tasksOn(id)) {
      // The tasks of a gang are never queued, and there may be many of them.
      if (job.gang !== null) continue;
      const placement = job.placements.get(task);
      if (placement?.state === 'queued' && placement.stopRequest === null) queued.push({ job, placement });
    }
    return queued;
  }

  /**
   * The resources that are free in addition to everything that may run on the machine. On a machine of unknown type,
   * queued tasks that the records placed there are assumed to fit.
   */
  private freeOn(id: MachineId, typeName: string): FreeResources {
    const type = this.cluster.machineType(typeName);
    const free = {
      cpus: type?.cpus ?? Infinity,
      gpus: type?.gpus ?? Infinity,
      memoryGb: type?.memoryGb ?? Infinity,
    };
    for (const { job, task } of this.cluster.tasksOn(id)) {
      const state = job.placements.get(task)?.state;
      if (state !== undefined && state !== 'queued' && state !== 'intended') subtract(free, job.spec);
    }
    return free;
  }

  /** Removes stale tasks from the queues of all machines; to be called at regular intervals. */
  evictAllStale(): void {
    for (const id of this.machinesWithQueue) this.evictStale(id);
  }

  /**
   * Removes queued tasks that are to be stopped, have waited too long, or are on a machine that accepts no tasks. No
   * start of them can take effect, so they can be placed elsewhere immediately. A restored task waits until its machine
   * has ruled out a start by an earlier leader: the previous leader may have intended to free resources for it, which
   * this one does not know (docs/incidents/waiting-for-a-preemption-that-nobody-repeated.md).
   */
  evictStale(id: MachineId): void {
    if (!this.machinesWithQueue.has(id)) return;
    const isSchedulable = this.cluster.machines.get(id)?.isSchedulable === true;
    let isAnyWaiting = false;
    const longWaits: QueuedTask[] = [];
    for (const { job, task } of [...this.cluster.tasksOn(id)]) {
      const placement = job.placements.get(task);
      if (placement === undefined || !isWaiting(placement)) continue;
      isAnyWaiting = true;
      const isEvictable = placement.state === 'queued' && isUnsent(placement);
      const reason = isEvictable ? this.evictionReason(placement, isSchedulable) : null;
      if (reason !== null) this.cluster.removePlacement(job, placement, false, reason);
      else if (this.isNewLongWait(placement)) longWaits.push({ job, placement });
    }
    if (longWaits.length > 0) this.logLongWaits(id, longWaits);
    if (!isAnyWaiting) this.machinesWithQueue.delete(id);
  }

  private isNewLongWait(placement: Placement): boolean {
    const waitedMs = this.now() - placement.stateSince;
    return waitedMs > LONG_QUEUE_WAIT_MS && !this.loggedWaits.has(placement);
  }

  private logLongWaits(id: MachineId, waits: readonly QueuedTask[]): void {
    const machine = this.cluster.machines.get(id);
    const free = machine === undefined ? null : this.freeOn(id, machine.type);
    for (const { job, placement } of waits) {
      this.loggedWaits.add(placement);
      const { task, attempt, state, mayHaveEarlierStart, stateSince } = placement;
      this.term.context.log.info(
        {
          task: formatTaskName(job.spec.id, task),
          attempt,
          state,
          machine: id,
          machineState: machine?.state,
          heartbeatToken: machine?.fencingToken,
          mayHaveEarlierStart,
          waitedMs: Math.round(this.now() - stateSince),
          fits: free !== null && fits(job.spec, free),
        },
        'task waits on its machine for long',
      );
    }
  }

  private evictionReason(
    { stopRequest, stateSince }: Placement,
    isMachineSchedulable: boolean,
  ): string | null {
    if (stopRequest !== null) return 'stopped while queued';
    if (!isMachineSchedulable) return 'machine does not accept tasks';
    if (this.now() - stateSince > MAX_QUEUE_WAIT_MS) return 'queue wait timed out';
    return null;
  }
}

/** Whether this leader has sent no start of the placement yet. */
function isWaiting({ state }: Placement): boolean {
  return state === 'queued' || state === 'intended';
}

function compareQueuedTasks(left: QueuedTask, right: QueuedTask): number {
  return (
    PRIORITY_RANK[left.job.spec.priority] - PRIORITY_RANK[right.job.spec.priority] ||
    left.placement.placedAt - right.placement.placedAt
  );
}

function fits({ cpus, gpus, memoryGb }: JobSpec, free: Readonly<FreeResources>): boolean {
  return cpus <= free.cpus + EPSILON && gpus <= free.gpus + EPSILON && memoryGb <= free.memoryGb + EPSILON;
}

function subtract(free: FreeResources, { cpus, gpus, memoryGb }: JobSpec): void {
  free.cpus -= cpus;
  free.gpus -= gpus;
  free.memoryGb -= memoryGb;
}
