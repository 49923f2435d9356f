import type { ServiceLevelCounts, Team } from '@spurbridge/model';
import {
  REPLICA_GRACE_S,
  countJob,
  countLargestJob,
  largestJobThreshold,
  emptyServiceLevelCounts,
  maxRunnableReplicas,
  jobSize,
  missedServiceLevels,
} from '@spurbridge/model';
import type { Attempt, JobId, JobPhase, JobSpec, MachineId } from '@spurbridge/wire';

export interface RuleViolation {
  readonly rule: string;
  readonly atMs: number;
  readonly what: string;
}

interface On {
  readonly job: JobSpec;
  readonly task: number;
  readonly attempt: Attempt;
  readonly machine: MachineId;
  readonly zone: string;
  readonly sinceMs: number;
}

/** A task's time on a machine, from its start until it left. */
export interface TaskRun extends On {
  readonly untilMs: number;
  readonly done: boolean;
}

interface Life {
  readonly submittedMs: number;
  startedMs: number | null;
  endedMs: number | null;
  cancelMs: number | null;
}

const EPSILON = 1e-6;

/** Tasks on machines, grouped: a fleet of thousands is not searched for each start. */
class Index<Group extends string> {
  private readonly groups = new Map<Group, Map<string, On>>();

  set(group: Group, name: string, on: On): void {
    const found = this.groups.get(group);
    if (found === undefined) this.groups.set(group, new Map([[name, on]]));
    else found.set(name, on);
  }

  delete(group: Group, name: string): void {
    const found = this.groups.get(group);
    found?.delete(name);
    if (found?.size === 0) this.groups.delete(group);
  }

  of(group: Group): On[] {
    return [...(this.groups.get(group)?.values() ?? [])];
  }

  get(group: Group, name: string): On | undefined {
    return this.groups.get(group)?.get(name);
  }

  count(group: Group): number {
    return this.groups.get(group)?.size ?? 0;
  }

  *all(): Generator<On> {
    for (const group of this.groups.values()) yield* group.values();
  }
}

interface Answers {
  readonly given: number;
  readonly refused: number;
}

const FORGOTTEN_MS = 90_000;
/** The same once all troubles are over, however others fare. */
const FORGOTTEN_CALM_MS = 75_000;

function nameOf(machine: MachineId, job: JobId, task: number): string {
  return `${machine}:${job}/${task}`;
}

function whoOf(spec: JobSpec): string[] {
  return [`class ${spec.class}`, `team ${spec.team}`];
}

/** Judges what machines do and what users are told against the rules of the protocol. */
export class RuleChecker {
  readonly violations: RuleViolation[] = [];
  readonly submitted = new Map<JobId, JobSpec>();
  /** When users were first told so. */
  private readonly accepted = new Map<JobId, number>();
  private readonly toldCancelled = new Map<JobId, number>();
  private readonly toldDone = new Map<JobId, number>();
  private readonly askedCancel = new Set<JobId>();
  private readonly doneTasks = new Map<JobId, Set<number>>();
  /** What is on machines now: by job and by team, each under the machine's and the task's name. */
  private readonly onByJob = new Index<JobId>();
  private readonly onByTeam = new Index<string>();
  /** When users were told something new of each job: that it is accepted, done or cancelled. */
  private readonly news = new Map<string, number[]>();
  /** Since when no poll for a job was answered, and how many others were by then. */
  private readonly failing = new Map<JobId, { readonly sinceMs: number; readonly before: Answers }>();
  private answers: Answers = { given: 0, refused: 0 };
  /** When each job was submitted, had its first start and was complete; and when its user asked to cancel it. */
  private readonly lives = new Map<JobId, Life>();
  /** Replica time asked for and run, by class and by team. */
  private readonly replicas = new Map<string, { wantedS: number; ranS: number }>();
  private sweptAt = 0;
  starts = 0;
  /** Tasks killed because nobody answered their worker in time. */
  killedByLease = 0;
  /** Starts of tasks that were done already: they end at once, but their place is taken. */
  startsOfCompletedTasks = 0;
  /** From then on all troubles are over. */
  faultsEndMs = Infinity;
  /** Longest time for which a question about an accepted job went unanswered since then. */
  longestUnansweredMs = 0;
  /** Starts after the user was told that the job is cancelled, also those that were gone within `cancel_s`. */
  startsOfCancelledJobs = 0;
  /** Told of every job whose last task completed. */
  onJobCompleted: ((spec: JobSpec) => void) | null = null;
  /** Told of every run that ends. */
  onRunEnded: ((run: TaskRun) => void) | null = null;

