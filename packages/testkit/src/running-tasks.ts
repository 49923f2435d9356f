/**
 * The tasks that are on machines now, for the rule checker.
 *
 * @module
 */
import type { Attempt, JobId, JobSpec, MachineId } from '@spurbridge/wire';

/** A task that is on a machine. */
export interface RunningTask {
  readonly job: JobSpec;
  readonly task: number;
  readonly attempt: Attempt;
  readonly machine: MachineId;
  readonly zone: string;
  readonly sinceMs: number;
}

/** The interval in which a task was on a machine, from its start until it left. */
export interface TaskRun extends RunningTask {
  readonly untilMs: number;
  readonly done: boolean;
}

/** CPUs and accelerators in use. */
export interface ResourceTotals {
  readonly cpus: number;
  readonly gpus: number;
}

/** Tasks in groups, so that a start need not search a fleet of thousands of machines. */
class TaskIndex<Group extends string> {
  private readonly groups = new Map<Group, Map<string, RunningTask>>();

  set(group: Group, key: string, running: RunningTask): void {
    const found = this.groups.get(group);
    if (found === undefined) this.groups.set(group, new Map([[key, running]]));
    else found.set(key, running);
  }

  delete(group: Group, key: string): void {
    const found = this.groups.get(group);
    found?.delete(key);
    if (found?.size === 0) this.groups.delete(group);
  }

  of(group: Group): RunningTask[] {
    return [...(this.groups.get(group)?.values() ?? [])];
  }

  get(group: Group, key: string): RunningTask | undefined {
    return this.groups.get(group)?.get(key);
  }

  count(group: Group): number {
    return this.groups.get(group)?.size ?? 0;
  }

  *all(): Generator<RunningTask> {
    for (const group of this.groups.values()) yield* group.values();
  }
}

/** Tasks on machines, by job and by team. */
export class RunningTasks {
  private readonly byJob = new TaskIndex<JobId>();
  private readonly byTeam = new TaskIndex<string>();

  add(running: RunningTask): void {
    const key = keyOf(running.machine, running.job.id, running.task);
    this.byJob.set(running.job.id, key, running);
    this.byTeam.set(running.job.team, key, running);
  }

  /** Removes the task from the machine; returns undefined if it was not there. */
  remove(job: JobId, task: number, machine: MachineId): RunningTask | undefined {
    const key = keyOf(machine, job, task);
    const running = this.byJob.get(job, key);
    if (running === undefined) return undefined;
    this.byJob.delete(job, key);
    this.byTeam.delete(running.job.team, key);
    return running;
  }

  ofJob(job: JobId): RunningTask[] {
    return this.byJob.of(job);
  }

  countOfJob(job: JobId): number {
    return this.byJob.count(job);
  }

  countOfKind(kind: JobSpec['kind']): number {
    let count = 0;
    for (const running of this.byJob.all()) if (running.job.kind === kind) count += 1;
    return count;
  }

  onMachine(machine: MachineId): RunningTask[] {
    return [...this.byJob.all()].filter((running) => running.machine === machine);
  }

  usageOfTeam(team: string): ResourceTotals {
    let cpus = 0;
    let gpus = 0;
    for (const { job } of this.byTeam.of(team)) {
      cpus += job.cpus;
      gpus += job.gpus;
    }
    return { cpus, gpus };
  }
}

function keyOf(machine: MachineId, job: JobId, task: number): string {
  return `${machine}:${job}/${task}`;
}
