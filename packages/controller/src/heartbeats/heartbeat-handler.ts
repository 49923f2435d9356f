import type { Job, Machine, Placement } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { ExitCause, TaskStatus, Heartbeat } from '@spurbridge/wire';
import { formatTaskName } from '@spurbridge/wire';
import type { ClusterState } from '../jobs/cluster-state.js';
import { startCommandKey } from './command-dispatcher.js';
import type { RuntimeEstimator } from '../placement/runtime-estimator.js';
import { isWholeGangReachable } from '../placement/gang-scheduling.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

/** A job whose tasks failed on this many machines in a row is at fault itself. */
const SUSPECT_JOB_MACHINES = 3;
/** A machine on which this many different jobs failed is at fault. */
const FAULTY_MACHINE_JOBS = 2;
const SLOW_FACTOR = 1.7;
/** Added to a task's own time to save, for the order to reach it. */
export const CHECKPOINT_MARGIN_S = 4;

/** Takes in what workers report of themselves and their tasks. */
export class HeartbeatHandler {
  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    private readonly estimates: RuntimeEstimator,
  ) {}

  /**
   * A worker's report, made by itself (`isOwn`) or as the answer of a direct call; `ageMs` where another node has kept it for
   * so long. An old one is passed over.
   */
  receive(r: Heartbeat, isOwn: boolean, ageMs = 0): void {
    const { clock, log } = this.term.context;
    const isOfNow = !isOwn || r.fencingToken === this.term.context.leadership.fencingToken;
    const m = this.cluster.registerMachine(r.machine, r.type, r.zone, r.spot, isOfNow);
    const now = clock.now();
    if (m.state === 'gone' || m.state === 'releasing') return;
    if (
      m.agentEpoch !== null &&
      (r.agentEpoch < m.agentEpoch || (r.agentEpoch === m.agentEpoch && r.sequence <= m.lastSequence))
    )
      return;
    if (m.agentEpoch === null || r.agentEpoch > m.agentEpoch) {
      m.unconfirmedStarts.clear();
      m.agentEpoch = r.agentEpoch;
      this.cluster.removePlacementsOn(m.id, 'newer session', r.agentEpoch);
    }
    m.lastSequence = r.sequence;
    m.fencingToken = r.fencingToken;
    m.address = r.address;
    m.lastHeartbeatAt = addMs(now, -ageMs);
    m.probesSent = 0;
    m.probesUnanswered = 0;
    if (m.state === 'booting') {
      log.info({ machine: m.id, type: m.type, zone: m.zone, spot: m.spot }, 'machine up');
      this.cluster.emit('up', m);
      m.idleSince = this.cluster.taskCountOn(m.id) > 0 ? null : now;
      m.transitionTo('ready');
      this.cluster.emit('plan');
    } else if (m.state === 'silent') {
      m.transitionTo('ready');
      this.cluster.emit('plan');
    }
    if (m.drainReason !== '' && m.state === 'ready') m.transitionTo('draining');
    if (r.preemptionNoticeS !== null && m.preemptionNoticeAt === null)
      this.onNotice(m, r.preemptionNoticeS, now);
    this.readTasks(m, r, isOwn, now);
  }

  /**
   * Called when a report is answered with our token, with or without orders. Its holder may renew the machine's lease
   * for `grantMs` more without our hearing of it.
   */
  recordResponse(r: Heartbeat, grantMs: number): void {
    const { clock, leadership } = this.term.context;
    const m = this.cluster.machines.get(r.machine);
    if (m === undefined) return;
    const now = clock.now();
    m.latestPossibleRenewalAt =
      r.fencingToken === leadership.fencingToken
        ? now
        : (Math.max(m.latestPossibleRenewalAt, now) as MonotonicMs);
    m.leaseDelegatedUntil = Math.max(m.leaseDelegatedUntil, now + grantMs) as MonotonicMs;
  }

  private onNotice(m: Machine, noticeS: number, now: MonotonicMs): void {
    m.preemptionNoticeAt = now;
    m.preemptionDeadline = addMs(now, noticeS * 1000);
    this.term.context.log.info({ machine: m.id, noticeS }, 'machine will be taken back');
    this.cluster.drainMachine(m, 'notice');
    for (const { job, task } of [...this.cluster.tasksOn(m.id)]) {
      const graceS = job.spec.saveS + CHECKPOINT_MARGIN_S;
      if (job.spec.kind === 'service') job.requestStop(task, graceS, 'drained', now);
      else if (job.spec.kind === 'gang' && job.spec.checkpointS > 0 && noticeS > graceS)
        if (
          job.gang?.state !== 'running' ||
          isWholeGangReachable(this.cluster, this.term.context.settings, job, now)
        )
          this.cluster.stopGang(job, graceS, 'drained');
    }
    this.cluster.emit('due', m.id);
    this.cluster.emit('plan');
  }

  private readTasks(m: Machine, r: Heartbeat, isOwn: boolean, now: MonotonicMs): void {
    // A start in a report's answer is executed or dropped before the worker's next own report is made, but not before it
    // answers a direct call, which may overtake it; and the worker has shown our token, so that no earlier leader's counts.
    const saysAll = isOwn && r.fencingToken === this.term.context.leadership.fencingToken;
    const reported = new Map<string, TaskStatus>();
    for (const t of r.tasks) reported.set(formatTaskName(t.job, t.task), t);
    for (const { job, task } of [...this.cluster.tasksOn(m.id)]) {
      const p = job.placements.get(task);
      if (p === undefined || p.machine !== m.id || p.agentEpoch !== r.agentEpoch) continue;
      const name = formatTaskName(job.spec.id, task);
      const t = reported.get(name);
      if (t?.attempt === p.attempt) {
        if (t.phase === 'exited') this.onExit(m, job, p, t.cause ?? 'error', now);
        else {
          if (p.state === 'starting' || p.state === 'queued' || p.state === 'intended')
            this.cluster.emit('changed', job);
          if (t.phase === 'running' && p.state !== 'running') {
            const type = this.cluster.machineType(m.type);
            m.cacheImage(job.spec.image, job.spec.imageGb, type?.cacheGb ?? 0);
            this.term.context.log.debug({ task: name, machine: m.id, image: job.spec.image }, 'task runs');
          }
          const before = p.state;
          job.applyReportedPhase(task, t.phase, now);
          // Those that were kept back for the slower ones may start now.
          if (t.phase === 'waiting' && before !== 'waiting') this.startKeptBack(job);
        }
      } else if (
        p.stopRequest !== null &&
        (p.state === 'starting' || p.state === 'queued') &&
        saysAll &&
        !m.unconfirmedStarts.has(startCommandKey(job.spec.id, task, p.attempt))
      ) {
        // No direct start is unanswered either: it was never started and never will be.
        this.cluster.removePlacement(job, p, false, 'never started');
      }
    }
  }

  private startKeptBack(job: Job): void {
    for (const p of job.placements.values()) if (p.state === 'starting') this.cluster.emit('due', p.machine);
  }

  private onExit(m: Machine, job: Job, p: Placement, cause: ExitCause, now: MonotonicMs): void {
    const name = formatTaskName(job.spec.id, p.task);
    if (cause === 'done') {
      m.failedJobs.clear();
      job.failedMachines.clear();
      job.consecutiveFailures = 0;
      if (p.runningSince !== null && job.spec.estimateS > 0 && job.spec.kind === 'array') {
        const ranS = (now - p.runningSince) / 1000;
        const expectedS = this.estimates.expectedRuntimeS(job.spec);
        this.estimates.observeRuntime(job.spec, ranS / m.slowness);
        m.recordRunTime(job.spec.id, Math.min(5, Math.max(0.2, ranS / expectedS)));
        if (m.isSlow(SLOW_FACTOR)) this.cluster.drainMachine(m, 'slow');
      }
    } else if (cause === 'error') this.onError(m, job, name, now);
    else if (cause === 'no_room') m.backoffUntil = addMs(now, 2000);
    else if (cause === 'unknown' || cause === 'busy') job.backoffUntil = addMs(now, 2000);
    this.cluster.removePlacement(job, p, cause === 'done', cause);
  }

  /** Different jobs failing condemn the machine; one job failing everywhere backs off alone. */
  private onError(m: Machine, job: Job, name: string, now: MonotonicMs): void {
    job.consecutiveFailures += 1;
    job.failedMachines.add(m.id);
    m.backoffUntil = addMs(now, 3000);
    this.term.context.log.info({ task: name, machine: m.id, errors: job.consecutiveFailures }, 'task failed');
    if (job.failedMachines.size >= SUSPECT_JOB_MACHINES) {
      job.backoffUntil = addMs(now, Math.min(60, 2 ** Math.min(6, job.consecutiveFailures - 2)) * 1000);
      for (const id of job.failedMachines) this.cluster.machines.get(id)?.failedJobs.delete(job.spec.id);
      job.failedMachines.clear();
      return;
    }
    m.failedJobs.add(job.spec.id);
    if (m.failedJobs.size >= FAULTY_MACHINE_JOBS) this.cluster.drainMachine(m, 'faulty');
  }
}
