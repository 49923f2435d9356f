import type { Asked, Job } from '@spurbridge/model';
import { REPLICAS_FROM_S, countJob, nothingAsked, runnable, served } from '@spurbridge/model';
import { later } from '@spurbridge/net';
import type { Cluster } from './cluster.js';
import type { Tenure } from './tenure.js';

const SAMPLE_MS = 5000;
const SAY_MS = 60_000;

/** Says once a minute how much of every class and team is served: nobody is to be left under half unseen. */
export class Served {
  /** What is over: jobs that ended or were cancelled under this leader, and replica time. */
  private readonly past = new Map<string, Asked>();
  /** A cancelled job ends twice: for its user, and once nothing of it runs any more. */
  private readonly counted = new WeakSet<Job>();

  constructor(
    private readonly tenure: Tenure,
    private readonly cluster: Cluster,
  ) {
    cluster.on('ended', (job) => {
      if (job.state === 'active' || this.counted.has(job)) return;
      this.counted.add(job);
      for (const name of namesOf(job)) this.count(this.of(name), job, job.state === 'closing');
    });
  }

  private of(name: string): Asked {
    let asked = this.past.get(name);
    if (asked === undefined) {
      asked = nothingAsked();
      this.past.set(name, asked);
    }
    return asked;
  }

  private count(asked: Asked, job: Job, isEnded: boolean): void {
    countJob(asked, {
      spec: job.spec,
      ageS: (this.tenure.c.clock.now() - job.submittedAt) / 1000,
      isStarted: isEnded || job.firstStartAt !== null || job.placements.size > 0 || job.doneCount > 0,
      isEnded,
      isCancelled: job.state === 'cancelled',
    });
  }

  async run(): Promise<void> {
    const { clock, log } = this.tenure.c;
    let sayAt = later(clock.now(), SAY_MS);
    while (this.tenure.active) {
      await clock.sleep(SAMPLE_MS);
      if (!this.tenure.active) return;
      this.sample();
      if (clock.now() < sayAt) continue;
      sayAt = later(clock.now(), SAY_MS);
      for (const [who, asked] of this.now()) {
        const shares = served(asked).map((s) => [s.reading, Number(s.share.toFixed(3))] as const);
        log.info({ who, ...Object.fromEntries(shares) }, 'served');
      }
    }
  }

  /** What is over, and the open jobs as they are. */
  now(): Map<string, Asked> {
    const all = new Map([...this.past].map(([name, asked]) => [name, { ...asked }]));
    for (const job of this.cluster.jobs.values()) {
      if (job.state !== 'active') continue;
      for (const name of namesOf(job)) {
        const asked = all.get(name) ?? nothingAsked();
        all.set(name, asked);
        this.count(asked, job, false);
      }
    }
    return all;
  }

  private sample(): void {
    const now = this.tenure.c.clock.now();
    for (const job of this.cluster.jobs.values()) {
      const { spec } = job;
      if (job.state !== 'active' || spec.kind !== 'service') continue;
      if (now - job.submittedAt < REPLICAS_FROM_S * 1000) continue;
      let running = 0;
      for (const p of job.placements.values()) if (p.state === 'running') running += 1;
      for (const name of namesOf(job)) {
        const asked = this.of(name);
        asked.wantedS += (runnable(spec) * SAMPLE_MS) / 1000;
        asked.ranS += (running * SAMPLE_MS) / 1000;
      }
    }
  }
}

function namesOf(job: Job): string[] {
  return [`class ${job.spec.class}`, `team ${job.spec.team}`];
}
