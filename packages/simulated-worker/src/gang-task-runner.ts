/**
 * The behaviour of gang tasks on a simulated worker, which depends on the gang's other tasks: they start,
 * run, save and end together.
 *
 * @module
 */
import type { ExitCause } from '@spurbridge/wire';
import type { AgentState } from './agent-state.js';
import type { WorkerHost } from './worker-host.js';
import type { WorkerTask } from './worker-task.js';

const MIN_WATCH_INTERVAL_MS = 1;

/** Dependencies of the gang task runner. */
export interface GangTaskRunnerOptions {
  readonly host: WorkerHost;
  readonly agent: AgentState;
  readonly end: (task: WorkerTask, cause: ExitCause, isSaved?: boolean) => void;
}

/** Simulates the gang tasks of one worker. */
export class GangTaskRunner {
  constructor(private readonly options: GangTaskRunnerOptions) {}

  /** Lets the task wait for the gang's other tasks. When the last one is present, all begin to run. */
  awaitPeers(task: WorkerTask): void {
    const { host, agent, end } = this.options;
    const { job, attempt } = task;
    const gang = host.gangs.attempt(job, attempt);
    const members = host.gangs.activeMembers(job, attempt);
    if (members.length === job.tasks && !gang.started) {
      gang.started = true;
      for (const member of members) member.worker.runGangTask(job, member.task);
    }
    agent.actAfter(host.gangWaitMs, () => {
      if (task.phase === 'waiting') end(task, 'alone');
    });
  }

  /** Ends a running task if another task of its gang is lost, or if the task itself was not told to stop in time. */
  watchPeers(task: WorkerTask): void {
    const { host, agent, end } = this.options;
    const { job, attempt } = task;
    const { firstStopAtMs } = host.gangs.attempt(job, attempt);
    const untilStopMs = firstStopAtMs === null ? Infinity : firstStopAtMs + host.gangPeerMs - host.time.now;
    agent.actAfter(Math.max(MIN_WATCH_INTERVAL_MS, Math.min(host.gangPeerMs / 2, untilStopMs)), () => {
      if (task.phase !== 'running') return;
      if (host.observer.isTaskDone(job.id, task.task)) end(task, 'done');
      else if (!this.hasMissedStop(task) && this.isComplete(task)) this.watchPeers(task);
      else end(task, 'peers');
    });
  }

  /** Completes the gang when the task's run is over. Returns false if a task of the gang is missing. */
  complete({ job, task, attempt }: WorkerTask): boolean {
    const { gangs, observer } = this.options.host;
    if (observer.isTaskDone(job.id, task)) return true;
    if (gangs.activeMembers(job, attempt).length < job.tasks) return false;
    observer.gangCompleted(job, attempt);
    return true;
  }

  /**
   * Saves a checkpoint for a graceful stop. The stop succeeds only if every task of the gang is told to stop within
   * `gangPeerMs` after the first one.
   */
  save(task: WorkerTask): void {
    const { host, agent, end } = this.options;
    const { job, attempt } = task;
    const gang = host.gangs.attempt(job, attempt);
    gang.firstStopAtMs ??= host.time.now;
    gang.toldToStop.add(task.task);
    agent.actAfter(job.saveS * 1000, () => {
      if (task.phase === 'saving') this.finishSave(task);
    });
    agent.actAfter(Math.max(0, gang.firstStopAtMs + host.gangPeerMs - host.time.now), () => {
      if (task.phase === 'saving' && gang.toldToStop.size < job.tasks) end(task, 'stopped');
    });
    // The other tasks do not wait any longer for a task that was told to stop and was lost before it had saved.
    agent.actAfter(job.saveS * 1000 + 2 * host.gangPeerMs, () => {
      if (task.phase === 'saving') end(task, 'stopped');
    });
  }

  private finishSave({ job, task, attempt }: WorkerTask): void {
    const { gangs } = this.options.host;
    const gang = gangs.attempt(job, attempt);
    gang.savedTasks.add(task);
    const members = gangs.activeMembers(job, attempt);
    if (gang.savedTasks.size < job.tasks || members.length < job.tasks) return;
    gang.isCheckpointed = true;
    for (const member of members) member.worker.finishCheckpoint(job, member.task);
  }

  private hasMissedStop({ job, attempt }: WorkerTask): boolean {
    const { host } = this.options;
    const { firstStopAtMs } = host.gangs.attempt(job, attempt);
    return firstStopAtMs !== null && host.time.now >= firstStopAtMs + host.gangPeerMs;
  }

  private isComplete({ job, attempt }: WorkerTask): boolean {
    return this.options.host.gangs.activeMembers(job, attempt).length === job.tasks;
  }
}
