import type { ServiceLevelCounts, Job } from '@spurbridge/model';
import {
  REPLICA_GRACE_S,
  countJob,
  countLargestJob,
  largestJobThreshold,
  emptyServiceLevelCounts,
  maxRunnableReplicas,
  serviceLevels,
  jobSize,
} from '@spurbridge/model';
import { addMs } from '@spurbridge/net';
import type { ClusterState } from './cluster-state.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

const SAMPLE_MS = 5000;
const SAY_MS = 60_000;
/** Sizes of so many of a class's last jobs tell which are its largest. */
const SIZES_KEPT = 400;

interface ClassSizes {
  readonly sizes: number[];
  largestFrom: number;
}

/** Says once a minute how much of every class and team is served: nobody is to be left under half unseen. */
export class ServiceLevelTracker {
  /** What is over: jobs that ended or were cancelled under this leader, and replica time. */
  private readonly past = new Map<string, ServiceLevelCounts>();
  private readonly classes = new Map<string, ClassSizes>();
  /** Heard running for the first time by this leader, these counted as begun only then, minutes late. */
  private readonly begunBefore = new WeakSet<Job>();
  /** A cancelled job ends twice: for its user, and once nothing of it runs any more. */
  private readonly counted = new WeakSet<Job>();

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
  ) {
    cluster.on('ended', (job) => {
      if (job.state === 'active' || this.counted.has(job)) return;
      this.counted.add(job);
      this.count(job, job.state === 'closing', (name) => this.of(name));
    });
    cluster.on('learned', ({ spec }) => {
      const c = this.classOf(spec.class);
      c.sizes.push(jobSize(spec));
      if (c.sizes.length > SIZES_KEPT) c.sizes.shift();
    });
  }

  private classOf(name: string): ClassSizes {
    let c = this.classes.get(name);
    if (c === undefined) {
      c = { sizes: [], largestFrom: Infinity };
      this.classes.set(name, c);
    }
    return c;
  }

  private of(name: string): ServiceLevelCounts {
    let asked = this.past.get(name);
    if (asked === undefined) {
      asked = emptyServiceLevelCounts();
      this.past.set(name, asked);
    }
    return asked;
  }

  private count(job: Job, isEnded: boolean, of: (name: string) => ServiceLevelCounts): void {
    const { spec, submittedAt } = job;
    const hasBegun = isEnded || job.placements.size > 0 || job.doneCount > 0;
    const counted = {
      spec,
      ageS: (this.term.context.clock.now() - submittedAt) / 1000,
      startedS: this.startedS(job, hasBegun),
      isEnded,
      isCancelled: job.state === 'cancelled',
    };
    for (const name of namesOf(job)) countJob(of(name), counted);
    if (jobSize(spec) >= this.classOf(spec.class).largestFrom)
      countLargestJob(of(`class ${spec.class}, largest`), counted);
  }

  /** A job's age at its first start, in seconds; of one that began before this leader, when it did is not known. */
  private startedS(job: Job, hasBegun: boolean): number | null {
    if (this.begunBefore.has(job)) return 0;
    if (job.firstStartedAt === null) return hasBegun ? 0 : null;
    return (job.firstStartedAt - job.submittedAt) / 1000;
  }

  /** The records are read: what runs, or is done in part, began under an earlier leader. */
  markRestoredJobs(): void {
    for (const job of this.cluster.jobs.values())
      if (job.placements.size > 0 || job.doneCount > 0) this.begunBefore.add(job);
  }

  async run(): Promise<void> {
    const { clock, log } = this.term.context;
    this.markRestoredJobs();
    let sayAt = addMs(clock.now(), SAY_MS);
    while (this.term.isActive) {
      await clock.sleep(SAMPLE_MS);
      if (!this.term.isActive) return;
      this.sample();
      if (clock.now() < sayAt) continue;
      sayAt = addMs(clock.now(), SAY_MS);
      for (const [who, asked] of this.current()) {
        const shares = serviceLevels(asked).map((s) => [s.indicator, Number(s.share.toFixed(3))] as const);
        log.info({ who, ...Object.fromEntries(shares) }, 'served');
      }
    }
  }

  /** What is over, and the open jobs as they are. */
  current(): Map<string, ServiceLevelCounts> {
    const all = new Map([...this.past].map(([name, asked]) => [name, { ...asked }]));
    for (const job of this.cluster.jobs.values()) {
      if (job.state !== 'active') continue;
      this.count(job, false, (name) => {
        const asked = all.get(name) ?? emptyServiceLevelCounts();
        all.set(name, asked);
        return asked;
      });
    }
    return all;
  }

  private sample(): void {
    const now = this.term.context.clock.now();
    for (const c of this.classes.values()) c.largestFrom = largestJobThreshold(c.sizes);
    for (const job of this.cluster.jobs.values()) {
      const { spec } = job;
      if (job.state !== 'active' || spec.kind !== 'service') continue;
      if (now - job.submittedAt < REPLICA_GRACE_S * 1000) continue;
      let running = 0;
      for (const p of job.placements.values()) if (p.state === 'running') running += 1;
      for (const name of namesOf(job)) {
        const asked = this.of(name);
        asked.wantedS += (maxRunnableReplicas(spec) * SAMPLE_MS) / 1000;
        asked.ranS += (running * SAMPLE_MS) / 1000;
      }
    }
  }
}

function namesOf(job: Job): string[] {
  return [`class ${job.spec.class}`, `team ${job.spec.team}`];
}
