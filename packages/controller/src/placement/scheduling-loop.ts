/**
 * The loop that runs scheduling passes.
 *
 * @module
 */
import type { Job, Team } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import type { SchedulingPlan, UnplacedDemand } from '@spurbridge/planner';
import { JobPlanningError, planTasks } from '@spurbridge/planner';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { Settings } from '../settings.js';
import { WakeSignal } from '../wake-signal.js';
import { PlanExecutor } from './plan-executor.js';
import { cancelUnsentBeyondQuota } from './quota-enforcement.js';
import type { ResourceUsage } from './resource-usage.js';
import type { RuntimeEstimator } from './runtime-estimator.js';
import { buildSchedulingSnapshot } from './scheduling-snapshot.js';
import type { PlanningBackoff } from './planning-backoff.js';

/** Maximum interval between two passes, even if nothing has changed. */
const MAX_INTERVAL_MS = 1000;
/** Limits of the pause after a pass. */
const MIN_PAUSE_MS = 40;
const MAX_PAUSE_MS = 1000;
/** Ratio of the pause to the duration of the pass, which leaves processor time to other work. */
const PAUSE_FACTOR = 4;
/**
 * Pause factor, and minimum pause per machine, while the workers of the previous leader reconnect. Their heartbeats
 * take precedence, and a plan for the few connected machines would soon be outdated.
 */
const RECONNECTION_PAUSE_FACTOR = 10;
const RECONNECTION_PAUSE_PER_MACHINE_MS = 1.5;
/** On how many jobs the plan may fail within one pass; the next pass continues. */
const MAX_FAILURES_PER_PASS = 16;

/** The queries and notifications by which the scheduling loop uses the leader's other components. */
export interface SchedulingLoopDependencies {
  /** Whether tasks of the job may be placed now. */
  isSchedulable(job: Job): boolean;
  /** Whether tasks may be placed at all, because the tasks on the machines are known well enough. */
  mayPlaceTasks(): boolean;
  /** The part of a team's quota that unconfirmed machines may use in addition to the records. */
  unconfirmedUsage(team: string): Readonly<ResourceUsage>;
  /** Whether workers of the previous leader are reconnecting to this one. */
  isReconnectionWave(): boolean;
  /** Called after each pass with the demand that no machine can accept now. */
  onUnplacedDemand(unplaced: readonly UnplacedDemand[]): void;
}

/** Runs a scheduling pass after every change. */
export class SchedulingLoop {
  private readonly signal = new WakeSignal();
  private readonly executor: PlanExecutor;

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    private readonly estimator: RuntimeEstimator,
    private readonly planningBackoff: PlanningBackoff,
    private readonly dependencies: SchedulingLoopDependencies,
  ) {
    this.executor = new PlanExecutor(term, cluster, planningBackoff);
    cluster.on('replanNeeded', () => {
      this.requestPass();
    });
  }

  /** Requests a pass, which runs after the pause that follows the previous one. */
  requestPass(): void {
    this.signal.notify();
  }

  /** Runs passes until the leader's term ends. */
  async run(): Promise<void> {
    const { clock, leadership, machineTypes } = this.term.context;
    while (this.term.isActive) {
      await this.signal.wait(clock, MAX_INTERVAL_MS);
      if (!this.term.isActive) return;
      const startedAt = clock.now();
      const canPlan = leadership.holdsValidLease() && machineTypes().length > 0;
      if (canPlan && this.dependencies.mayPlaceTasks()) this.runPass();
      await clock.sleep(this.pauseAfter(clock.now() - startedAt));
    }
  }

  /**
   * Heartbeats, lease renewals and users take precedence over planning; when changes are frequent, one pass handles
   * many of them.
   */
  private pauseAfter(passMs: number): number {
    if (!this.dependencies.isReconnectionWave())
      return Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, passMs * PAUSE_FACTOR));
    const forMachinesMs = this.cluster.machines.size * RECONNECTION_PAUSE_PER_MACHINE_MS;
    return Math.max(Math.min(MAX_PAUSE_MS, forMachinesMs), passMs * RECONNECTION_PAUSE_FACTOR);
  }

  private runPass(): void {
    const { clock, configuration, onPlanned } = this.term.context;
    const now = clock.now();
    // The whole pass uses one version of the configuration, even if a newer one is read meanwhile.
    const { version, teams, objectives } = configuration();
    cancelUnsentBeyondQuota(this.cluster, teams, now);
    const settings = { ...this.term.context.settings, teams, objectives };
    const plan = this.planWithoutFailingJobs(settings, now);
    if (plan === null) return;
    this.executor.execute(plan, now);
    this.dependencies.onUnplacedDemand(plan.unplacedDemand);
    onPlanned(version);
  }

  /** The plan of all jobs on which it does not fail; null if it still fails without some of them. */
  private planWithoutFailingJobs(settings: Settings, now: MonotonicMs): SchedulingPlan | null {
    for (let attempt = 0; attempt < MAX_FAILURES_PER_PASS; attempt += 1)
      try {
        return this.plan(settings, now);
      } catch (error) {
        if (!(error instanceof JobPlanningError)) throw error;
        this.planningBackoff.recordFailure(error.job, error.message);
      }
    this.requestPass();
    return null;
  }

  private plan(settings: Settings, now: MonotonicMs): SchedulingPlan {
    const isSchedulable = (job: Job): boolean =>
      !this.planningBackoff.isBackingOff(job.spec.id) && this.dependencies.isSchedulable(job);
    const snapshot = buildSchedulingSnapshot(this.cluster, this.estimator, settings, now, isSchedulable);
    return planTasks({
      ...snapshot,
      teams: snapshot.teams.map((team) => this.withoutUnconfirmedUsage(team)),
    });
  }

  private withoutUnconfirmedUsage(team: Team): Team {
    const unconfirmed = this.dependencies.unconfirmedUsage(team.name);
    return {
      ...team,
      cpusMax: remainingLimit(team.cpusMax, unconfirmed.cpus),
      gpusMax: remainingLimit(team.gpusMax, unconfirmed.gpus),
    };
  }
}

/** The limit minus the usage, at least 0; an infinite limit stays infinite. */
function remainingLimit(limit: number, usage: number): number {
  return limit === Infinity ? limit : Math.max(0, limit - usage);
}
