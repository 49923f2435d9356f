import type { Job, Placement } from '@spurbridge/model';
import { EPSILON, isUnsent } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { PRIORITY_RANK } from '@spurbridge/planner';
import type { MachineId } from '@spurbridge/wire';
import type { ClusterState } from '../jobs/cluster-state.js';

/** A head that has waited for longer than this is placed anew: what runs before it takes longer than was estimated. */
const PATIENCE_MS = 6000;

/**
 * The machines' queues (docs/queues.md): tasks whose intent is durable and that wait for room on their machine. The head of a
 * queue starts with the answer to the very report that shows the room, without a plan and a commit between.
 */
export class MachineQueues {
  /** Machines for which this leader has placed something that may wait there still. */
  private readonly having = new Set<MachineId>();

  constructor(
    private readonly cluster: ClusterState,
    private readonly now: () => MonotonicMs,
  ) {
    cluster.on('placed', (job, task) => {
      const p = job.placements.get(task);
      if (p !== undefined && job.gang === null) this.having.add(p.machine);
    });
  }

  /** Lets those tasks start that the machine has room for, by priority and in the order of their placing; false: none. */
  startFitting(id: MachineId): boolean {
    const queued: { job: Job; p: Placement }[] = [];
    for (const { job, task } of this.cluster.tasksOn(id)) {
      const p = job.placements.get(task);
      if (p?.state === 'queued' && p.stopRequest === null) queued.push({ job, p });
    }
    if (queued.length === 0) return false;
    const m = this.cluster.machines.get(id);
    if (m === undefined || this.now() < m.backoffUntil) return false;
    const room = this.roomOn(id, m.type);
    queued.sort(
      (a, b) =>
        PRIORITY_RANK[a.job.spec.priority] - PRIORITY_RANK[b.job.spec.priority] ||
        a.p.placedAt - b.p.placedAt,
    );
    let released = false;
    for (const { job, p } of queued) {
      const { cpus, gpus, memoryGb } = job.spec;
      const fits =
        cpus <= room.cpus + EPSILON && gpus <= room.gpus + EPSILON && memoryGb <= room.memoryGb + EPSILON;
      if (!fits) continue;
      room.cpus -= cpus;
      room.gpus -= gpus;
      room.memoryGb -= memoryGb;
      job.markStarting(p.task, this.now());
      released = true;
    }
    return released;
  }

  /** What is free beside everything that may run there; a machine of unknown type takes what its record gave it. */
  private roomOn(id: MachineId, name: string): { cpus: number; gpus: number; memoryGb: number } {
    const type = this.cluster.machineType(name);
    const room = {
      cpus: type?.cpus ?? Infinity,
      gpus: type?.gpus ?? Infinity,
      memoryGb: type?.memoryGb ?? Infinity,
    };
    for (const { job, task } of this.cluster.tasksOn(id)) {
      const p = job.placements.get(task);
      if (p === undefined || p.state === 'queued' || p.state === 'intended') continue;
      room.cpus -= job.spec.cpus;
      room.gpus -= job.spec.gpus;
      room.memoryGb -= job.spec.memoryGb;
    }
    return room;
  }

  /** Looks after all machines on which something waits; called once in a while. */
  evictAllStale(): void {
    for (const id of this.having) this.evictStale(id);
  }

  /** Gives up what was to be stopped, waits in vain, or waits on a machine that takes no tasks: no start of it was sent. */
  evictStale(id: MachineId): void {
    if (!this.having.has(id)) return;
    let waits = false;
    const takes = this.cluster.machines.get(id)?.isSchedulable === true;
    for (const { job, task } of [...this.cluster.tasksOn(id)]) {
      const p = job.placements.get(task);
      if (p === undefined || !isUnsent(p)) continue;
      waits = true;
      if (p.state !== 'queued') continue;
      if (p.stopRequest !== null) this.cluster.removePlacement(job, p, false, 'gave way');
      else if (!takes) this.cluster.removePlacement(job, p, false, 'its machine takes no tasks');
      else if (this.now() - p.stateSince > PATIENCE_MS)
        this.cluster.removePlacement(job, p, false, 'its place did not come free');
    }
    if (!waits) this.having.delete(id);
  }
}
