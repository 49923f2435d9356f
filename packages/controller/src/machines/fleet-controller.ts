/**
 * Sizes the fleet: scales it out for demand that no machine can accept, and in when machines are not needed.
 *
 * @module
 */
import type { Machine } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { FleetPlan, FleetPolicy, UnplacedDemand } from '@spurbridge/planner';
import { JobPlanningError, planFleet } from '@spurbridge/planner';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { ArrivalRate } from '../placement/arrival-rate.js';
import type { PlanningBackoff } from '../placement/planning-backoff.js';
import { failoverDiscoveryTimeoutMs, sustainableMachineCount } from '../settings.js';
import { WakeSignal } from '../wake-signal.js';
import { DemandHistory } from './demand-history.js';
import { buildFleetView } from './fleet-view.js';
import { MachineLister } from './machine-lister.js';
import { MachineProvisioner } from './machine-provisioner.js';
import { MachineReleaser } from './machine-releaser.js';
import { evictReplicas } from './replica-eviction.js';

/** Maximum interval between two plans, and the pause after each. */
const MAX_PLAN_INTERVAL_MS = 1000;
const PLAN_PAUSE_MS = 250;
/** Minimum interval between two searches for a machine to consolidate. */
const CONSOLIDATION_INTERVAL_MS = 1000;
/** One machine per this many in the fleet may be drained for consolidation concurrently, and at least one. */
const MACHINES_PER_CONSOLIDATION = 100;
/** Drain reason of machines whose tasks are consolidated on other machines. */
const CONSOLIDATION_REASON = 'consolidated';

/** How long an idle machine is kept, in seconds, if the service minimizes costs and if it keeps an initial fleet. */
const COST_AWARE_IDLE_S = 25;
const INITIAL_FLEET_IDLE_S = 600;
/**
 * The fleet is not scaled out for work that would start within this share of a machine's boot time. As above, the
 * first value applies if the service minimizes costs, the second one if it keeps an initial fleet.
 */
const COST_AWARE_QUEUE_BOOT_SHARE = 0.5;
const INITIAL_FLEET_QUEUE_BOOT_SHARE = 0.15;

/** After a worker has reconnected, others are assumed to be still reconnecting for this long. */
const RECONNECTION_WAVE_MS = 1000;

