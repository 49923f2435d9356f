import type { Job } from '@spurbridge/model';
import type { Unmet } from '@spurbridge/planner';
import { plan } from '@spurbridge/planner';
import type { Attempt, JobId } from '@spurbridge/wire';
import { formatTaskName } from '@spurbridge/wire';
import type { Cluster } from './cluster.js';
import type { Estimates } from './estimates.js';
import { giveUpBeyondLimits } from './limits.js';
import { Signal } from './signal.js';
import type { LeaderTerm } from './leader-term.js';
import { snapshotOf } from './view.js';

const PLAN_GAP_MS = 40;
const MOST_PLAN_GAP_MS = 1000;
/** After a plan, this many times as long as it took is left to everything else. */
const PLAN_REST = 4;
/**
 * The same while the workers of an earlier leader still come in, and no less than this for each machine:
 * answers go first, and a plan for the few heard so far is soon made again.
 */
const WAVE_PLAN_REST = 10;
const WAVE_PLAN_MS = 1.5;

/** Re-plans on every change and carries the plan out: the only place where tasks are placed. */
export class Planning {
  private readonly signal = new Signal();

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: Cluster,
    private readonly estimates: Estimates,
    private readonly parts: {
      /** Whether the job takes part in the order now. */
      readonly hasJoined: (job: Job) => boolean;
      /** Whether what is on the machines is known. */
      readonly isSettled: () => boolean;
      /** What machines that are still to be heard may use of a team's limit. */
      readonly unknownUse: (team: string) => { readonly cpus: number; readonly gpus: number };
      /** Whether workers of an earlier leader are still finding this one. */
      readonly isComingIn: () => boolean;
      /** What found no room. */
      readonly planned: (unmet: readonly Unmet[]) => void;
    },
  ) {
    cluster.on('plan', () => {
      this.request();
    });
  }

  request(): void {
    this.signal.raise();
  }

  async run(): Promise<void> {
    const { clock, leadership, types } = this.term.c;
    while (this.term.active) {
      await this.signal.wait(clock, 1000);
      if (!this.term.active) return;
      const began = clock.now();
      if (leadership.holdsSurely() && types().length > 0 && this.parts.isSettled()) this.planOnce();
      // Planning gives way to reports, renewals and users: when events are dense, one plan serves many.
      const tookMs = clock.now() - began;
      await clock.sleep(
        this.parts.isComingIn()
          ? Math.max(
              Math.min(MOST_PLAN_GAP_MS, this.cluster.machines.size * WAVE_PLAN_MS),
              tookMs * WAVE_PLAN_REST,
            )
          : Math.min(MOST_PLAN_GAP_MS, Math.max(PLAN_GAP_MS, tookMs * PLAN_REST)),
      );
    }
  }

  private planOnce(): void {
    const { clock, log, configuration, planned } = this.term.c;
    const now = clock.now();
    // One whole version for the whole plan, whatever becomes known while it is made.
    const { version, teams: configured, objectives } = configuration();
    giveUpBeyondLimits(this.cluster, configured, now);
    const settings = { ...this.term.c.settings, teams: configured, objectives };
    const seen = snapshotOf(this.cluster, this.estimates, settings, now, this.parts.hasJoined);
    const teams = seen.teams.map((t) => {
      const unknown = this.parts.unknownUse(t.name);
      return {
        ...t,
        cpusMax: less(t.cpusMax, unknown.cpus),
        gpusMax: less(t.gpusMax, unknown.gpus),
      };
    });
    const result = plan({ ...seen, teams });
    const gangs = new Map<JobId, Attempt>();
    for (const s of [...result.starts, ...result.heads]) {
      const job = this.cluster.jobs.get(s.job);
      const machine = this.cluster.machines.get(s.machine);
      if (job === undefined || machine?.session === null || machine === undefined) continue;
      let shared: Attempt | null = null;
      if (job.spec.kind === 'gang') {
        shared = gangs.get(s.job) ?? job.gangAttempt();
        gangs.set(s.job, shared);
      }
      const p = this.cluster.place(job, s.task, s.machine, machine.session, shared);
      log.debug({ task: formatTaskName(s.job, s.task), try: p.attempt, machine: s.machine }, 'task placed');
    }
    for (const s of result.stops) {
      const job = this.cluster.jobs.get(s.job);
      const p = job?.placements.get(s.task);
      if (job === undefined || p === undefined || p.stop !== null) continue;
      job.askStop(s.task, job.spec.checkpointS > 0 ? job.spec.saveS + 1 : 0, 'preempted', now);
      log.info(
        { task: formatTaskName(s.job, s.task), machine: p.machine, inFavourOf: s.inFavourOf },
        'task preempted',
      );
      this.cluster.emit('due', p.machine);
    }
    this.parts.planned(result.unmet);
    planned(version);
  }
}

/** A limit less what may be used of it unseen; what has no limit keeps none. */
function less(limit: number, unseen: number): number {
  return limit === Infinity ? limit : Math.max(0, limit - unseen);
}
