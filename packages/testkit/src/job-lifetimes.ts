/**
 * Submission, start and end times of jobs, and what each class and team requested and received.
 *
 * @module
 */
import type { ServiceLevelCounts } from '@spurbridge/model';
import {
  REPLICA_GRACE_S,
  countJob,
  countLargestJob,
  emptyServiceLevelCounts,
  jobSize,
  largestJobThreshold,
  maxRunnableReplicas,
  missedServiceLevels,
} from '@spurbridge/model';
import type { JobId, JobSpec } from '@spurbridge/wire';

interface JobLifetime {
  readonly submittedMs: number;
  startedMs: number | null;
  endedMs: number | null;
  cancellationMs: number | null;
}

interface ReplicaTime {
  wantedS: number;
  ranS: number;
}

/** Times of every submitted job. */
export class JobLifetimes {
  readonly submitted = new Map<JobId, JobSpec>();
  private readonly lifetimes = new Map<JobId, JobLifetime>();
  private readonly replicaTimes = new Map<string, ReplicaTime>();
  private countedUntilMs = 0;

  constructor(
    private readonly now: () => number,
    /** The number of the job's tasks that are on machines. */
    private readonly runningTasksOf: (id: JobId) => number,
  ) {}

  /** Records a submission; a repeated one only changes the description. */
  recordSubmission(spec: JobSpec): void {
    this.submitted.set(spec.id, spec);
    const lifetime = { submittedMs: this.now(), startedMs: null, endedMs: null, cancellationMs: null };
    if (!this.lifetimes.has(spec.id)) this.lifetimes.set(spec.id, lifetime);
  }

  recordStart(id: JobId): void {
    const lifetime = this.lifetimes.get(id);
    if (lifetime !== undefined) lifetime.startedMs ??= this.now();
  }

  recordCancellationRequest(id: JobId): void {
    const lifetime = this.lifetimes.get(id);
    if (lifetime !== undefined) lifetime.cancellationMs ??= this.now();
  }

  /** Ends the job now if all of its tasks are done; returns its description if it had not ended before. */
  recordCompletion(id: JobId, doneTasks: number): JobSpec | null {
    const lifetime = this.lifetimes.get(id);
    const spec = this.submitted.get(id);
    if (lifetime === undefined || doneTasks !== spec?.tasks || lifetime.endedMs !== null) return null;
    lifetime.endedMs = this.now();
    return spec;
  }

  /** Whether the job's last task completed; also true for a job that was not submitted. */
  isCompleted(id: JobId): boolean {
    return this.lifetimes.get(id)?.endedMs !== null;
  }

  /** Adds the replica seconds that services requested and received since the last call. */
  countReplicaTime(): void {
    const now = this.now();
    const elapsedS = (now - this.countedUntilMs) / 1000;
    this.countedUntilMs = now;
    for (const [id, lifetime] of this.lifetimes) {
      const spec = this.submitted.get(id);
      if (spec?.kind !== 'service' || lifetime.cancellationMs !== null) continue;
      if (now - lifetime.submittedMs < REPLICA_GRACE_S * 1000) continue;
      for (const group of groupsOf(spec)) {
        const sum = this.replicaTimes.get(group) ?? { wantedS: 0, ranS: 0 };
        this.replicaTimes.set(group, sum);
        sum.wantedS += maxRunnableReplicas(spec) * elapsedS;
        sum.ranS += Math.min(maxRunnableReplicas(spec), this.runningTasksOf(id)) * elapsedS;
      }
    }
  }

  /** What every class and team requested and received until now. */
  demandByGroup(): Map<string, ServiceLevelCounts> {
    const groups = new Map<string, ServiceLevelCounts>();
    const thresholds = this.largestJobThresholds();
    for (const [id, lifetime] of this.lifetimes) {
      const spec = this.submitted.get(id);
      if (spec === undefined) continue;
      const outcome = this.outcomeOf(spec, lifetime);
      for (const group of groupsOf(spec)) {
        const counts = groups.get(group) ?? { ...emptyServiceLevelCounts(), ...this.replicaTimes.get(group) };
        groups.set(group, counts);
        countJob(counts, outcome);
      }
      if (jobSize(spec) < (thresholds.get(spec.class) ?? Infinity)) continue;
      const group = `class ${spec.class}, largest`;
      const counts = groups.get(group) ?? emptyServiceLevelCounts();
      groups.set(group, counts);
      countLargestJob(counts, outcome);
    }
    return groups;
  }

  /** Classes and teams of which less than half was served, each with the indicator and the share. */
  underservedGroups(): string[] {
    return [...this.demandByGroup()].flatMap(([group, counts]) =>
      missedServiceLevels(counts).map((level) => `${group}: ${level.indicator} ${level.share.toFixed(2)}`),
    );
  }

  private outcomeOf(spec: JobSpec, lifetime: JobLifetime) {
    const { submittedMs, startedMs, endedMs, cancellationMs } = lifetime;
    const untilMs = endedMs ?? cancellationMs ?? this.now();
    return {
      spec,
      ageS: (untilMs - submittedMs) / 1000,
      startedS: startedMs === null ? null : (startedMs - submittedMs) / 1000,
      isEnded: endedMs !== null,
      isCancelled: cancellationMs !== null,
    };
  }

  /** The minimum size of the largest jobs of a class. */
  private largestJobThresholds(): Map<string, number> {
    const sizes = new Map<string, number[]>();
    for (const spec of this.submitted.values())
      sizes.set(spec.class, [...(sizes.get(spec.class) ?? []), jobSize(spec)]);
    return new Map([...sizes].map(([name, ofClass]) => [name, largestJobThreshold(ofClass)]));
  }
}

function groupsOf(spec: JobSpec): string[] {
  return [`class ${spec.class}`, `team ${spec.team}`];
}
