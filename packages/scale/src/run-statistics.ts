/**
 * Task starts and waiting times of urgent tasks, counted from the events of a run.
 *
 * @module
 */
import { DDSketch } from '@datadog/sketches-js';
import type { JobId, JobSpec } from '@spurbridge/wire';
import { summarizeLatencies } from './meter.js';
import type { RunEvent } from './events.js';
import type { LatencySummary } from './messages.js';
import { RUN_SETTINGS } from './controller-settings.js';

const NO_LATENCY: LatencySummary = { count: 0, p50: 0, p99: 0, most: 0 };

/** Counts task starts and records the waiting times of urgent tasks over an interval. */
export class RunStatistics {
  starts = 0;
  tasksSubmitted = 0;
  jobsSubmitted = 0;
  private readonly running = new Set<string>();
  private readonly waiting = new Map<string, number>();
  private waits = new DDSketch();
  private lastStartAt: number | null = null;
  private longestPauseMs = 0;

  constructor(private readonly find: (id: JobId) => JobSpec | undefined) {}

  /** Starts a new interval. The sets of running and waiting tasks are kept. */
  reset(): void {
    this.starts = 0;
    this.tasksSubmitted = 0;
    this.jobsSubmitted = 0;
    this.waits = new DDSketch();
    this.lastStartAt = null;
    this.longestPauseMs = 0;
  }

  /** Processes one event. */
  record(event: RunEvent): void {
    switch (event.kind) {
      case 'submitted':
        this.submitted(event.job, event.at);
        return;
      case 'started':
        this.started(event.job, event.task, event.at);
        return;
      case 'left':
        this.running.delete(`${event.job}/${event.task}`);
        return;
      case 'cancelAsked':
        this.stopWaiting(event.job);
        return;
      case 'told':
      case 'completed':
      case 'machineGone':
    }
  }

  private submitted(id: JobId, at: number): void {
    const spec = this.find(id);
    if (spec === undefined) return;
    if (spec.kind !== 'service') {
      this.tasksSubmitted += spec.tasks;
      this.jobsSubmitted += 1;
    }
    if (spec.class === 'urgent')
      for (let task = 0; task < spec.tasks; task += 1) this.waiting.set(`${id}/${task}`, at);
  }

  private started(id: JobId, task: number, at: number): void {
    const name = `${id}/${task}`;
    this.starts += 1;
    this.running.add(name);
    if (this.lastStartAt !== null) this.longestPauseMs = Math.max(this.longestPauseMs, at - this.lastStartAt);
    this.lastStartAt = at;
    const since = this.waiting.get(name);
    if (since === undefined) return;
    this.waiting.delete(name);
    this.waits.accept(at - since);
  }

  /** Stops measuring the waiting times of a cancelled job's tasks. */
  private stopWaiting(id: JobId): void {
    for (const name of this.waiting.keys()) if (name.startsWith(`${id}/`)) this.waiting.delete(name);
  }

  get runningTasks(): number {
    return this.running.size;
  }

  get urgentLatency(): LatencySummary {
    return this.waits.count === 0 ? NO_LATENCY : summarizeLatencies(this.waits);
  }

  /** Number of urgent tasks that have not started and have waited for longer than the objective. */
  countOverdue(now: number): number {
    return [...this.waiting.values()].filter((at) => now - at > RUN_SETTINGS.urgentWithinS * 1000).length;
  }

  get longestPauseS(): number {
    return this.longestPauseMs / 1000;
  }
}