  constructor(
    private readonly now: () => number,
    private readonly teams: readonly Team[],
    private readonly cancelMs: number,
  ) {}

  private breaks(rule: string, what: string): void {
    this.violations.push({ rule, atMs: Math.round(this.now()), what });
  }

  /** The task has its image and is on the machine from now on. */
  taskStarted(
    job: JobSpec,
    task: number,
    attempt: Attempt,
    machine: Omit<On, 'job' | 'task' | 'attempt' | 'sinceMs'> & { type: string; spot: boolean },
  ): void {
    this.starts += 1;
    const life = this.lives.get(job.id);
    if (life !== undefined) life.startedMs ??= this.now();
    if (this.isTaskDone(job.id, task)) this.startsOfCompletedTasks += 1;
    if (this.toldCancelled.has(job.id)) this.startsOfCancelledJobs += 1;
    const name = `${job.id}/${task}`;
    const mates = this.onByJob.of(job.id);
    const other = mates.find((o) => o.task === task);
    if (other !== undefined) this.breaks('ran_twice', `${name} on ${other.machine} and ${machine.machine}`);
    const here = mates.filter((o) => o.zone === machine.zone).length;
    if (
      (job.types !== null && !job.types.includes(machine.type)) ||
      (job.zone !== null && job.zone !== machine.zone) ||
      (!job.spot && machine.spot) ||
      (job.oneZone && mates.some((o) => o.zone !== machine.zone)) ||
      (job.spread && here + 1 > Math.ceil(job.tasks / 2))
    )
      this.breaks('wrong_place', `${name} on ${machine.machine}`);
    const { machine: id, zone } = machine;
    this.put({ job, task, attempt, machine: id, zone, sinceMs: this.now() });
    const team = this.teams.find((t) => t.name === job.team);
    let cpus = 0;
    let gpus = 0;
    for (const o of this.onByTeam.of(job.team)) {
      cpus += o.job.cpus;
      gpus += o.job.gpus;
    }
    if (team === undefined || cpus > team.cpusMax + EPSILON || gpus > team.gpusMax + EPSILON)
      this.breaks('quota', `${job.team} uses ${cpus} CPUs`);
    this.checkCancelled(job.id);
  }

  private put(on: On): void {
    const name = nameOf(on.machine, on.job.id, on.task);
    this.onByJob.set(on.job.id, name, on);
    this.onByTeam.set(on.job.team, name, on);
  }

  /** The task is off the machine. */
  taskStopped(job: JobId, task: number, machine: MachineId, done: boolean): void {
    const name = nameOf(machine, job, task);
    const on = this.onByJob.get(job, name);
    if (on !== undefined) {
      this.onRunEnded?.({ ...on, untilMs: this.now(), done });
      this.onByJob.delete(job, name);
      this.onByTeam.delete(on.job.team, name);
    }
    if (!done) return;
    const tasks = this.doneTasks.get(job) ?? new Set();
    this.doneTasks.set(job, tasks.add(task));
    this.complete(job, tasks.size);
  }

  /** The machine is gone with everything on it. */
  machineLost(machine: MachineId): void {
    const there = [...this.onByJob.all()].filter((o) => o.machine === machine);
    for (const o of there) this.taskStopped(o.job.id, o.task, machine, false);
  }

  private complete(id: JobId, done: number): void {
    const life = this.lives.get(id);
    const spec = this.submitted.get(id);
    if (life === undefined || done !== spec?.tasks || life.endedMs !== null) return;
    life.endedMs = this.now();
    this.onJobCompleted?.(spec);
  }

  /** A gang completes together: if one task is done, all are. */
  gangCompleted(job: JobSpec, attempt: Attempt): void {
    const there = this.onByJob.of(job.id).filter((o) => o.attempt === attempt);
    if (there.length < job.tasks && !this.isTaskDone(job.id, 0))
      this.breaks('gang_split', `${job.id} was done with ${there.length} of ${job.tasks} tasks`);
    this.doneTasks.set(job.id, new Set(Array.from({ length: job.tasks }, (_, task) => task)));
    this.complete(job.id, job.tasks);
  }

