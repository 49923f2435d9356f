/**
 * The tasks of a simulated worker: timers that fetch an image, run, save and exit according to the protocol.
 *
 * @module
 */
import { EPSILON } from '@spurbridge/model';
import type { Attempt, ExitCause, JobId, JobSpec, MachineType, WorkerCommand } from '@spurbridge/wire';
import { formatAttemptName, formatTaskName } from '@spurbridge/wire';
import type { AgentState } from './agent-state.js';
import { GangTaskRunner } from './gang-task-runner.js';
import type { TaskPlacement, WorkerHost } from './worker-host.js';
import type { WorkerTask } from './worker-task.js';

/** Time to start a task whose image is in the machine's cache. */
const CACHED_IMAGE_MS = 5;

/** Dependencies of the task runner. */
export interface TaskRunnerOptions {
  readonly host: WorkerHost;
  readonly agent: AgentState;
  readonly type: MachineType;
  readonly placement: TaskPlacement;
  /** Called when a task has changed, so that the controllers learn of it soon. */
  readonly onChange: () => void;
}

/**
 * Starts, runs and stops tasks. At most one attempt at each task has not exited. Every attempt is known until it is
 * forgotten; a start of a known attempt has no effect.
 */
export class TaskRunner {
  /** While true, every task that starts here fails. */
  failsAllTasks = false;
  private readonly attempts = new Map<string, WorkerTask>();
  /** The latest started attempt at each task. */
  private readonly latest = new Map<string, WorkerTask>();
  private readonly images = new Set<string>();
  private readonly gangTasks: GangTaskRunner;

  constructor(private readonly options: TaskRunnerOptions) {
    const { host, agent } = options;
    this.gangTasks = new GangTaskRunner({
      host,
      agent,
      end: (task, cause, isSaved) => {
        this.end(task, cause, isSaved);
      },
    });
  }

  /** All attempts, including exited ones that were not forgotten yet. */
  get all(): readonly WorkerTask[] {
    return [...this.attempts.values()];
  }

  /** The tasks that use resources, including those that fetch their image. */
  get occupying(): readonly WorkerTask[] {
    return this.all.filter((task) => task.phase !== 'exited');
  }

  /** The latest attempt at a task on this worker. */
  find(job: JobId, task: number): WorkerTask | undefined {
    return this.latest.get(formatTaskName(job, task));
  }

  /** Kills and discards all tasks; returns how many had not exited. */
  clear(atMs: number): number {
    const { host, placement } = this.options;
    const killed = this.occupying;
    for (const { job, task } of killed)
      host.observer.taskStopped(job.id, task, placement.machine, false, atMs);
    this.attempts.clear();
    this.latest.clear();
    return killed.length;
  }

  /** Executes the commands in order. */
  execute(commands: readonly WorkerCommand[]): void {
    for (const command of commands) {
      const { job, task: index, attempt } = command;
      const task = this.attempts.get(formatAttemptName(job, index, attempt));
      if (command.op === 'start') this.start(job, index, attempt);
      else if (task === undefined) continue;
      else if (command.op === 'stop') this.stop(task, command.graceS);
      else if (task.phase === 'exited') this.forget(task);
    }
  }

  /** Starts the run of the task. */
  run(job: JobSpec, index: number): void {
    const task = this.find(job.id, index);
    if (task === undefined || task.phase === 'exited') return;
    const { host, agent, onChange } = this.options;
    const isGang = job.kind === 'gang';
    task.phase = 'running';
    onChange();
    if (job.kind === 'service') return;
    agent.actAfter(host.taskRunMs(job, isGang ? 0 : index), () => {
      // A task of an earlier epoch was discarded and must not complete anything.
      if (task.phase !== 'running' || this.find(job.id, index) !== task) return;
      this.finishRun(task);
    });
    if (isGang) this.gangTasks.watchPeers(task);
  }

  /** Ends the task, once all tasks of its gang have saved a checkpoint. */
  finishCheckpoint(job: JobSpec, index: number): void {
    const task = this.find(job.id, index);
    if (task?.phase === 'saving') this.end(task, 'stopped', true);
  }

