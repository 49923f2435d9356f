/**
 * Processes the heartbeats of workers.
 *
 * @module
 */
import type { Job, Machine, PlacementState } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { Heartbeat } from '@spurbridge/wire';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import { isWholeGangReachable } from '../placement/gang-scheduling.js';
import type { RuntimeEstimator } from '../placement/runtime-estimator.js';
import { CHECKPOINT_MARGIN_S, MisplacedTasks } from './misplaced-tasks.js';
import { ReportedAttempts } from './reported-attempts.js';
import { TaskStatusHandler } from './task-status-handler.js';

/** The states of a placement that its machine has reported. */
const REPORTED_STATES: readonly PlacementState[] = ['fetching', 'waiting', 'running', 'saving'];

/** Updates the cluster state with the heartbeats that the leader receives. */
export class HeartbeatHandler {
  private readonly taskStatuses: TaskStatusHandler;
  private readonly misplacedTasks: MisplacedTasks;
  /** Machines whose heartbeats contradict what is known of them, once this is logged. */
  private readonly contradictoryMachines = new WeakSet<Machine>();

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    estimator: RuntimeEstimator,
  ) {
    this.taskStatuses = new TaskStatusHandler(term, cluster, estimator);
    this.misplacedTasks = new MisplacedTasks(term, cluster);
  }

  /**
   * Processes a heartbeat, which the worker sent on its own schedule (`isRegular`) or in response to a direct call.
   * `ageMs` is the time since another controller received it. A heartbeat that is not newer than the latest one of its
   * machine is ignored.
   */
  receive(heartbeat: Heartbeat, isRegular: boolean, ageMs = 0): void {
    const { clock, leadership } = this.term.context;
    // A token higher than all of this term has ended it.
    const hasCurrentToken = heartbeat.fencingToken >= leadership.fencingToken;
    const machine = this.cluster.registerMachine(
      heartbeat.machine,
      heartbeat.type,
      heartbeat.zone,
      heartbeat.spot,
      !isRegular || hasCurrentToken,
    );
    const now = clock.now();
    if (machine.state === 'gone' || machine.state === 'releasing') return;
    this.logContradiction(machine, heartbeat);
    if (isOutdated(heartbeat, machine)) return;
    this.updateMachine(machine, heartbeat, addMs(now, -ageMs));
    if (isRegular) machine.lastRegularSequence = heartbeat.sequence;
    this.updateState(machine, now);
    const { preemptionNoticeS: noticeS } = heartbeat;
    if (noticeS !== null) {
      if (machine.preemptionNoticeAt === null) this.onPreemptionNotice(machine, noticeS, now);
      this.stopTasksBeforePreemption(machine, noticeS, now);
    }
    // A start in the response to a heartbeat is executed or dropped before the worker's next regular heartbeat, but a
    // direct call may overtake it. Besides, a worker may execute commands of an earlier leader until it reports this
    // leader's token.
    this.taskStatuses.receive(machine, heartbeat, isRegular && hasCurrentToken, now);
    this.misplacedTasks.stopOn(machine);
  }

  /**
   * Whether the machine has come back without a new agent epoch, as its own heartbeat shows: it is older than one that the
   * machine has sent before, or it lacks a task that the machine has reported and was not told to forget. Its lease must
   * not be renewed then: with the next agent epoch, it is certain what runs there (docs/design.md, "Restarts"). To be
   * called before the heartbeat is received, and again afterwards.
   */
  hasRestarted(heartbeat: Heartbeat): boolean {
    const machine = this.cluster.machines.get(heartbeat.machine);
    if (machine === undefined || machine.agentEpoch === null) return false;
    if (heartbeat.agentEpoch !== machine.agentEpoch) return heartbeat.agentEpoch < machine.agentEpoch;
    if (heartbeat.sequence < machine.lastRegularSequence) return true;
    return heartbeat.sequence === machine.lastSequence && this.lacksReportedTask(machine, heartbeat);
  }

  /** Records that a restarted machine gets no response. Its lease began when its agent did, so it may last a whole lease. */
  recordRefusal({ machine: id }: Heartbeat): void {
    const machine = this.cluster.machines.get(id);
    if (machine !== undefined) machine.latestPossibleRenewalAt = this.term.context.clock.now();
  }

  private lacksReportedTask(machine: Machine, heartbeat: Heartbeat): boolean {
    const reported = new ReportedAttempts(heartbeat.tasks);
    for (const { job, task } of this.cluster.tasksOn(machine.id)) {
      const placement = job.placements.get(task);
      if (placement === undefined || placement.agentEpoch !== heartbeat.agentEpoch) continue;
      if (!REPORTED_STATES.includes(placement.state)) continue;
      if (reported.find(job.spec.id, task, placement.attempt) === undefined) return true;
    }
    return false;
  }

  /**
   * Records that a heartbeat is responded to with this leader's token, with or without commands. The controller that
   * forwarded it may renew the machine's lease without the leader for another `delegatedLeaseMs`.
   */
  recordResponse(heartbeat: Heartbeat, delegatedLeaseMs: number): void {
    const { clock, leadership } = this.term.context;
    const machine = this.cluster.machines.get(heartbeat.machine);
    if (machine === undefined) return;
    const now = clock.now();
    machine.latestPossibleRenewalAt =
      heartbeat.fencingToken >= leadership.fencingToken
        ? now
        : (Math.max(machine.latestPossibleRenewalAt, now) as MonotonicMs);
    machine.leaseDelegatedUntil = Math.max(
      machine.leaseDelegatedUntil,
      now + delegatedLeaseMs,
    ) as MonotonicMs;
  }

  /** The attributes that were known first are kept; placements are decided by them. */
  private logContradiction(machine: Machine, { type, zone, spot }: Heartbeat): void {
    if (machine.type === type && machine.zone === zone && machine.spot === spot) return;
    if (this.contradictoryMachines.has(machine)) return;
    this.contradictoryMachines.add(machine);
    const known = { type: machine.type, zone: machine.zone, spot: machine.spot };
    const reported = { type, zone, spot };
    this.term.context.log.error(
      { machine: machine.id, known, reported },
      'a machine reports other attributes than are known of it',
    );
  }

  private updateMachine(machine: Machine, heartbeat: Heartbeat, receivedAt: MonotonicMs): void {
    const { agentEpoch } = heartbeat;
    if (machine.agentEpoch === null || agentEpoch > machine.agentEpoch) {
      machine.directStarts.clear();
      machine.agentEpoch = agentEpoch;
      machine.lastRegularSequence = -1;
      this.cluster.removePlacementsOn(machine.id, 'newer session', agentEpoch);
    }
    machine.lastSequence = heartbeat.sequence;
    if (heartbeat.fencingToken > machine.fencingToken)
      machine.directStarts.discardBelow(heartbeat.fencingToken);
    machine.fencingToken = heartbeat.fencingToken;
    machine.address = heartbeat.address;
    machine.lastHeartbeatAt = receivedAt;
    machine.probesSent = 0;
    machine.probesUnanswered = 0;
  }

  private updateState(machine: Machine, now: MonotonicMs): void {
    if (machine.state === 'booting') {
      const { id, type, zone, spot } = machine;
      this.term.context.log.info({ machine: id, type, zone, spot }, 'machine up');
      this.cluster.emit('machineUp', machine);
      machine.idleSince = this.cluster.taskCountOn(id) > 0 ? null : now;
      machine.transitionTo('ready');
      this.cluster.emit('replanNeeded');
    } else if (machine.state === 'silent') {
      machine.transitionTo('ready');
      this.cluster.emit('replanNeeded');
    }
    if (machine.drainReason !== '' && machine.state === 'ready') machine.transitionTo('draining');
  }

  /** Drains a machine that the cloud is about to take back. */
  private onPreemptionNotice(machine: Machine, noticeS: number, now: MonotonicMs): void {
    machine.preemptionNoticeAt = now;
    machine.preemptionDeadline = addMs(now, noticeS * 1000);
    this.term.context.log.info({ machine: machine.id, noticeS }, 'preemption notice received');
    this.cluster.drainMachine(machine, 'notice');
    this.cluster.emit('replanNeeded');
  }

  /**
   * Stops the machine's services and gangs early enough to save checkpoints. Every heartbeat with a notice repeats this
   * for tasks that are not being stopped yet: a new leader may receive the first one before it has read the records.
   */
  private stopTasksBeforePreemption(machine: Machine, noticeS: number, now: MonotonicMs): void {
    let isAnyStopped = false;
    for (const { job, task } of [...this.cluster.tasksOn(machine.id)]) {
      if (job.placements.get(task)?.stopRequest !== null) continue;
      const graceS = job.spec.saveS + CHECKPOINT_MARGIN_S;
      if (job.spec.kind === 'service') job.requestStop(task, graceS, 'drained', now);
      else if (this.canSaveGang(job, noticeS, graceS, now)) this.cluster.stopGang(job, graceS, 'drained');
      else continue;
      isAnyStopped = true;
    }
    if (isAnyStopped) this.cluster.emit('commandsDue', machine.id);
  }

  private canSaveGang(job: Job, noticeS: number, graceS: number, now: MonotonicMs): boolean {
    if (job.spec.kind !== 'gang' || job.spec.checkpointS <= 0 || noticeS <= graceS) return false;
    if (job.gang?.state !== 'running') return true;
    return isWholeGangReachable(this.cluster, this.term.context.settings, job, now);
  }
}

/** Whether the heartbeat is the latest one received from its machine, or an older one. */
function isOutdated(heartbeat: Heartbeat, machine: Machine): boolean {
  if (machine.agentEpoch === null) return false;
  if (heartbeat.agentEpoch !== machine.agentEpoch) return heartbeat.agentEpoch < machine.agentEpoch;
  return heartbeat.sequence <= machine.lastSequence;
}
