import type { Job, Machine, Placement } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { ClusterState } from '../jobs/cluster-state.js';
import { startCommandKey } from '../heartbeats/command-dispatcher.js';
import type { FleetController } from './fleet-controller.js';
import type { MachineQueues } from '../placement/machine-queues.js';
import { CHECKPOINT_MARGIN_S } from '../heartbeats/heartbeat-handler.js';
import { maxHeartbeatIntervalMs, heartbeatTimeoutMs, failoverDiscoveryTimeoutMs } from '../settings.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { Heartbeat } from '@spurbridge/wire';
import { ZoneReachability } from './zone-reachability.js';

/** Clocks of different machines drift apart by at most this. */
const DRIFT = 0.0005;
const LEASE_MARGIN_MS = 500;
const SWEEP_MS = 500;
/** Questions to a machine not heard; at once at most this share of the sockets, since hundreds may fall silent together. */
const PROBES = 2;
const PROBE_SHARE = 0.12;
/** A machine not up after this many times its usual boot time is given back. */
const BOOT_PATIENCE = 3;
/** Found silent, a machine is released this much later: that proves its tasks gone sooner than the lease. */
const SILENT_RELEASE_MS = 1500;
/** Silence of this share of the machines points at our own network. */
const MASS_SHARE = 0.5;
const MASS_MS = 1500;
/** None of at least so many workers heard, for this long and for so many usual intervals. */
const DEAF_LEAST = 10;
const DEAF_MS = 2000;
const DEAF_REPORTS = 12;
/** Workers may all have gone to other nodes: machines must not answer calls either. */
const DEAF_CALLS = 3;
/** This share of the time between a lease and `cancel_s` is left for the cloud's call that proves a machine gone. */
const LAST_RESORT_SHARE = 0.3;
/** So many of the machines may be the last ones that decisions wait for. */
const LAST_SHARE = 0.05;

