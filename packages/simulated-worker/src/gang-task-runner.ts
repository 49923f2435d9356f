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

const MIN_WATCH_MS = 1;

/** What gang tasks need from their worker. */
export interface GangTaskRunnerOptions {
  readonly host: WorkerHost;
  readonly agent: AgentState;
  readonly end: (task: WorkerTask, cause: ExitCause, isSaved?: boolean) => void;
}

/** Simulates the gang tasks of one worker. */
export class GangTaskRunner {
  constructor(private readonly options: GangTaskRunnerOptions) {}

  /** The task waits for the others; when the last one arrives, all begin to run. */
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

  /** A running task exits if another task of its gang is lost, or was not told to stop in time. */
  watchPeers(task: WorkerTask): void {
    const { host, agent, end } = this.options;
    const { job, attempt } = task;
    const { firstStopAtMs } = host.gangs.attempt(job, attempt);
    const untilStopMs = firstStopAtMs === null ? Infinity : firstStopAtMs + host.gangPeerMs - host.time.now;
    agent.actAfter(Math.max(MIN_WATCH_MS, Math.min(host.gangPeerMs / 2, untilStopMs)), () => {
      if (task.phase !== 'running') return;
      if (host.observer.isTaskDone(job.id, task.task)) end(task, 'done');
      else if (!this.hasMissedStop(task) && this.isComplete(task)) this.watchPeers(task);
      else end(task, 'peers');
    });
  }

  /** The task's run is over, and with it the gang's, unless a task is missing; returns false in that case. */
  complete({ job, task, attempt }: WorkerTask): boolean {
    const { gangs, observer } = this.options.host;
    if (observer.isTaskDone(job.id, task)) return true;
    if (gangs.activeMembers(job, attempt).length < job.tasks) return false;
    observer.gangCompleted(job, attempt);
    return true;
  }

  /**
   * A graceful stop succeeds only if every task of the gang receives it within the limit after the first one.
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
    // If a task that was told to stop is lost before it has saved, the others need not wait for it.
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
