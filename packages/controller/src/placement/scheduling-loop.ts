import type { Job } from '@spurbridge/model';
import type { UnplacedDemand } from '@spurbridge/planner';
import { planTasks } from '@spurbridge/planner';
import type { Attempt, JobId } from '@spurbridge/wire';
import { formatTaskName } from '@spurbridge/wire';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { RuntimeEstimator } from './runtime-estimator.js';
import { cancelUnsentBeyondQuota } from './quota-enforcement.js';
import { WakeSignal } from '../wake-signal.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import { buildSchedulingSnapshot } from './scheduling-snapshot.js';

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
export class SchedulingLoop {
  private readonly signal = new WakeSignal();

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    private readonly estimates: RuntimeEstimator,
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
      readonly planned: (unmet: readonly UnplacedDemand[]) => void;
    },
  ) {
    cluster.on('plan', () => {
      this.requestPass();
    });
  }

  requestPass(): void {
    this.signal.notify();
  }

  async run(): Promise<void> {
    const { clock, leadership, machineTypes: types } = this.term.context;
    while (this.term.isActive) {
      await this.signal.wait(clock, 1000);
      if (!this.term.isActive) return;
      const began = clock.now();
      if (leadership.holdsValidLease() && types().length > 0 && this.parts.isSettled()) this.planOnce();
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
    const { clock, log, configuration, onPlanned: planned } = this.term.context;
    const now = clock.now();
    // One whole version for the whole plan, whatever becomes known while it is made.
    const { version, teams: configured, objectives } = configuration();
    cancelUnsentBeyondQuota(this.cluster, configured, now);
    const settings = { ...this.term.context.settings, teams: configured, objectives };
    const seen = buildSchedulingSnapshot(this.cluster, this.estimates, settings, now, this.parts.hasJoined);
    const teams = seen.teams.map((t) => {
      const unknown = this.parts.unknownUse(t.name);
      return {
        ...t,
        cpusMax: less(t.cpusMax, unknown.cpus),
        gpusMax: less(t.gpusMax, unknown.gpus),
      };
    });
    const result = planTasks({ ...seen, teams });
    const gangs = new Map<JobId, Attempt>();
    for (const s of [...result.starts, ...result.queuedStarts]) {
      const job = this.cluster.jobs.get(s.job);
      const machine = this.cluster.machines.get(s.machine);
      if (job === undefined || machine?.agentEpoch === null || machine === undefined) continue;
      let shared: Attempt | null = null;
      if (job.spec.kind === 'gang') {
        shared = gangs.get(s.job) ?? job.gangAttempt();
        gangs.set(s.job, shared);
      }
      const p = this.cluster.placeTask(job, s.task, s.machine, machine.agentEpoch, shared);
      log.debug({ task: formatTaskName(s.job, s.task), try: p.attempt, machine: s.machine }, 'task placed');
    }
    for (const s of result.preemptions) {
      const job = this.cluster.jobs.get(s.job);
      const p = job?.placements.get(s.task);
      if (job === undefined || p === undefined || p.stopRequest !== null) continue;
      job.requestStop(s.task, job.spec.checkpointS > 0 ? job.spec.saveS + 1 : 0, 'preempted', now);
      log.info(
        { task: formatTaskName(s.job, s.task), machine: p.machine, inFavourOf: s.preemptor },
        'task preempted',
      );
      this.cluster.emit('due', p.machine);
    }
    this.parts.planned(result.unplacedDemand);
    planned(version);
  }
}

/** A limit less what may be used of it unseen; what has no limit keeps none. */
function less(limit: number, unseen: number): number {
  return limit === Infinity ? limit : Math.max(0, limit - unseen);
}