/** Looks after silent machines, notices that run out and stops that take too long. */
export class FailureDetector {
  private probing = 0;
  private massSince: MonotonicMs | null = null;
  private wasDeaf = false;
  private readonly zones: ZoneReachability;

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    private readonly fleet: FleetController,
    private readonly queues: MachineQueues,
    /** Takes in the report that a machine answers with. */
    private readonly onReport: (report: Heartbeat) => void,
    /** Machines that decisions wait for, after a start at which nobody remembers anything. */
    private readonly awaited: () => number,
  ) {
    const { settings, log } = term.context;
    this.zones = new ZoneReachability(maxHeartbeatIntervalMs(settings), (fields) => {
      log.info(fields, 'zone');
    });
  }

  async run(): Promise<void> {
    const { clock, leadership } = this.term.context;
    while (this.term.isActive) {
      await clock.sleep(SWEEP_MS);
      if (!this.term.isActive || !leadership.holdsValidLease()) continue;
      const now = clock.now();
      this.zones.update(this.cluster.machines.values(), now, this.term.electedAt, (m) =>
        this.cluster.isKnownToHaveRun(m),
      );
      this.queues.evictAllStale();
      this.endCancelled(now);
      for (const m of [...this.cluster.machines.values()]) this.sweep(m, now);
      this.sweepFleet(now);
    }
  }

  private sweep(m: Machine, now: MonotonicMs): void {
    const { settings, log } = this.term.context;
    const { electedAt } = this.term;
    if (m.state === 'gone' || m.state === 'releasing') return;
    if (this.cluster.taskCountOn(m.id) > 0) {
      const surelyOver = (settings.workers.leaseS * 1000 + LEASE_MARGIN_MS) * (1 + DRIFT * 2);
      const last = Math.max(m.latestPossibleRenewalAt, m.leaseDelegatedUntil, m.lastHeartbeatAt ?? electedAt);
      if (now - last > surelyOver) this.cluster.removePlacementsOn(m.id, 'lease surely over');
    }
    const silence = now - Math.max(m.lastHeartbeatAt ?? electedAt, electedAt);
    const heardBefore = m.state === 'ready' || m.state === 'draining';
    const wasUp = m.state === 'booting' && this.cluster.isKnownToHaveRun(m);
    const isQuiet = (heardBefore || wasUp) && silence > maxHeartbeatIntervalMs(settings) + 1000;
    if (!isQuiet && m.isConfirmed) return this.expire(m, now);
    if (m.probesSent < PROBES && this.probing < Math.max(8, settings.maxSockets * PROBE_SHARE)) {
      m.probesSent += 1;
      this.probe(m);
    }
    if (heardBefore && isUnreachable(m) && silence > heartbeatTimeoutMs(settings)) {
      log.info({ machine: m.id, silence: Math.round(silence) }, 'machine is silent');
      m.transitionTo('silent');
      this.cluster.emit('plan');
    }
    this.expire(m, now);
  }

  /**
   * The last resort for what is cancelled and still not proven gone as `cancel_s` draws to its end: its machine is given back,
   * whatever excuses its silence. Its lease is no proof: a machine that hangs doesn't carry out its end, and may go on
   * (docs/incidents/hung-past-its-lease.md). By then a machine that heard nothing, but lives, has ended its lease by itself.
   */
  private endCancelled(now: MonotonicMs): void {
    const { settings } = this.term.context;
    const { cancelS, leaseS } = settings.workers;
    const patienceMs = (cancelS - (cancelS - leaseS) * LAST_RESORT_SHARE) * 1000;
    for (const job of this.cluster.jobs.values()) {
      if (job.state !== 'cancelled') continue;
      for (const p of job.placements.values()) {
        if (now < addMs(job.cancelledAt ?? p.stopRequest?.at ?? now, patienceMs)) continue;
        const m = this.cluster.machines.get(p.machine);
        if (m === undefined || m.state === 'gone' || this.isLeftToItsLease(m, job, p, now)) continue;
        this.fleet.releaseMachine(m, 'a cancelled task does not end', true);
      }
    }
  }

  /** Heard all the while, never shown the task, and not renewed any more: its session ends in time (`Commands.mayStartLate`). */
  private isLeftToItsLease(m: Machine, job: Job, p: Placement, now: MonotonicMs): boolean {
    const isHeard =
      m.lastHeartbeatAt !== null &&
      now - m.lastHeartbeatAt < maxHeartbeatIntervalMs(this.term.context.settings) + 1000;
    return (
      isHeard &&
      p.state === 'starting' &&
      m.unconfirmedStarts.has(startCommandKey(job.spec.id, p.task, p.attempt))
    );
  }

  /** What ends by itself on a machine: its notice, and the time that work with checkpoints has left. */
  private expire(m: Machine, now: MonotonicMs): void {
    if (m.preemptionDeadline !== null && now > addMs(m.preemptionDeadline, 1500))
      this.fleet.releaseMachine(m, 'taken back');
    if (m.state === 'draining')
      for (const { job, task } of this.cluster.tasksOn(m.id)) {
        const p = job.placements.get(task);
        if (p === undefined || p.stopRequest !== null || m.preemptionDeadline === null) continue;
        const graceS = job.spec.saveS + CHECKPOINT_MARGIN_S;
        if (
          job.spec.kind === 'array' &&
          job.spec.checkpointS > 0 &&
          now > addMs(m.preemptionDeadline, -graceS * 1000)
        ) {
          job.requestStop(task, graceS, 'drained', now);
          this.cluster.emit('due', m.id);
        }
      }
  }

  private probe(m: Machine): void {
    if (m.address === '') {
      m.probesUnanswered += 1;
      return;
    }
    const { workerClient: workers, leadership, log } = this.term.context;
    this.probing += 1;
    workers
      .fetchHeartbeat(m.address)
      .finally(() => {
        this.probing -= 1;
      })
      .then((report) => {
        if (!this.term.isActive) return;
        // With no socket left every machine seemed silent: hundreds that lived were given back.
        if (report === 'unasked') {
          m.probesSent = Math.max(0, m.probesSent - 1);
          return;
        }
        this.term.workerReachability.recordCall(report !== null);
        if (report === null) {
          m.probesUnanswered += 1;
          return;
        }
        leadership.observeToken(report.fencingToken, null);
        if (this.term.isActive) this.onReport(report);
      })
      .catch((e: unknown) => {
        log.error({ machine: m.id, error: String(e) }, 'probe failed');
      });
  }

  /** Machines that never came up, are silent, or have drained. */
  private sweepFleet(now: MonotonicMs): void {
    const silent: Machine[] = [];
    const wave = this.fleet.isReconnectionWave(now);
    const leaseMs = this.term.context.settings.workers.leaseS * 1000;
    const draining: Machine[] = [];
    const unheard: Machine[] = [];
    let heard = 0;
    for (const m of this.cluster.machines.values()) {
      if (m.state === 'booting') {
        // It was up under an earlier leader: not hearing it may be this node's own fault.
        const unheardForMs = now - m.firstSeenAt;
        const suspect =
          unheardForMs > failoverDiscoveryTimeoutMs(this.term.context.settings) &&
          (!wave || unheardForMs > leaseMs);
        if (!this.cluster.isKnownToHaveRun(m)) this.sweepBooting(m, now);
        else if (!this.isExcused(m, now)) (suspect ? silent : unheard).push(m);
      } else if (m.state === 'silent') {
        if (!this.isExcused(m, now)) silent.push(m);
      } else if (m.state === 'ready') heard += 1;
      else if (
        m.state === 'draining' &&
        this.cluster.taskCountOn(m.id) === 0 &&
        m.preemptionDeadline === null
      )
        this.fleet.releaseMachine(m, m.drainReason);
      else if (m.state === 'draining' && m.preemptionDeadline === null) draining.push(m);
    }
    if (draining.length > 0) this.fleet.evictReplicas(draining, now);
    if (this.isDeaf(now)) return this.resign('no worker is heard: the fault is here');
    const mass = silent.length >= 3 && silent.length >= (silent.length + heard) * MASS_SHARE;
    if (!mass) this.massSince = null;
    else {
      this.massSince ??= now;
      // So many at once: more likely it is this node that cannot reach them. Another may lead.
      if (now - this.massSince < MASS_MS) return;
      if (this.term.context.leadership.canResign())
        return this.resign('most machines are silent: the fault may be here');
    }
    // The last few of a fleet that everything waits for are given back as soon as they leave two questions unanswered: dead
    // ones, still listed as running, kept a whole fleet from any start for twelve seconds.
    const awaited = this.awaited();
    const isLast = awaited > 0 && awaited <= Math.max(2, heard * LAST_SHARE);
    for (const m of isLast ? [...silent, ...unheard] : silent) {
      const last = m.lastHeartbeatAt ?? m.firstSeenAt;
      const patienceMs =
        m.state === 'booting'
          ? failoverDiscoveryTimeoutMs(this.term.context.settings) + 6000
          : heartbeatTimeoutMs(this.term.context.settings) + SILENT_RELEASE_MS;
      if (((isLast || now - last > patienceMs) && isUnreachable(m)) || m.preemptionDeadline !== null)
        this.fleet.releaseMachine(m, 'silent');
    }
  }

  /**
   * Whether this node hears none of the many workers that report to it: it could tell nobody to start anything, though
   * others pass on what their workers say. Each reports on its own, so that hundreds of them fall
   * silent within a second or two only for a fault of this node's: it need not wait for each to be late.
   */
  private isDeaf(now: MonotonicMs): boolean {
    const { settings, leadership, directWorkers: direct } = this.term.context;
    const { size, lastAt } = direct();
    const expectedMs = maxHeartbeatIntervalMs(settings) / Math.max(1, size);
    const quietMs = now - Math.max(lastAt ?? now, this.term.electedAt);
    // Those that found it before it led may have gone elsewhere since.
    const isNew = now - this.term.electedAt < maxHeartbeatIntervalMs(settings) + DEAF_MS;
    const quiet = size >= DEAF_LEAST && quietMs > Math.max(DEAF_MS, expectedMs * DEAF_REPORTS);
    const deaf = !isNew && quiet && this.term.workerReachability.isUnreachable(DEAF_CALLS, DEAF_MS);
    // Twice in a row: what came while this process was held up is read between two sweeps.
    const again = deaf && this.wasDeaf;
    this.wasDeaf = deaf;
    return again && leadership.canResign();
  }

  /**
   * Whether a silent machine is left alone for now: its zone is cut off, and what runs there goes on as long as its lease
   * may. Where a node is in the zone it may answer under its grants; where none is, the lease ends sooner, and giving the
   * machine back then proves its tasks gone sooner than waiting.
   */
  private isExcused(m: Machine, now: MonotonicMs): boolean {
    if (m.preemptionDeadline !== null || !this.zones.explainsSilenceOf(m, now)) return false;
    const { settings } = this.term.context;
    const hasNode = settings.zone === m.zone || settings.peers.some((p) => p.zone === m.zone);
    if (hasNode) return true;
    return now - (m.lastHeartbeatAt ?? m.firstSeenAt) < settings.workers.leaseS * 1000;
  }

  private resign(reason: string): void {
    const { leadership, log } = this.term.context;
    leadership.resign(reason).catch((e: unknown) => {
      log.error({ error: String(e) }, 'resigning failed');
    });
  }

  private sweepBooting(m: Machine, now: MonotonicMs): void {
    const bootS = this.cluster.machineType(m.type)?.bootS ?? 60;
    if (now - m.firstSeenAt > bootS * 1000 * BOOT_PATIENCE + 5000)
      this.fleet.releaseMachine(m, 'never came up');
  }
}

/** Neither reports nor answers: a node behind its share misses reports of machines that answer well. */
function isUnreachable(m: Machine): boolean {
  return m.probesUnanswered >= PROBES;
}