  private start(id: JobId, index: number, attempt: Attempt): void {
    const { host, agent, type, onChange } = this.options;
    const job = host.findJob(id);
    if (this.attempts.has(formatAttemptName(id, index, attempt)) || job === undefined) return;
    const task: WorkerTask = { job, task: index, attempt, phase: 'fetching', cause: null, saved: false };
    const refusal = this.refusalOf(job, index);
    this.attempts.set(formatAttemptName(id, index, attempt), task);
    if (job.kind === 'gang') host.gangs.attempt(job, attempt);
    onChange();
    if (refusal !== null) {
      task.phase = 'exited';
      task.cause = refusal;
      return;
    }
    this.latest.set(formatTaskName(id, index), task);
    const fetchMs = this.images.has(job.image) ? CACHED_IMAGE_MS : (job.imageGb / type.fetchGbPerS) * 1000;
    agent.actAfter(fetchMs, () => {
      if (this.find(id, index) === task && task.phase === 'fetching') this.begin(task);
    });
  }

  private forget(task: WorkerTask): void {
    const { job, task: index, attempt } = task;
    this.attempts.delete(formatAttemptName(job.id, index, attempt));
    if (this.find(job.id, index) === task) this.latest.delete(formatTaskName(job.id, index));
  }

  /** Why this worker refuses to start the task; null if it does not. */
  private refusalOf(job: JobSpec, index: number): ExitCause | null {
    const latest = this.find(job.id, index);
    if (latest !== undefined && latest.phase !== 'exited') return 'busy';
    return this.hasRoomFor(job) ? null : 'no_room';
  }

  private hasRoomFor(job: JobSpec): boolean {
    const { type } = this.options;
    let { cpus, gpus, memoryGb } = job;
    for (const other of this.occupying) {
      cpus += other.job.cpus;
      gpus += other.job.gpus;
      memoryGb += other.job.memoryGb;
    }
    return cpus <= type.cpus + EPSILON && gpus <= type.gpus + EPSILON && memoryGb <= type.memoryGb + EPSILON;
  }

  /** Starts the task after its image was fetched. */
  private begin(task: WorkerTask): void {
    const { host, placement, onChange } = this.options;
    const { job, task: index, attempt } = task;
    this.images.add(job.image);
    host.observer.taskStarted(job, index, attempt, placement);
    if (this.failsAllTasks) this.end(task, 'error');
    else if (host.observer.isTaskDone(job.id, index)) this.end(task, 'done');
    else if (job.kind === 'gang') {
      task.phase = 'waiting';
      onChange();
      this.gangTasks.awaitPeers(task);
    } else this.run(job, index);
  }

  private finishRun(task: WorkerTask): void {
    const { host } = this.options;
    const { job, task: index } = task;
    if (job.kind === 'gang' && !this.gangTasks.complete(task)) this.end(task, 'peers');
    else this.end(task, host.taskFails(job, index) ? 'error' : 'done');
  }

  private stop(task: WorkerTask, graceS: number): void {
    const { agent, onChange } = this.options;
    const { job, phase } = task;
    if (phase === 'exited') return;
    const canSave = phase === 'running' && job.checkpointS > 0 && graceS >= job.saveS;
    if (!canSave) {
      if (phase === 'saving' && graceS > 0) return;
      this.end(task, 'stopped');
      return;
    }
    task.phase = 'saving';
    onChange();
    if (job.kind === 'gang') {
      this.gangTasks.save(task);
      return;
    }
    agent.actAfter(job.saveS * 1000, () => {
      if (task.phase === 'saving') this.end(task, 'stopped', true);
    });
  }

  private end(task: WorkerTask, cause: ExitCause, isSaved = false): void {
    const { host, placement, onChange } = this.options;
    const { job, task: index } = task;
    // A task of an earlier epoch was discarded and has ended already.
    if (this.find(job.id, index) !== task || task.phase === 'exited') return;
    task.phase = 'exited';
    task.cause = cause;
    task.saved = isSaved;
    host.observer.taskStopped(job.id, index, placement.machine, cause === 'done');
    onChange();
  }
}
