/**
 * Detects machines that have failed, and releases them.
 *
 * @module
 */
import type { Machine } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { Heartbeat } from '@spurbridge/wire';
import { CHECKPOINT_MARGIN_S } from '../heartbeats/misplaced-tasks.js';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { MachineQueues } from '../placement/machine-queues.js';
import { failoverDiscoveryTimeoutMs, heartbeatTimeoutMs, maxHeartbeatIntervalMs } from '../settings.js';
import type { FleetController } from './fleet-controller.js';
import { lateHeartbeatMs } from './heartbeat-lateness.js';
import { LeaderIsolationDetector } from './leader-isolation.js';
import { MachineProber, isUnreachable } from './machine-prober.js';
import { OverdueCancellations } from './overdue-cancellations.js';
import { ZoneReachability } from './zone-reachability.js';

const CHECK_INTERVAL_MS = 500;

/** Maximum relative drift between the clocks of two machines. */
const MAX_CLOCK_DRIFT = 0.0005;
/** Added to a lease's length before it counts as expired. */
const LEASE_MARGIN_MS = 500;

/** A machine is released if it is not up after this multiple of its type's boot time plus a margin. */
const BOOT_TIMEOUT_FACTOR = 3;
const BOOT_TIMEOUT_MARGIN_MS = 5000;
/** Boot time of a machine of an unknown type, in seconds. */
const DEFAULT_BOOT_S = 60;
/** Delay before a silent machine is released. The release proves its tasks gone before its lease expires. */
const SILENT_RELEASE_DELAY_MS = 1500;
/** The same delay for a machine that ran under an earlier leader and has never sent a heartbeat to this one. */
const UNDISCOVERED_RELEASE_DELAY_MS = 6000;
/** A preempted machine counts as reclaimed by the cloud this long after its deadline. */
const PREEMPTION_MARGIN_MS = 1500;

/**
 * Unreachable unconfirmed machines are released early if at most this many machines are unconfirmed, or at most this
 * share of the number of ready machines if that is more.
 */
const LAST_UNCONFIRMED_COUNT = 2;
const LAST_UNCONFIRMED_SHARE = 0.05;

/** The dependencies of a `FailureDetector`. */
export interface FailureDetectorDependencies {
  readonly fleet: FleetController;
  readonly queues: MachineQueues;
  /** Called with the heartbeat that a probed machine responds with. */
  readonly onHeartbeat: (heartbeat: Heartbeat) => void;
  /** After a possible loss of records: number of machines to be confirmed before jobs can be placed again. */
  readonly unconfirmedCount: () => number;
}

/** The machines that may have to be released, by condition. */
interface FleetSurvey {
  /** Without a heartbeat for too long. */
  readonly silent: Machine[];
  /** Ran under an earlier leader, and may not have discovered this one yet. */
  readonly undiscovered: Machine[];
  /** Draining, but not empty. */
  readonly draining: Machine[];
  /** Number of machines that send heartbeats and accept tasks. */
  readyCount: number;
}

