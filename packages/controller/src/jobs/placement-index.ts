/**
 * An index of placements by machine.
 *
 * @module
 */
import type { Job, Placement } from '@spurbridge/model';
import type { MachineId } from '@spurbridge/wire';
import { formatTaskName } from '@spurbridge/wire';

/** A task that may be on a machine. */
export interface PlacedTask {
  readonly job: Job;
  readonly task: number;
}

/** Which tasks of all jobs may be on each machine, in the order in which they were placed there. */
export class PlacementIndex {
  private readonly tasksByMachine = new Map<MachineId, Map<string, PlacedTask>>();

  add(job: Job, { machine, task }: Placement): void {
    let tasks = this.tasksByMachine.get(machine);
    if (tasks === undefined) {
      tasks = new Map();
      this.tasksByMachine.set(machine, tasks);
    }
    tasks.set(formatTaskName(job.spec.id, task), { job, task });
  }

  remove(job: Job, { machine, task }: Placement): void {
    this.tasksByMachine.get(machine)?.delete(formatTaskName(job.spec.id, task));
  }

  tasksOn(machine: MachineId): Iterable<PlacedTask> {
    return this.tasksByMachine.get(machine)?.values() ?? [];
  }

  countOn(machine: MachineId): number {
    return this.tasksByMachine.get(machine)?.size ?? 0;
  }
}
