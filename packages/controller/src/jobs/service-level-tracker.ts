/**
 * Measures the service levels of every class and team.
 *
 * @module
 */
import type { Job, ServiceLevelCounts } from '@spurbridge/model';
import {
  REPLICA_GRACE_S,
  countJob,
  countLargestJob,
  emptyServiceLevelCounts,
  jobSize,
  largestJobThreshold,
  maxRunnableReplicas,
  serviceLevels,
} from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { ClusterState } from './cluster-state.js';

const SAMPLE_INTERVAL_MS = 5000;
const LOG_INTERVAL_MS = 60_000;
/** Number of a class's most recent jobs whose sizes determine which of its jobs count as the largest. */
const MAX_JOB_SIZES = 400;

/** Sizes of a class's most recent jobs, and the size from which a job counts as one of the largest. */
interface ClassSizes {
  readonly sizes: number[];
  largestThreshold: number;
}

/** The counts of a class or team by its name, created if there are none. */
type CountsByName = (name: string) => ServiceLevelCounts;

/** Logs the service levels once a minute, so that a class or team that is served poorly gets noticed. */
export class ServiceLevelTracker {
  /** Counts of the jobs that ended or were cancelled in this term, and of replica time. */
  private readonly endedCounts = new Map<string, ServiceLevelCounts>();
  private readonly sizesByClass = new Map<string, ClassSizes>();
  /**
   * Jobs that had begun before this term. This leader may learn only minutes later that they run, which must not count
   * as their start.
   */
  private readonly restoredJobs = new WeakSet<Job>();
  /**
   * Ended jobs that are counted. A cancelled job emits two end events: on its cancellation, and when its last task is
   * off its machine.
   */
  private readonly countedJobs = new WeakSet<Job>();

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
  ) {
    cluster.on('jobEnded', (job) => {
      if (job.state === 'active' || this.countedJobs.has(job)) return;
      this.countedJobs.add(job);
      this.count(job, job.state === 'closing', (name) => countsIn(this.endedCounts, name));
    });
    cluster.on('jobAdded', ({ spec }) => {
      const { sizes } = this.sizesOf(spec.class);
      sizes.push(jobSize(spec));
      if (sizes.length > MAX_JOB_SIZES) sizes.shift();
    });
  }

  /**
   * Marks the jobs that began under an earlier leader: those that have placed or completed tasks once the records are
   * read.
   */
  markRestoredJobs(): void {
    for (const job of this.cluster.jobs.values())
      if (job.placements.size > 0 || job.doneCount > 0) this.restoredJobs.add(job);
  }

  /** Samples and logs at regular intervals until the leader's term ends. */
  async run(): Promise<void> {
    const { clock } = this.term.context;
    this.markRestoredJobs();
    let nextLogAt = addMs(clock.now(), LOG_INTERVAL_MS);
    while (this.term.isActive) {
      await clock.sleep(SAMPLE_INTERVAL_MS);
      if (!this.term.isActive) return;
      this.sample();
      if (clock.now() < nextLogAt) continue;
      nextLogAt = addMs(clock.now(), LOG_INTERVAL_MS);
      this.log();
    }
  }

  /** The current counts by class and team, of ended and of active jobs. */
  current(): Map<string, ServiceLevelCounts> {
    const all = new Map([...this.endedCounts].map(([name, counts]) => [name, { ...counts }]));
    for (const job of this.cluster.jobs.values())
      if (job.state === 'active') this.count(job, false, (name) => countsIn(all, name));
    return all;
  }

  private log(): void {
    for (const [who, counts] of this.current()) {
      const shares = serviceLevels(counts).map(
        ({ indicator, share }) => [indicator, Number(share.toFixed(3))] as const,
      );
      this.term.context.log.info({ who, ...Object.fromEntries(shares) }, 'service levels');
    }
    this.term.context.log.info({ ...this.term.metrics }, 'scheduling counts');
  }

  private count(job: Job, isEnded: boolean, countsOf: CountsByName): void {
    const { spec, submittedAt } = job;
    const hasBegun = isEnded || job.placements.size > 0 || job.doneCount > 0;
    const outcome = {
      spec,
      ageS: secondsBetween(submittedAt, this.term.context.clock.now()),
      startedS: this.startAgeS(job, hasBegun),
      isEnded,
      isCancelled: job.state === 'cancelled',
    };
    for (const name of countedNames(job)) countJob(countsOf(name), outcome);
    if (jobSize(spec) >= this.sizesOf(spec.class).largestThreshold)
      countLargestJob(countsOf(`class ${spec.class}, largest`), outcome);
  }

  /**
   * A job's age at its first start, in seconds, or null when it has not begun. The age is not known for a job that
   * began before this term, and counts as 0.
   */
  private startAgeS(job: Job, hasBegun: boolean): number | null {
    if (this.restoredJobs.has(job)) return 0;
    if (job.firstStartedAt === null) return hasBegun ? 0 : null;
    return secondsBetween(job.submittedAt, job.firstStartedAt);
  }

  private sizesOf(jobClass: string): ClassSizes {
    let sizes = this.sizesByClass.get(jobClass);
    if (sizes === undefined) {
      sizes = { sizes: [], largestThreshold: Infinity };
      this.sizesByClass.set(jobClass, sizes);
    }
    return sizes;
  }

  private sample(): void {
    const now = this.term.context.clock.now();
    for (const sizes of this.sizesByClass.values()) sizes.largestThreshold = largestJobThreshold(sizes.sizes);
    for (const job of this.cluster.jobs.values()) {
      if (job.state !== 'active' || job.spec.kind !== 'service') continue;
      if (now - job.submittedAt >= REPLICA_GRACE_S * 1000) this.sampleReplicas(job);
    }
  }

  /** Adds the replica time since the last sample. */
  private sampleReplicas(job: Job): void {
    const running = [...job.placements.values()].filter(({ state }) => state === 'running').length;
    for (const name of countedNames(job)) {
      const counts = countsIn(this.endedCounts, name);
      counts.wantedS += (maxRunnableReplicas(job.spec) * SAMPLE_INTERVAL_MS) / 1000;
      counts.ranS += (running * SAMPLE_INTERVAL_MS) / 1000;
    }
  }
}

function countsIn(countsByName: Map<string, ServiceLevelCounts>, name: string): ServiceLevelCounts {
  let counts = countsByName.get(name);
  if (counts === undefined) {
    counts = emptyServiceLevelCounts();
    countsByName.set(name, counts);
  }
  return counts;
}

/** The names under which a job counts: those of its class and its team. */
function countedNames({ spec }: Job): string[] {
  return [`class ${spec.class}`, `team ${spec.team}`];
}

function secondsBetween(from: MonotonicMs, to: MonotonicMs): number {
  return (to - from) / 1000;
}