/** Monitors heartbeats, leases, preemption deadlines and overdue cancellations. */
export class FailureDetector {
  private readonly zones: ZoneReachability;
  private readonly prober: MachineProber;
  private readonly isolation: LeaderIsolationDetector;
  private readonly cancellations: OverdueCancellations;

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    private readonly dependencies: FailureDetectorDependencies,
  ) {
    const { settings, log } = term.context;
    this.zones = new ZoneReachability(maxHeartbeatIntervalMs(settings), (fields) => {
      log.info(fields, 'zone reachability changed');
    });
    this.prober = new MachineProber(term, dependencies.onHeartbeat);
    this.isolation = new LeaderIsolationDetector(term);
    this.cancellations = new OverdueCancellations(cluster, dependencies.fleet, settings);
  }

  /** Checks all machines at regular intervals until the leader's term ends. */
  async run(): Promise<void> {
    const { clock, leadership } = this.term.context;
    while (this.term.isActive) {
      await clock.sleep(CHECK_INTERVAL_MS);
      if (!this.term.isActive || !leadership.holdsValidLease()) continue;
      this.check(clock.now());
    }
  }

  private check(now: MonotonicMs): void {
    const { machines } = this.cluster;
    this.zones.update(machines.values(), now, this.term.electedAt, (machine) =>
      this.cluster.isKnownToHaveRun(machine),
    );
    this.dependencies.queues.evictAllStale();
    this.cancellations.check(now);
    for (const machine of [...machines.values()]) this.checkMachine(machine, now);
    this.checkFleet(now);
  }

  // --- single machines ---------------------------------------------------------------------------

  private checkMachine(machine: Machine, now: MonotonicMs): void {
    if (machine.state === 'gone' || machine.state === 'releasing') return;
    if (this.cluster.taskCountOn(machine.id) > 0 && this.isLeaseExpired(machine, now))
      this.cluster.removePlacementsOn(machine.id, 'lease expired');
    this.checkHeartbeat(machine, now);
    this.checkPreemption(machine, now);
  }

  /** Whether the worker has ended all tasks by itself, even if its lease was renewed at the latest possible time. */
  private isLeaseExpired(machine: Machine, now: MonotonicMs): boolean {
    const leaseMs = this.term.context.settings.workers.leaseS * 1000;
    const expiredAfterMs = (leaseMs + LEASE_MARGIN_MS) * (1 + MAX_CLOCK_DRIFT * 2);
    const lastRenewalAt = Math.max(
      machine.latestPossibleRenewalAt,
      machine.leaseDelegatedUntil,
      machine.lastHeartbeatAt ?? this.term.electedAt,
    );
    return now - lastRenewalAt > expiredAfterMs;
  }

  /** Probes a machine whose heartbeat is missing or that is not confirmed, and eventually marks it as silent. */
  private checkHeartbeat(machine: Machine, now: MonotonicMs): void {
    const { settings, log } = this.term.context;
    const { electedAt } = this.term;
    const silenceMs = now - Math.max(machine.lastHeartbeatAt ?? electedAt, electedAt);
    const isUp = machine.state === 'ready' || machine.state === 'draining';
    const isHeartbeatExpected =
      isUp || (machine.state === 'booting' && this.cluster.isKnownToHaveRun(machine));
    const isLate = isHeartbeatExpected && silenceMs > lateHeartbeatMs(settings);
    if (!isLate && machine.isConfirmed) return;
    this.prober.probe(machine);
    if (!isUp || !isUnreachable(machine) || silenceMs <= heartbeatTimeoutMs(settings)) return;
    log.info({ machine: machine.id, silence: Math.round(silenceMs) }, 'machine is silent');
    machine.transitionTo('silent');
    this.cluster.emit('replanNeeded');
  }

  /** Releases a preempted machine after its deadline, and before that stops its tasks in time for a last checkpoint. */
  private checkPreemption(machine: Machine, now: MonotonicMs): void {
    const deadline = machine.preemptionDeadline;
    if (deadline === null) return;
    if (now > addMs(deadline, PREEMPTION_MARGIN_MS))
      this.dependencies.fleet.releaseMachine(machine, 'preemption deadline passed');
    if (machine.state !== 'draining') return;
    for (const { job, task } of this.cluster.tasksOn(machine.id)) {
      const placement = job.placements.get(task);
      if (placement === undefined || placement.stopRequest !== null) continue;
      const { kind, checkpointS, saveS } = job.spec;
      const graceS = saveS + CHECKPOINT_MARGIN_S;
      if (kind !== 'array' || checkpointS <= 0 || now <= addMs(deadline, -graceS * 1000)) continue;
      job.requestStop(task, graceS, 'drained', now);
      this.cluster.emit('commandsDue', machine.id);
    }
  }

  // --- the fleet as a whole ----------------------------------------------------------------------

  /** Releases machines that never came up, are silent or have drained, unless this node itself is isolated. */
  private checkFleet(now: MonotonicMs): void {
    const survey = this.surveyFleet(now);
    if (survey.draining.length > 0) this.dependencies.fleet.evictReplicas(survey.draining, now);
    const verdict = this.isolation.evaluate(survey.silent.length, survey.readyCount, now);
    if (verdict.kind === 'isolated') this.resign(verdict.reason);
    if (verdict.kind === 'connected') this.releaseSilent(survey, now);
  }

  private surveyFleet(now: MonotonicMs): FleetSurvey {
    const survey: FleetSurvey = { silent: [], undiscovered: [], draining: [], readyCount: 0 };
    const isReconnectionWave = this.dependencies.fleet.isReconnectionWave(now);
    for (const machine of this.cluster.machines.values())
      switch (machine.state) {
        case 'booting':
          this.surveyBooting(machine, survey, isReconnectionWave, now);
          break;
        case 'silent':
          if (!this.isSilenceExplained(machine, now)) survey.silent.push(machine);
          break;
        case 'ready':
          survey.readyCount += 1;
          break;
        case 'draining':
          if (machine.preemptionDeadline !== null) break;
          if (this.cluster.taskCountOn(machine.id) > 0) survey.draining.push(machine);
          else this.dependencies.fleet.releaseMachine(machine, machine.drainReason);
          break;
        default:
          break;
      }
    return survey;
  }

  private surveyBooting(
    machine: Machine,
    survey: FleetSurvey,
    isReconnectionWave: boolean,
    now: MonotonicMs,
  ): void {
    const ageMs = now - machine.firstSeenAt;
    if (!this.cluster.isKnownToHaveRun(machine)) {
      const bootS = this.cluster.machineType(machine.type)?.bootS ?? DEFAULT_BOOT_S;
      if (ageMs > bootS * 1000 * BOOT_TIMEOUT_FACTOR + BOOT_TIMEOUT_MARGIN_MS)
        this.dependencies.fleet.releaseMachine(machine, 'boot timeout exceeded');
      return;
    }
    if (this.isSilenceExplained(machine, now)) return;
    // It was up under an earlier leader, so missing heartbeats may be caused by this node's own network.
    const { settings } = this.term.context;
    const isOverdue = ageMs > failoverDiscoveryTimeoutMs(settings);
    const isSilent = isOverdue && (!isReconnectionWave || ageMs > settings.workers.leaseS * 1000);
    (isSilent ? survey.silent : survey.undiscovered).push(machine);
  }

  private releaseSilent({ silent, undiscovered, readyCount }: FleetSurvey, now: MonotonicMs): void {
    // The last few unconfirmed machines are released as soon as all probes of them have failed, because they block all
    // placements: failed machines that were still listed as running once kept a whole fleet from starting any task for
    // twelve seconds.
    const unconfirmed = this.dependencies.unconfirmedCount();
    const areLastUnconfirmed =
      unconfirmed > 0 && unconfirmed <= Math.max(LAST_UNCONFIRMED_COUNT, readyCount * LAST_UNCONFIRMED_SHARE);
    for (const machine of areLastUnconfirmed ? [...silent, ...undiscovered] : silent) {
      const isOverdue = areLastUnconfirmed || this.isReleaseDue(machine, now);
      if ((isOverdue && isUnreachable(machine)) || machine.preemptionDeadline !== null)
        this.dependencies.fleet.releaseMachine(machine, 'silent');
    }
  }

  private isReleaseDue(machine: Machine, now: MonotonicMs): boolean {
    const { settings } = this.term.context;
    const timeoutMs =
      machine.state === 'booting'
        ? failoverDiscoveryTimeoutMs(settings) + UNDISCOVERED_RELEASE_DELAY_MS
        : heartbeatTimeoutMs(settings) + SILENT_RELEASE_DELAY_MS;
    return now - (machine.lastHeartbeatAt ?? machine.firstSeenAt) > timeoutMs;
  }

  /**
   * Whether a silent machine is not released for now, because its zone is unreachable: its tasks continue while its
   * lease may be valid. A node in the zone may renew the lease under a delegation. Without such a node, the lease
   * expires sooner. Releasing the machine then proves its tasks gone earlier than waiting until the zone is reachable.
   */
  private isSilenceExplained(machine: Machine, now: MonotonicMs): boolean {
    if (machine.preemptionDeadline !== null || !this.zones.explainsSilenceOf(machine, now)) return false;
    const { zone, peers, workers } = this.term.context.settings;
    const hasNodeInZone = zone === machine.zone || peers.some((peer) => peer.zone === machine.zone);
    if (hasNodeInZone) return true;
    return now - (machine.lastHeartbeatAt ?? machine.firstSeenAt) < workers.leaseS * 1000;
  }

  private resign(reason: string): void {
    const { leadership, log } = this.term.context;
    leadership.resign(reason).catch((error: unknown) => {
      log.error({ error: String(error) }, 'resignation as leader failed');
    });
  }
}