  isTaskDone(job: JobId, task: number): boolean {
    return this.doneTasks.get(job)?.has(task) === true;
  }

  private checkCancelled(job: JobId): void {
    const told = this.toldCancelled.get(job);
    if (told === undefined || this.now() <= told + this.cancelMs) return;
    for (const o of this.onByJob.of(job)) this.breaks('ran_cancelled', `${job}/${o.task} on ${o.machine}`);
  }

  /** Called once in a while: tasks that stay on a machine break rules without anything happening. */
  sweep(): void {
    for (const job of this.toldCancelled.keys()) this.checkCancelled(job);
    this.countReplicas();
  }

  jobSubmitted(spec: JobSpec): void {
    this.submitted.set(spec.id, spec);
    const life = { submittedMs: this.now(), startedMs: null, endedMs: null, cancelMs: null };
    if (!this.lives.has(spec.id)) this.lives.set(spec.id, life);
  }

  cancellationRequested(id: JobId): void {
    this.askedCancel.add(id);
    const life = this.lives.get(id);
    if (life !== undefined) life.cancelMs ??= this.now();
  }

  private countReplicas(): void {
    const now = this.now();
    const passedS = (now - this.sweptAt) / 1000;
    this.sweptAt = now;
    for (const [id, life] of this.lives) {
      const spec = this.submitted.get(id);
      if (spec?.kind !== 'service' || life.cancelMs !== null) continue;
      if (now - life.submittedMs < REPLICA_GRACE_S * 1000) continue;
      for (const who of whoOf(spec)) {
        const sum = this.replicas.get(who) ?? { wantedS: 0, ranS: 0 };
        this.replicas.set(who, sum);
        sum.wantedS += maxRunnableReplicas(spec) * passedS;
        sum.ranS += Math.min(maxRunnableReplicas(spec), this.runningTasksOf(id)) * passedS;
      }
    }
  }

  /** What every class and team asked for and got until now, by the definition of `served`. */
  demandByGroup(): Map<string, ServiceLevelCounts> {
    const all = new Map<string, ServiceLevelCounts>();
    const largest = this.largest();
    for (const [id, life] of this.lives) {
      const spec = this.submitted.get(id);
      if (spec === undefined) continue;
      const untilMs = life.endedMs ?? life.cancelMs ?? this.now();
      const counted = {
        spec,
        ageS: (untilMs - life.submittedMs) / 1000,
        startedS: life.startedMs === null ? null : (life.startedMs - life.submittedMs) / 1000,
        isEnded: life.endedMs !== null,
        isCancelled: life.cancelMs !== null,
      };
      for (const who of whoOf(spec)) {
        const asked = all.get(who) ?? { ...emptyServiceLevelCounts(), ...this.replicas.get(who) };
        all.set(who, asked);
        countJob(asked, counted);
      }
      if (jobSize(spec) < (largest.get(spec.class) ?? Infinity)) continue;
      const who = `class ${spec.class}, largest`;
      const asked = all.get(who) ?? emptyServiceLevelCounts();
      all.set(who, asked);
      countLargestJob(asked, counted);
    }
    return all;
  }

  /** From which size on a job is among the largest of its class. */
  private largest(): Map<string, number> {
    const sizes = new Map<string, number[]>();
    for (const spec of this.submitted.values())
      sizes.set(spec.class, [...(sizes.get(spec.class) ?? []), jobSize(spec)]);
    return new Map([...sizes].map(([name, of]) => [name, largestJobThreshold(of)]));
  }

  /** Classes and teams of which less than half was served, as a broken rule is named. */
  underservedGroups(): string[] {
    return [...this.demandByGroup()].flatMap(([who, asked]) =>
      missedServiceLevels(asked).map((s) => `${who}: ${s.indicator} ${s.share.toFixed(2)}`),
    );
  }

  isAccepted(id: JobId): boolean {
    return this.accepted.has(id);
  }

  /** Whether the job's last task completed. */
  isCompleted(id: JobId): boolean {
    return this.lives.get(id)?.endedMs !== null;
  }

  isReportedDone(id: JobId): boolean {
    return this.toldDone.has(id);
  }

  isCancellationRequested(id: JobId): boolean {
    return this.askedCancel.has(id);
  }

  /** Tasks of the job that are on machines now. */
  runningTasksOf(id: JobId): number {
    return this.onByJob.count(id);
  }

