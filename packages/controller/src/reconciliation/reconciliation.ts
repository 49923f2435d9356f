/**
 * Reconciliation of the records with what actually runs on the machines, after records may have been lost
 * (docs/state-loss.md).
 *
 * @module
 */
import type { Job, Machine } from '@spurbridge/model';
import { TransitionTable } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { Heartbeat, MachineId, TaskStatus } from '@spurbridge/wire';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { ResourceUsage } from '../placement/resource-usage.js';
import { noUsage } from '../placement/resource-usage.js';
import { maxRenewalStalenessMs } from '../settings.js';
import { correctRecords } from './correct-records.js';
import { UnconfirmedMachines } from './unconfirmed-machines.js';

/**
 * - `collecting`: records may be missing, so the heartbeats of all machines are collected first.
 * - `stopping-orphans`: tasks without a known job are stopped. No task is started before they are gone, because they
 *   may use any team's quota.
 * - `verifying`: no heartbeat has contradicted the records so far. Each job only waits for those machines that could
 *   still contradict its records.
 * - `reconciled`: the tasks that may run on every machine are known.
 */
type ReconciliationState = 'collecting' | 'stopping-orphans' | 'verifying' | 'reconciled';

const transitions = new TransitionTable<ReconciliationState>('reconciliation', {
  collecting: ['stopping-orphans', 'verifying', 'reconciled'],
  'stopping-orphans': ['reconciled'],
  verifying: ['collecting', 'reconciled'],
  reconciled: [],
});

const CHECK_INTERVAL_MS = 100;
/** The set of unconfirmed machines is updated incrementally, and rebuilt at this interval. */
const REBUILD_INTERVAL_MS = 1000;
/** Maximum relative drift between the clocks of two machines. */
const MAX_CLOCK_DRIFT = 0.001;
/** Added to the time after which every lease of an earlier leader has expired. */
const LEASE_EXPIRY_MARGIN_MS = 1000;

/**
 * Decides which jobs may be placed while the tasks on some machines are unknown. A machine is confirmed once it has
 * sent a heartbeat with this leader's fencing token: from then on it executes no command of an earlier leader.
 */
