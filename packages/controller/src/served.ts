import type { Job } from '@spurbridge/model';
import { later } from '@spurbridge/net';
import type { Cluster } from './cluster.js';
import type { Tenure } from './tenure.js';

const SAMPLE_MS = 5000;
const SAY_MS = 60_000;

interface Share {
  /** Replicas asked for and running, summed over the samples. */
  wanted: number;
  running: number;
  /** Arrays and gangs that ended since this node leads, and that are open. */
  done: number;
  open: number;
  /** Age of the oldest open one that has not started, in seconds. */
  oldestS: number;
}

/** Says once a minute how much of every class and team is served: nobody is to be left under half unseen. */
export class Served {
  private readonly shares = new Map<string, Share>();

  constructor(
    private readonly tenure: Tenure,
    private readonly cluster: Cluster,
  ) {
    cluster.on('ended', (job) => {
      if (job.state === 'closing') for (const s of this.of(job)) s.done += 1;
    });
  }

  private of(job: Job): Share[] {
    return [`class ${job.spec.class}`, `team ${job.spec.team}`].map((name) => {
      const share = this.shares.get(name) ?? { wanted: 0, running: 0, done: 0, open: 0, oldestS: 0 };
      this.shares.set(name, share);
      return share;
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
      for (const [who, s] of this.shares)
        log.info(
          {
            who,
            replicas: s.wanted === 0 ? null : Number((s.running / s.wanted).toFixed(3)),
            done: s.done,
            open: s.open,
            oldestS: Math.round(s.oldestS),
          },
          'served',
        );
    }
  }

  private sample(): void {
    const now = this.tenure.c.clock.now();
    for (const s of this.shares.values()) {
      s.open = 0;
      s.oldestS = 0;
    }
    for (const job of this.cluster.jobs.values()) {
      if (job.state !== 'active') continue;
      const service = job.spec.kind === 'service';
      let running = 0;
      if (service) for (const p of job.placements.values()) if (p.state === 'running') running += 1;
      for (const s of this.of(job)) {
        if (service) {
          s.wanted += job.spec.tasks;
          s.running += running;
          continue;
        }
        s.open += 1;
        if (job.firstStartAt === null && job.placements.size === 0)
          s.oldestS = Math.max(s.oldestS, (now - job.submittedAt) / 1000);
      }
    }
  }
}
