/**
 * Checks the behaviour of machines and the responses to users against the rules of the protocol.
 *
 * @module
 */
import type { ServiceLevelCounts, Team } from '@spurbridge/model';
import { EPSILON } from '@spurbridge/model';
import type { TaskObserver, TaskPlacement } from '@spurbridge/simulated-worker';
import type { Attempt, JobId, JobPhase, JobSpec, MachineId } from '@spurbridge/wire';
import { JobLifetimes } from './job-lifetimes.js';
import { ResponseRules } from './response-rules.js';
import type { RuleViolation } from './rule-violations.js';
import { RuleViolations } from './rule-violations.js';
import type { RunningTask, TaskRun } from './running-tasks.js';
import { RunningTasks } from './running-tasks.js';
import type { UserCall } from './user-call.js';

/** Observes all events of a simulated environment, and records violations. */
export class RuleChecker implements TaskObserver {
  /** The number of starts of tasks. */
  starts = 0;
  /** The number of tasks killed because their worker's lease was not renewed in time. */
  killedByLease = 0;
  /** Starts of tasks that were done already: they end at once, but occupy resources until then. */
  startsOfCompletedTasks = 0;
  /** Attempts of arrays and services that started twice on one machine, which had forgotten them meanwhile. */
  startsOfForgottenAttempts = 0;
  /** Starts after the job was reported to the user as cancelled, including those that were gone in time. */
  startsOfCancelledJobs = 0;
  /** Called for every job whose last task completed. */
  onJobCompleted: ((spec: JobSpec) => void) | null = null;
  /** Called for every run that ends. */
  onRunEnded: ((run: TaskRun) => void) | null = null;
  private readonly running = new RunningTasks();
  private readonly startedAttempts = new Set<string>();
  private readonly doneTasks = new Map<JobId, Set<number>>();
  private readonly jobs: JobLifetimes;
  private readonly responses: ResponseRules;
  private readonly ruleViolations: RuleViolations;

  constructor(
    private readonly now: () => number,
    private readonly teams: readonly Team[],
    private readonly cancelMs: number,
  ) {
    this.ruleViolations = new RuleViolations(now);
    this.jobs = new JobLifetimes(now, (id) => this.running.countOfJob(id));
    this.responses = new ResponseRules({
      now,
      violations: this.ruleViolations,
      submitted: this.jobs.submitted,
      doneTasksOf: (id) => this.doneTaskCountOf(id),
    });
  }

  /** Violations so far, in order. */
  get violations(): RuleViolation[] {
    return this.ruleViolations.all;
  }

  /** All submitted jobs. */
  get submitted(): ReadonlyMap<JobId, JobSpec> {
    return this.jobs.submitted;
  }

  /** The time from which on all faults are over, in milliseconds. */
  get faultsEndMs(): number {
    return this.responses.faultsEndMs;
  }

  set faultsEndMs(atMs: number) {
    this.responses.faultsEndMs = atMs;
  }

  /** Longest time for which requests about an accepted job got no response after all faults. */
  get longestUnansweredMs(): number {
    return this.responses.longestUnansweredMs;
  }

  /** Checks rules that can be violated without an event, such as by a task that stays on a machine. */
  sweep(): void {
    for (const id of this.responses.cancelledJobs) this.checkCancelled(id);
    this.jobs.countReplicaTime();
  }

  // --- events on machines ----------------------------------------------------------------------

  taskStarted(job: JobSpec, task: number, attempt: Attempt, at: TaskPlacement): void {
    this.starts += 1;
    this.countForgottenAttempt(job, task, attempt, at.machine);
    this.jobs.recordStart(job.id);
    if (this.isTaskDone(job.id, task)) this.startsOfCompletedTasks += 1;
    if (this.responses.cancelledAtMs(job.id) !== undefined) this.startsOfCancelledJobs += 1;
    this.checkPlacement(job, task, at);
    const { machine, zone } = at;
    this.running.add({ job, task, attempt, machine, zone, sinceMs: this.now() });
    this.checkQuota(job.team);
    this.checkCancelled(job.id);
  }

  taskStopped(job: JobId, task: number, machine: MachineId, isDone: boolean): void {
    const stopped = this.running.remove(job, task, machine);
    if (stopped !== undefined) this.onRunEnded?.({ ...stopped, untilMs: this.now(), done: isDone });
    if (!isDone) return;
    const tasks = this.doneTasks.get(job) ?? new Set();
    this.doneTasks.set(job, tasks.add(task));
    this.completeJob(job, tasks.size);
  }

  /** The machine is gone with everything on it. */
  machineLost(machine: MachineId): void {
    for (const { job, task } of this.running.onMachine(machine))
      this.taskStopped(job.id, task, machine, false);
  }

  gangCompleted(job: JobSpec, attempt: Attempt): void {
    const members = this.running.ofJob(job.id).filter((running) => running.attempt === attempt);
    if (members.length < job.tasks && !this.isTaskDone(job.id, 0))
      this.ruleViolations.report(
        'gang_split',
        `${job.id} completed with ${members.length} of ${job.tasks} tasks on machines`,
      );
    this.doneTasks.set(job.id, new Set(Array.from({ length: job.tasks }, (_, task) => task)));
    this.completeJob(job.id, job.tasks);
  }

  isTaskDone(job: JobId, task: number): boolean {
    return this.doneTasks.get(job)?.has(task) === true;
  }

  /** The tasks of the job that are on machines now. */
  runningTasks(id: JobId): RunningTask[] {
    return this.running.ofJob(id);
  }