export class Reconciliation {
  private state: ReconciliationState;
  /** The last heartbeat of each confirmed machine. */
  private readonly confirmed = new Map<MachineId, Heartbeat>();
  /** Machines that have sent any heartbeat. */
  private readonly seenMachines = new Set<MachineId>();
  private readonly unconfirmed: UnconfirmedMachines;
  /** When the set of unconfirmed machines was last rebuilt, and from which of the cloud's lists. */
  private rebuiltAt: MonotonicMs | null = null;
  private rebuiltFromListAt: MonotonicMs | null = null;
  /** Number of unconfirmed machines at the last check. */
  private previousUnconfirmedCount = 0;
  /** Number of tasks in heartbeats that an intact store would have a record of, but that have none. */
  private unexplainedTasks = 0;
  /** Machines that run tasks which are not placed there. */
  private readonly machinesWithOrphans = new Set<MachineId>();
  /** When every lease that an earlier leader can have renewed has expired. */
  private readonly earlierLeasesExpireAt: MonotonicMs;
  /** Placements from before this time were read from records; later ones are this leader's own. */
  private startedAt = 0 as MonotonicMs;

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    /** When the cloud's last list of machines was requested; null before the first one. */
    private readonly machinesListedAt: () => MonotonicMs | null,
  ) {
    const { settings, storeIntegrity } = term.context;
    this.unconfirmed = new UnconfirmedMachines(cluster);
    this.state = storeIntegrity.continuous ? 'reconciled' : 'collecting';
    const longestLeaseMs = maxRenewalStalenessMs(settings) + settings.workers.leaseS * 1000;
    const expiryMs = longestLeaseMs * (1 + MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_MS;
    this.earlierLeasesExpireAt = addMs(term.electedAt, expiryMs);
  }

  // --- what is allowed during reconciliation -----------------------------------------------------

  /** Whether tasks of some jobs may be placed, and machines released as idle. */
  get allowsPlacement(): boolean {
    return this.state === 'verifying' || this.state === 'reconciled';
  }

  /**
   * Whether a job's tasks may be placed, and a start of them repeated: every machine that could run an unrecorded task
   * of it is confirmed, or proven gone. Waiting for half of all machines was not sufficient: tasks that had been placed
   * in a period that the store had lost ran twice.
   */
  mayPlaceJob(job: Job): boolean {
    if (this.state === 'reconciled') return true;
    return this.state === 'verifying' && !this.unconfirmedMachines().couldRun(job);
  }

  /** The part of a team's quota that unconfirmed machines may use in addition to their recorded placements. */
  unconfirmedUsage(team: string): Readonly<ResourceUsage> {
    if (this.state === 'reconciled') return noUsage();
    const machines = this.unconfirmedMachines();
    const { capacity } = machines;
    const recorded = machines.recordedUsage(team);
    return {
      cpus: Math.max(0, capacity.cpus - recorded.cpus),
      gpus: Math.max(0, capacity.gpus - recorded.gpus),
    };
  }

  /** Number of machines that placement still waits for. */
  get unconfirmedCount(): number {
    const isWaiting = this.state === 'collecting' || this.state === 'verifying';
    return isWaiting ? this.unconfirmedMachines().count : 0;
  }

  /** Whether machines may receive commands to start tasks, to stop unknown tasks, and to forget exited tasks. */
  get mayIssueCommands(): boolean {
    return this.state !== 'collecting';
  }

  // --- heartbeats --------------------------------------------------------------------------------

  /** Processes a heartbeat, whether direct, forwarded or a response to a call. */
  receive(heartbeat: Heartbeat): void {
    if (this.state === 'reconciled') return;
    const { machine: id, agentEpoch, sequence } = heartbeat;
    const machine = this.cluster.machines.get(id);
    // The cluster state has ignored this heartbeat, because it arrived out of order.
    if (machine?.agentEpoch !== agentEpoch || machine.lastSequence !== sequence) return;
    const isConfirmation = heartbeat.fencingToken >= this.term.context.leadership.fencingToken;
    if (isConfirmation) {
      this.confirmed.set(id, heartbeat);
      this.unconfirmed.remove(id);
    } else if (this.isUnconfirmed(machine)) this.unconfirmed.add(machine);
    if (isConfirmation && this.machinesWithOrphans.has(id) && !this.hasOrphans(heartbeat))
      this.machinesWithOrphans.delete(id);
    if (this.seenMachines.has(id)) return;
    this.seenMachines.add(id);
    this.countUnexplained(heartbeat);
  }

  private countUnexplained({ machine, tasks }: Heartbeat): void {
    const count = tasks.filter((status) => this.isUnexplained(status)).length;
    this.unexplainedTasks += count;
    if (count > 0 && this.state === 'verifying')
      this.transitionTo('collecting', `${machine} reports tasks that no record explains`);
  }

  /**
   * Whether the task proves a loss of records: an intact store would hold a record of its job, or of an attempt at
   * least as high.
   */
  private isUnexplained({ job: id, task, attempt }: TaskStatus): boolean {
    const job = this.cluster.jobs.get(id);
    if (job === undefined) return this.term.context.storeIntegrity.jobPhaseOf(id) === null;
    return task < job.spec.tasks && job.state === 'active' && attempt > job.chunkOf(task).attemptsIssued;
  }

  /** Whether the machine runs a task that is not placed there. */
  private hasOrphans({ machine, tasks }: Heartbeat): boolean {
    return tasks.some(({ job, task, attempt, phase }) => {
      const placement = this.cluster.jobs.get(job)?.placements.get(task);
      return phase !== 'exited' && (placement?.machine !== machine || placement.attempt !== attempt);
    });
  }

  // --- unconfirmed machines ----------------------------------------------------------------------

  /** Whether the machine may run unrecorded tasks: it was listed as running, is recorded or has sent a heartbeat. */
  private isUnconfirmed(machine: Machine): boolean {
    if (machine.state === 'gone' || this.confirmed.has(machine.id)) return false;
    return this.cluster.isKnownToHaveRun(machine) || machine.lastHeartbeatAt !== null;
  }

  /** The unconfirmed machines, including those that a new list of the cloud has added. */
  private unconfirmedMachines(): UnconfirmedMachines {
    const listedAt = this.machinesListedAt();
    const now = this.term.context.clock.now();
    const isCurrent =
      this.rebuiltAt !== null &&
      this.rebuiltFromListAt === listedAt &&
      now - this.rebuiltAt <= REBUILD_INTERVAL_MS;
    if (isCurrent) return this.unconfirmed;
    this.rebuiltAt = now;
    this.rebuiltFromListAt = listedAt;
    this.unconfirmed.clear();
    for (const machine of this.cluster.machines.values())
      if (this.isUnconfirmed(machine)) this.unconfirmed.add(machine);
    return this.unconfirmed;
  }

  // --- the state machine -------------------------------------------------------------------------

  /** Runs until the cluster is reconciled or the leader's term ends. */
  async run(): Promise<void> {
    const { clock, storeIntegrity } = this.term.context;
    this.startedAt = clock.now();
    while (this.term.isActive && this.state !== 'reconciled') {
      // A peer that has followed the store without a gap reports that the records are complete.
      if (storeIntegrity.continuous && this.state === 'collecting' && this.unexplainedTasks === 0)
        this.transitionTo('reconciled', 'a peer reports that the records are complete');
      else this.check(clock.now());
      await clock.sleep(CHECK_INTERVAL_MS);
    }
    this.confirmed.clear();
    this.seenMachines.clear();
    this.unconfirmed.clear();
  }

  /** The only function that changes the state. */
  private transitionTo(next: ReconciliationState, reason: string): void {
    transitions.assertAllowed(this.state, next);
    const counts = { heard: this.confirmed.size, unexplained: this.unexplainedTasks };
    this.term.context.log.info(
      { from: this.state, to: next, why: reason, ...counts },
      'reconciliation state changed',
    );
    this.state = next;
    this.rebuiltAt = null;
    if (this.allowsPlacement) this.cluster.emit('replanNeeded');
  }

  private check(now: MonotonicMs): void {
    if (this.state === 'stopping-orphans') {
      this.checkOrphans();
      return;
    }
    const missing = this.countMissing();
    const { storeIntegrity } = this.term.context;
    const listedAt = this.machinesListedAt();
    if ((missing === 0 && this.isListComplete(listedAt)) || now > this.earlierLeasesExpireAt)
      this.conclude(missing, now);
    else if (
      this.state === 'collecting' &&
      this.unexplainedTasks === 0 &&
      !storeIntegrity.hasLostData &&
      listedAt !== null
    )
      this.transitionTo(
        'verifying',
        `no heartbeat contradicts the records; ${missing} machines are unconfirmed`,
      );
  }

  /** Counts the unconfirmed machines; if there are fewer than at the last check, more jobs may be placed. */
  private countMissing(): number {
    const unconfirmed = this.unconfirmedMachines();
    for (const id of [...unconfirmed.machineIds()])
      if (this.cluster.machines.get(id)?.state === 'gone') unconfirmed.remove(id);
    const missing = unconfirmed.count;
    if (this.state === 'verifying' && missing < this.previousUnconfirmedCount)
      this.cluster.emit('replanNeeded');
    this.previousUnconfirmedCount = missing;
    return missing;
  }

  /** Whether the list is recent enough to show every machine that was up when this leader was elected. */
  private isListComplete(listedAt: MonotonicMs | null): boolean {
    const lagMs = this.term.context.settings.cloudLimits.listLagS * 2000;
    return listedAt !== null && listedAt > addMs(this.term.electedAt, lagMs);
  }

  /** Ends the reconciliation, because no machine is left that could contradict the records. */
  private conclude(missing: number, now: MonotonicMs): void {
    const reason =
      missing === 0 ? 'all machines are confirmed or gone' : 'all leases of earlier leaders have expired';
    if (this.state === 'collecting') this.correctRecords(now);
    if (this.machinesWithOrphans.size > 0) this.transitionTo('stopping-orphans', reason);
    else this.finish(reason);
  }

  private correctRecords(now: MonotonicMs): void {
    const counts = correctRecords(this.cluster, this.confirmed.values(), this.startedAt);
    const ms = Math.round(now - this.term.electedAt);
    this.term.context.log.info({ ...counts, ms }, 'records corrected from heartbeats');
    for (const heartbeat of this.confirmed.values())
      if (this.hasOrphans(heartbeat)) this.machinesWithOrphans.add(heartbeat.machine);
  }

  private checkOrphans(): void {
    for (const id of this.machinesWithOrphans) {
      const state = this.cluster.machines.get(id)?.state;
      if (state === undefined || state === 'gone') this.machinesWithOrphans.delete(id);
    }
    if (this.machinesWithOrphans.size === 0) this.finish('all orphaned tasks have ended');
  }

  private finish(reason: string): void {
    this.transitionTo('reconciled', reason);
    this.term.context.storeIntegrity.confirmReconciled();
  }
}