/** Plans the fleet, and lists, requests and releases machines during the leader's term. */
export class FleetController {
  private readonly signal = new WakeSignal();
  private readonly releaser: MachineReleaser;
  private readonly lister: MachineLister;
  private readonly provisioner: MachineProvisioner;
  private readonly demand: DemandHistory;
  private unplacedDemand: readonly UnplacedDemand[] = [];
  private nextConsolidationAt = 0 as MonotonicMs;
  /** Time of the latest first heartbeat of a machine that ran before this leader's term. */
  private lastReconnectionAt: MonotonicMs | null = null;

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    private readonly arrivals: ArrivalRate,
    private readonly planningBackoff: PlanningBackoff,
    /** Whether the tasks on the machines are known well enough to release idle machines. */
    private readonly mayScale: () => boolean,
  ) {
    this.releaser = new MachineReleaser(term, cluster);
    this.lister = new MachineLister(term, cluster, this.releaser);
    this.provisioner = new MachineProvisioner(term, cluster);
    this.demand = new DemandHistory(cluster, term.context.machineTypes);
    cluster.on('machineUp', (machine) => {
      machine.isProvisioned = cluster.isScaledOut(machine.id);
      if (cluster.taskCountOn(machine.id) > 0) this.lastReconnectionAt = term.context.clock.now();
    });
  }

  /** When the last list of machines was requested from the cloud; null before the first one. */
  get listedAt(): MonotonicMs | null {
    return this.lister.listedAt;
  }

  /** Sets the demand that the latest scheduling pass could not place. */
  setUnplacedDemand(unplaced: readonly UnplacedDemand[]): void {
    this.unplacedDemand = unplaced;
    this.demand.record(unplaced, this.term.context.clock.now());
    this.signal.notify();
  }

  /**
   * Whether workers of the previous leader are reconnecting to this one. Hundreds reconnect at once, and an overloaded
   * node processes the last of their heartbeats late, which is no evidence against the machines.
   */
  isReconnectionWave(now: MonotonicMs): boolean {
    return this.lastReconnectionAt !== null && now - this.lastReconnectionAt < RECONNECTION_WAVE_MS;
  }

  /** Queues the machine for release; urgent ones are released before all others. */
  releaseMachine(machine: Machine, reason: string, isUrgent = false): void {
    this.releaser.release(machine, reason, isUrgent);
  }

  /** Evicts replicas of services from draining machines, a few at a time. */
  evictReplicas(draining: readonly Machine[], now: MonotonicMs): void {
    evictReplicas(this.cluster, draining, now);
  }

  /** Runs until the leader's term ends. */
  async run(): Promise<void> {
    await Promise.all([this.lister.run(), this.runPlanning(), this.releaser.run()]);
  }

  private async runPlanning(): Promise<void> {
    const { clock } = this.term.context;
    while (this.term.isActive) {
      await this.signal.wait(clock, MAX_PLAN_INTERVAL_MS);
      if (!this.term.isActive) return;
      if (!this.canPlan()) continue;
      const plan = this.planWithoutFailingJobs(clock.now());
      if (plan !== null) await this.carryOut(plan);
      await clock.sleep(PLAN_PAUSE_MS);
    }
  }

  private async carryOut(plan: FleetPlan): Promise<void> {
    this.scaleIn(plan);
    this.consolidate(plan);
    await Promise.all(plan.scaleOut.map((request) => this.provisioner.scaleOut(request)));
  }

  private canPlan(): boolean {
    const { leadership, machineTypes } = this.term.context;
    return (
      this.cluster.lastInitialMachineId !== null &&
      machineTypes().length > 0 &&
      leadership.holdsValidLease() &&
      this.mayScale()
    );
  }

  /** The plan; null if it failed on a job, whose demand the next one leaves out. */
  private planWithoutFailingJobs(now: MonotonicMs): FleetPlan | null {
    try {
      return this.planAt(now);
    } catch (error) {
      if (!(error instanceof JobPlanningError)) throw error;
      this.planningBackoff.recordFailure(error.job, error.message);
      this.signal.notify();
      return null;
    }
  }

  private planAt(now: MonotonicMs): FleetPlan {
    const { settings, machineTypes } = this.term.context;
    const isConsolidating = this.cluster.minimizesCost && now >= this.nextConsolidationAt;
    if (isConsolidating) this.nextConsolidationAt = addMs(now, CONSOLIDATION_INTERVAL_MS);
    const discoveredBy = addMs(this.term.electedAt, failoverDiscoveryTimeoutMs(settings));
    return planFleet({
      types: machineTypes(),
      machines: buildFleetView(this.cluster, now, isConsolidating, discoveredBy),
      unplacedDemand: this.unplacedDemand.filter(
        ({ job }) => !this.planningBackoff.isBackingOff(job.spec.id),
      ),
      policy: this.policy(isConsolidating),
      hasCapacity: (type, zone, spot) => this.provisioner.mayHaveCapacity(type, zone, spot, now),
    });
  }

  private policy(isConsolidating: boolean): FleetPolicy {
    const isCostAware = this.cluster.minimizesCost;
    const target = this.demand.target();
    return {
      isCostAware,
      isConsolidating,
      manageableMachines: sustainableMachineCount(this.term.context.settings),
      scaleInIdleS: isCostAware ? COST_AWARE_IDLE_S : INITIAL_FLEET_IDLE_S,
      targetCpus: target.cpus,
      targetOnDemandCpus: target.onDemandCpus,
      spreadsServices: this.demand.spreadsOverZones(),
      burstCpus: this.arrivals.burstCpus(),
      minQueueBootShare: isCostAware ? COST_AWARE_QUEUE_BOOT_SHARE : INITIAL_FLEET_QUEUE_BOOT_SHARE,
    };
  }

  private scaleIn(plan: FleetPlan): void {
    for (const id of plan.scaleIn) {
      const machine = this.cluster.machines.get(id);
      if (machine !== undefined && this.cluster.taskCountOn(id) === 0)
        this.releaseMachine(machine, 'scaled in');
    }
  }

  /** Drains a machine whose replicas fit elsewhere, but cancels all such drains while a service waits for capacity. */
  private consolidate(plan: FleetPlan): void {
    const consolidating = [...this.cluster.machines.values()].filter(
      ({ state, drainReason }) => state === 'draining' && drainReason === CONSOLIDATION_REASON,
    );
    const candidate = plan.drain === null ? undefined : this.cluster.machines.get(plan.drain);
    if (candidate !== undefined && consolidating.length < this.maxConsolidations())
      this.cluster.drainMachine(candidate, CONSOLIDATION_REASON);
    if (this.unplacedDemand.some(({ isWithinLimit, job }) => isWithinLimit && job.spec.kind === 'service'))
      for (const machine of consolidating) this.cluster.cancelDrain(machine);
  }

  private maxConsolidations(): number {
    return Math.max(1, Math.floor(this.cluster.machines.size / MACHINES_PER_CONSOLIDATION));
  }
}