  /** A job waits for so long though it could run. */
  jobStarved(id: JobId, forMs: number): void {
    this.breaks('left_waiting', `${id} for ${forMs} ms`);
  }

  /** Tasks of the kind that are on machines now. */
  runningTasksOfKind(kind: JobSpec['kind']): number {
    let count = 0;
    for (const o of this.onByJob.all()) if (o.job.kind === kind) count += 1;
    return count;
  }

  /** When users were told something new of a job, in order. */
  statusChangesOf(id: string): readonly number[] {
    return this.news.get(id) ?? [];
  }

  private isNews(id: JobId): void {
    this.news.set(id, [...this.statusChangesOf(id), this.now()]);
  }

  /** An accepted job whose every poll fails for long is forgotten, too, while most others get answers. */
  private countAnswer(id: JobId, call: string, isGiven: boolean): void {
    const { given, refused } = this.answers;
    this.answers = isGiven ? { given: given + 1, refused } : { given, refused: refused + 1 };
    const since = this.failing.get(id)?.sinceMs ?? this.now();
    if (isGiven) this.failing.delete(id);
    this.countSilence(id, this.now() - Math.max(since, this.faultsEndMs));
    if (isGiven || call !== 'poll') return;
    const f = this.failing.get(id) ?? { sinceMs: this.now(), before: this.answers };
    this.failing.set(id, f);
    const others = this.answers.given - f.before.given;
    if (this.now() - f.sinceMs > FORGOTTEN_MS && others > this.answers.refused - f.before.refused)
      this.breaks('forgotten', `${id} got no answer for ${this.now() - f.sinceMs} ms`);
  }

  private countSilence(id: JobId, forMs: number): void {
    if (!(forMs > this.longestUnansweredMs)) return;
    this.longestUnansweredMs = forMs;
    if (forMs > FORGOTTEN_CALM_MS)
      this.breaks('forgotten', `${id} got no answer for ${forMs} ms after all troubles`);
  }

  /**
   * A user was answered. Where several of a user's requests were under way at once, `askedMs` is when this one was sent:
   * what was learned after that is no reason to expect it in the answer. Returns whether the user was told something new.
   */
  responseReceived(
    id: JobId,
    call: 'submit' | 'poll' | 'cancel',
    code: number,
    phase: JobPhase | null,
    askedMs = this.now(),
  ): boolean {
    if (this.accepted.has(id)) this.countAnswer(id, call, code < 500);
    const spec = this.submitted.get(id);
    if (spec === undefined) {
      if (code === 200) this.breaks('invented', id);
      return false;
    }
    const isKnown = (at: number | undefined): boolean => at !== undefined && at <= askedMs;
    if (isKnown(this.accepted.get(id)) && (code === 404 || code === 400 || code === 422))
      this.breaks('forgotten', `${id} got ${code} on ${call}`);
    if (code !== 200 && code !== 201) return false;
    let isNew = false;
    const first = (told: Map<JobId, number>): void => {
      if (told.has(id)) return;
      told.set(id, this.now());
      isNew = true;
    };
    first(this.accepted);
    if (phase === 'done') {
      if (spec.kind === 'service' || (this.doneTasks.get(id)?.size ?? 0) < spec.tasks)
        this.breaks('not_done', id);
      // Both are final: whichever was asked for first, they can't both be true.
      if (this.toldCancelled.has(id)) this.breaks('went_back', `${id} was cancelled, now done`);
      first(this.toldDone);
    } else if (isKnown(this.toldDone.get(id)) || (phase === 'cancelled' && this.toldDone.has(id)))
      this.breaks('went_back', `${id} was done, now ${String(phase)}`);
    if (phase === 'cancelled') {
      if (!this.askedCancel.has(id)) this.breaks('went_back', `${id} was not cancelled by its user`);
      first(this.toldCancelled);
    } else if (phase !== 'done' && isKnown(this.toldCancelled.get(id)))
      this.breaks('went_back', `${id} was cancelled, now ${String(phase)}`);
    if (isNew) this.isNews(id);
    return isNew;
  }

  /** The answer to a submission that can never run, or that lacks what it must have. */
  invalidSubmissionAnswered(id: JobId, what: string, code: number): void {
    if (code === 200 || code === 201) this.breaks('accepted_wrongly', `${id} with ${what}`);
  }
}
