/**
 * The jobs of a simulated night, generated from the seed of the world: deferrable reruns, urgent arrays and services;
 * and their costs, waiting times and ends.
 *
 * @module
 */
import type { TaskRun, World } from '@spurbridge/testkit';
import { jobSpec } from '@spurbridge/testkit';
import type { JobId, JobSpec } from '@spurbridge/wire';
import { NIGHT_MS, priceAt } from './night-tariff.js';

/** Class of the deferrable jobs. */
export const DEFERRABLE_CLASS = 'rerun';

const RERUNS_FROM_MS = 60_000;
const RERUN_ARRIVAL_SPAN_MS = 5_400_000;
const MAX_DEADLINE_MS = 10_200_000;
const MIN_DEADLINE_MS = 1_500_000;
const MIN_URGENT_GAP_MS = 5000;
const NO_URGENT_AT_END_MS = 600_000;
const SERVICES = 60;
const NO_SERVICE_AT_END_MS = 1_200_000;
const MIN_SERVICE_RUN_MS = 600_000;
const SERVICE_RUN_SPREAD_MS = 3_000_000;
/** Step by which costs are summed up, which is fine enough for price windows of minutes. */
const COST_STEP_MS = 1000;

/** Whether a job with a deadline finished in time. */
export interface JobEnd {
  readonly id: JobId;
  readonly deferrable: boolean;
  readonly met: boolean;
}

function costOf(run: TaskRun): number {
  let spent = 0;
  for (let ms = run.sinceMs; ms < run.untilMs; ms += COST_STEP_MS)
    spent += run.job.cpus * (Math.min(COST_STEP_MS, run.untilMs - ms) / 1000) * priceAt(ms);
  return spent;
}

/** Submits the jobs of a night and records their costs, waiting times and ends. */
export class NightJobs {
  deferrableCost = 0;
  cost = 0;
  /** Seconds from submission to the first start of each task of jobs above normal priority. */
  readonly urgentWaitsS = new Map<string, number>();
  private readonly submittedAtMs = new Map<JobId, number>();
  private readonly doneAtMs = new Map<JobId, number>();
  private readonly unfinishedTasks = new Map<JobId, number>();
  private jobCount = 0;

  constructor(private readonly world: World) {}

  /** Schedules all submissions; `reruns` is the number of deferrable jobs. */
  submitAll(reruns: number): void {
    for (let i = 0; i < reruns; i += 1) this.submitRerun();
    const urgentUntilMs = NIGHT_MS - NO_URGENT_AT_END_MS;
    for (let at = MIN_URGENT_GAP_MS; at < urgentUntilMs; at += MIN_URGENT_GAP_MS + this.world.random(5000))
      this.submitUrgent(at);
    for (let i = 0; i < SERVICES; i += 1) this.submitService();
  }

  /** Records an ended run of a task, whether it completed or not. */
  readonly onRunEnded = (run: TaskRun): void => {
    const spent = costOf(run);
    this.cost += spent;
    if (run.job.class === DEFERRABLE_CLASS) this.deferrableCost += spent;
    const name = `${run.job.id}/${run.task}`;
    if (run.job.priority !== 'normal' && !this.urgentWaitsS.has(name))
      this.urgentWaitsS.set(name, (run.sinceMs - (this.submittedAtMs.get(run.job.id) ?? 0)) / 1000);
    if (!run.done) return;
    const unfinished = (this.unfinishedTasks.get(run.job.id) ?? 0) - 1;
    this.unfinishedTasks.set(run.job.id, unfinished);
    if (unfinished === 0) this.doneAtMs.set(run.job.id, run.untilMs);
  };

  /** The ends of all jobs with a deadline. A job that did not finish has missed its deadline. */
  ends(): JobEnd[] {
    const ends: JobEnd[] = [];
    for (const spec of this.world.checker.submitted.values()) {
      if (spec.deadlineS === null) continue;
      const endMs = this.doneAtMs.get(spec.id) ?? Infinity;
      const deadlineMs = (this.submittedAtMs.get(spec.id) ?? 0) + spec.deadlineS * 1000;
      ends.push({ id: spec.id, deferrable: spec.class === DEFERRABLE_CLASS, met: endMs <= deadlineMs });
    }
    return ends;
  }

  private submit(atMs: number, spec: JobSpec, cancelAtMs: number | null): void {
    this.world.time.after(atMs, () => {
      this.submittedAtMs.set(spec.id, this.world.time.now);
      this.unfinishedTasks.set(spec.id, spec.tasks);
      this.world.startUser(spec, cancelAtMs);
    });
  }

  private nextId(): JobId {
    return `wk-${String(this.jobCount++).padStart(6, '0')}` as JobId;
  }

  private submitRerun(): void {
    const { world } = this;
    const at = RERUNS_FROM_MS + world.random(RERUN_ARRIVAL_SPAN_MS);
    const latest = MAX_DEADLINE_MS - at;
    const spec = jobSpec({
      id: this.nextId(),
      class: DEFERRABLE_CLASS,
      tasks: 2 + world.random(5),
      cpus: 2,
      memoryGb: 4,
      estimateS: 15 + world.random(30),
      image: `img-${world.random(6)}`,
      imageGb: 1,
      deadlineS: Math.round((MIN_DEADLINE_MS + world.random(latest - MIN_DEADLINE_MS)) / 1000),
    });
    this.submit(at, spec, null);
  }

  private submitUrgent(at: number): void {
    const { world } = this;
    const spec = jobSpec({
      id: this.nextId(),
      class: 'urgent',
      team: 'blue',
      priority: 'high',
      tasks: 1 + world.random(6),
      cpus: 2,
      memoryGb: 4,
      estimateS: 10 + world.random(10),
      image: `img-${world.random(3)}`,
    });
    this.submit(at, spec, null);
  }

  private submitService(): void {
    const { world } = this;
    const at = world.random(NIGHT_MS - NO_SERVICE_AT_END_MS);
    const spec = jobSpec({
      id: this.nextId(),
      class: 'portal',
      team: 'blue',
      kind: 'service',
      priority: 'production',
      tasks: 1 + world.random(3),
      cpus: 1,
      estimateS: 0,
      spot: false,
      spread: true,
      image: `srv-${world.random(3)}`,
    });
    this.submit(at, spec, at + MIN_SERVICE_RUN_MS + world.random(SERVICE_RUN_SPREAD_MS));
  }
}