  /** The number of the job's tasks that are done. */
  doneTaskCountOf(id: JobId): number {
    return this.doneTasks.get(id)?.size ?? 0;
  }

  /** The number of the job's tasks that are on machines now. */
  runningTasksOf(id: JobId): number {
    return this.running.countOfJob(id);
  }

  /** The number of tasks of jobs of this kind that are on machines now. */
  runningTasksOfKind(kind: JobSpec['kind']): number {
    return this.running.countOfKind(kind);
  }

  /** Reports that a job has waited for too long although it could start. */
  jobStarved(id: JobId, forMs: number): void {
    this.ruleViolations.report('left_waiting', `${id} could start, but waited for ${forMs} ms`);
  }

  // --- requests of users and responses ---------------------------------------------------------

  /** Records a submission by a user, possibly a repeated one. */
  jobSubmitted(spec: JobSpec): void {
    this.jobs.recordSubmission(spec);
  }

  /** Records a user's request to cancel the job. */
  cancellationRequested(id: JobId): void {
    this.responses.cancellationRequested(id);
    this.jobs.recordCancellationRequest(id);
  }

  /**
   * Checks a response to a user. It must be consistent with everything that was reported to the user until
   * `asOfMs`: for users with several requests in flight, the time when this request was sent. Returns whether
   * the response changed what was reported to the user.
   */
  responseReceived(
    id: JobId,
    call: UserCall,
    code: number,
    phase: JobPhase | null,
    asOfMs = this.now(),
  ): boolean {
    return this.responses.receive({ id, call, code, phase, asOfMs });
  }

  /** Checks the response to a submission that can never run, or that lacks a field. */
  invalidSubmissionAnswered(id: JobId, defect: string, code: number): void {
    this.responses.receiveInvalidSubmission(id, defect, code);
  }

  /** Whether the job was reported to its user as accepted. */
  isAccepted(id: JobId): boolean {
    return this.responses.isAccepted(id);
  }

  /** Whether the job was reported to its user as done. */
  isReportedDone(id: JobId): boolean {
    return this.responses.isReportedDone(id);
  }

  /** Whether a user requested the job's cancellation. */
  isCancellationRequested(id: JobId): boolean {
    return this.responses.isCancellationRequested(id);
  }

  /** The times at which the reported status of a job changed, ascending. */
  statusChangesOf(id: string): readonly number[] {
    return this.responses.statusChangesOf(id);
  }

  // --- results ---------------------------------------------------------------------------------

  /** Whether the job's last task completed. */
  isCompleted(id: JobId): boolean {
    return this.jobs.isCompleted(id);
  }

  /** What every class and team requested and received until now. */
  demandByGroup(): Map<string, ServiceLevelCounts> {
    return this.jobs.demandByGroup();
  }

  /** Classes and teams of which less than half was served. */
  underservedGroups(): string[] {
    return this.jobs.underservedGroups();
  }

  /** A gang's attempt is left out: it may continue on a machine whose agent epoch has ended. */
  private countForgottenAttempt(job: JobSpec, task: number, attempt: Attempt, machine: MachineId): void {
    if (job.kind === 'gang') return;
    const key = `${machine}:${job.id}/${task}#${attempt}`;
    if (this.startedAttempts.has(key)) this.startsOfForgottenAttempts += 1;
    this.startedAttempts.add(key);
  }

  private completeJob(id: JobId, doneTasks: number): void {
    const completed = this.jobs.recordCompletion(id, doneTasks);
    if (completed !== null) this.onJobCompleted?.(completed);
  }

  private checkPlacement(job: JobSpec, task: number, at: TaskPlacement): void {
    const others = this.running.ofJob(job.id);
    const name = `${job.id}/${task}`;
    const duplicate = others.find((other) => other.task === task);
    if (duplicate !== undefined)
      this.ruleViolations.report('ran_twice', `${name} on ${duplicate.machine} and ${at.machine}`);
    if (!isAllowedOn(job, at) || violatesZoneConstraints(job, at, others))
      this.ruleViolations.report('wrong_place', `${name} on ${at.machine}`);
  }

  private checkQuota(name: string): void {
    const team = this.teams.find((candidate) => candidate.name === name);
    const { cpus, gpus } = this.running.usageOfTeam(name);
    if (team === undefined || cpus > team.cpusMax + EPSILON || gpus > team.gpusMax + EPSILON)
      this.ruleViolations.report('quota', `${name} uses ${cpus} CPUs and ${gpus} accelerators`);
  }

  private checkCancelled(id: JobId): void {
    const reportedAtMs = this.responses.cancelledAtMs(id);
    if (reportedAtMs === undefined || this.now() <= reportedAtMs + this.cancelMs) return;
    for (const { task, machine } of this.running.ofJob(id))
      this.ruleViolations.report('ran_cancelled', `${id}/${task} on ${machine}`);
  }
}

function isAllowedOn(job: JobSpec, at: TaskPlacement): boolean {
  if (job.types !== null && !job.types.includes(at.type)) return false;
  if (job.zone !== null && job.zone !== at.zone) return false;
  return job.spot || !at.spot;
}

/**
 * Whether the job's tasks would violate its zone constraints: be in several zones, or too many of them in
 * one.
 */
function violatesZoneConstraints(job: JobSpec, at: TaskPlacement, others: readonly RunningTask[]): boolean {
  if (job.oneZone && others.some((other) => other.zone !== at.zone)) return true;
  const inZone = others.filter((other) => other.zone === at.zone).length;
  return job.spread && inZone + 1 > Math.ceil(job.tasks / 2);
}
