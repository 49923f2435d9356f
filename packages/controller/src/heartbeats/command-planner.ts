/**
 * Decides which start, stop and forget commands a machine needs.
 *
 * @module
 */
import type { Job, Machine, Placement } from '@spurbridge/model';
import { violatedFixedTerm } from '@spurbridge/model';
import { addMs } from '@spurbridge/net';
import type { FencingToken, Heartbeat, JobId, MachineId, TaskStatus, WorkerCommand } from '@spurbridge/wire';
import { formatAttemptName, formatTaskName } from '@spurbridge/wire';
import type { ClusterState, PlacedTask } from '../jobs/cluster-state.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import { isGangStartDelayed } from '../placement/gang-scheduling.js';
import { maxRenewalStalenessMs } from '../settings.js';
import { stopsForCancelledTasks } from './cancelled-tasks.js';

/** Which commands are allowed while the records are being reconciled with the machines. */
export interface CommandPolicy {
  /** Whether the tasks that run on the machines are known; before that, only tasks of cancelled jobs are stopped. */
  readonly mayIssueCommands: boolean;
  /**
   * Whether no unconfirmed machine can be running tasks of the job. Otherwise a repeated start could run a task twice.
   */
  mayPlaceJob(job: Job): boolean;
}

/**
 * - `unsent`: for a direct call, without commands that were sent and are not confirmed yet.
 * - `all`: for the response to a heartbeat, which repeats all commands that have not taken effect.
 */
export type CommandSelection = 'unsent' | 'all';

/** Derives the commands for a machine from the cluster's state. */
export class CommandPlanner {
  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    private readonly policy: CommandPolicy,
  ) {}

  /** The starts and stops that are due on a machine. */
  commandsFor(machine: Machine, selection: CommandSelection): WorkerCommand[] {
    const commands: WorkerCommand[] = [];
    for (const placedTask of this.cluster.tasksOn(machine.id)) {
      const placement = currentPlacement(placedTask, machine);
      if (placement === null) continue;
      const { job } = placedTask;
      if (placement.stopRequest !== null)
        commands.push(...this.stopCommands(machine, job, placement, selection));
      else if (this.isStartDue(machine, job, placement, selection))
        commands.push({ op: 'start', ...attemptOf(job, placement) });
    }
    return commands;
  }

  /**
   * Forget commands for exited tasks whose end is durable, and stop commands for tasks that no record places on the
   * machine, for a response under this token.
   */
  cleanupCommands(machine: Machine, heartbeat: Heartbeat, token: FencingToken): WorkerCommand[] {
    const commands: WorkerCommand[] = [];
    for (const status of heartbeat.tasks) {
      if (this.isPlacedOn(machine, status)) continue;
      const { job, task, attempt } = status;
      if (status.phase !== 'exited') {
        if (!this.policy.mayIssueCommands && this.recordedPhaseOf(job) !== 'cancelled') continue;
        this.logUnplacedTask(machine, status);
        commands.push({ op: 'stop', job, task, attempt, graceS: 0 });
      } else if (this.mayForget(status) && !mayStartAgain(machine, status, token))
        commands.push({ op: 'forget', job, task, attempt });
    }
    return commands;
  }

  /** Whether an exited task could be forgotten only in a response under a higher token than this one. */
  needsHigherToken(machine: Machine, heartbeat: Heartbeat, token: FencingToken): boolean {
    return heartbeat.tasks.some(
      (status) =>
        status.phase === 'exited' &&
        mayStartAgain(machine, status, token) &&
        !this.isPlacedOn(machine, status) &&
        this.mayForget(status),
    );
  }

  /**
   * The stop commands for those tasks of a heartbeat whose jobs are cancelled. The leader's cluster state takes
   * precedence over the recorded phase.
   */
  stopsForCancelledTasks(heartbeat: Heartbeat): WorkerCommand[] {
    return stopsForCancelledTasks(heartbeat, (job) => this.phaseOf(job));
  }

  /** Whether the command stops a task of a cancelled job. */
  isStopOfCancelledTask(command: WorkerCommand): boolean {
    return command.op === 'stop' && this.phaseOf(command.job) === 'cancelled';
  }

  /** Whether tasks of cancelled jobs may be on the machine, or these commands stop such tasks. */
  hasCancelledTasks(machine: MachineId, commands: readonly WorkerCommand[]): boolean {
    for (const { job } of this.cluster.tasksOn(machine)) if (job.state === 'cancelled') return true;
    return commands.some((command) => this.isStopOfCancelledTask(command));
  }

  /**
   * Whether a direct start of a cancelled task, which the machine has never reported, may still be in flight and arrive
   * after the stop in this response. Such a start was once delayed by a partition between this controller and a machine
   * whose heartbeats other controllers forwarded, and the task ran after `cancel_s`. Once such a start is too old, the
   * machine's lease is not renewed, so that its agent epoch ends.
   */
  mayStartCancelledTaskLate(machine: Machine): boolean {
    if (!machine.directStarts.hasUnanswered) return false;
    const { clock, settings } = this.term.context;
    for (const placedTask of this.cluster.tasksOn(machine.id)) {
      const { job, task } = placedTask;
      if (job.state !== 'cancelled') continue;
      const placement = job.placements.get(task);
      if (placement === undefined || placement.agentEpoch !== machine.agentEpoch) continue;
      if (!isUnconfirmedStart(machine, job, placement)) continue;
      if (job.cancelledAfter === null) return true;
      if (clock.now() > addMs(job.cancelledAfter, maxRenewalStalenessMs(settings))) return true;
    }
    return false;
  }

  private stopCommands(
    machine: Machine,
    job: Job,
    placement: Placement,
    selection: CommandSelection,
  ): WorkerCommand[] {
    if (placement.stopRequest === null) return [];
    const { graceS, reason } = placement.stopRequest;
    const commands: WorkerCommand[] = [];
    // The direct start of the task is not confirmed and may arrive at any time. If the response contained only the
    // stop, the machine would not know the attempt and would not report its exit. The controller could not tell during
    // this agent epoch that the task will not run, and its job would wait forever. With both the start and the stop in
    // one response, the machine knows the attempt and reports its end.
    if (selection === 'all' && job.state === 'active' && isUnconfirmedStart(machine, job, placement))
      commands.push({ op: 'start', ...attemptOf(job, placement) });
    // A second stop would interrupt a task that is saving a checkpoint.
    const isSaving = placement.state === 'saving' && reason !== 'cancelled';
    if (!isSaving && placement.state !== 'intended')
      commands.push({ op: 'stop', ...attemptOf(job, placement), graceS });
    return commands;
  }

  private isStartDue(machine: Machine, job: Job, placement: Placement, selection: CommandSelection): boolean {
    if (placement.state !== 'starting' || job.state !== 'active') return false;
    if (!this.policy.mayIssueCommands || !this.policy.mayPlaceJob(job)) return false;
    // A restored intent may be that of a version whose plans ignored a term.
    if (violatedFixedTerm(job.spec, machine) !== null) return false;
    if (isGangStartDelayed(this.cluster, this.term.context.settings, job, placement)) return false;
    return selection === 'all' || !isUnconfirmedStart(machine, job, placement);
  }

  /**
   * A task that no record places on its machine was started by a delayed or repeated message. `heartbeatToken` is the
   * fencing token that the machine has shown; a command that carried a lower one cannot arrive there any more.
   */
  private logUnplacedTask(machine: Machine, { job, task, attempt, phase }: TaskStatus): void {
    this.term.context.log.info(
      {
        task: formatTaskName(job, task),
        attempt,
        phase,
        machine: machine.id,
        heartbeatToken: machine.fencingToken,
      },
      'stopping a task that no record places on its machine',
    );
  }

  /** Whether the records place this very attempt on the machine. */
  private isPlacedOn(machine: Machine, { job, task, attempt }: TaskStatus): boolean {
    const placement = this.cluster.jobs.get(job)?.placements.get(task);
    return (
      placement !== undefined &&
      placement.machine === machine.id &&
      placement.agentEpoch === machine.agentEpoch &&
      placement.attempt === attempt
    );
  }

  private mayForget({ job: id, task }: TaskStatus): boolean {
    if (!this.policy.mayIssueCommands) return false;
    const job = this.cluster.jobs.get(id);
    if (job === undefined || task >= job.spec.tasks) return true;
    // The record of a closing job still places its last tasks; the next leader would start a forgotten one again.
    return job.state === 'done' || job.state === 'cancelled' || job.isDurable(task);
  }

  private phaseOf(job: JobId): string | null {
    return this.cluster.jobs.get(job)?.state ?? this.recordedPhaseOf(job);
  }

  private recordedPhaseOf(job: JobId): string | null {
    return this.term.context.storeIntegrity.jobPhaseOf(job);
  }
}

/** The placement of a task on this machine in its current agent epoch, or null if it has none. */
function currentPlacement({ job, task }: PlacedTask, machine: Machine): Placement | null {
  const placement = job.placements.get(task);
  if (placement === undefined || placement.machine !== machine.id) return null;
  return placement.agentEpoch === machine.agentEpoch ? placement : null;
}

/**
 * Whether a copy of a direct start would start the attempt again if it were forgotten in a response under this token.
 * The worker records the token before it executes the commands, and rejects every start with a lower one from then on.
 */
function mayStartAgain(machine: Machine, { job, task, attempt }: TaskStatus, token: FencingToken): boolean {
  return machine.directStarts.mayArriveUnder(token, formatAttemptName(job, task, attempt));
}

/** Whether the task was started directly, and the machine has neither confirmed the call nor reported the task. */
function isUnconfirmedStart(machine: Machine, job: Job, { state, task, attempt }: Placement): boolean {
  return (
    state === 'starting' && machine.directStarts.isUnanswered(formatAttemptName(job.spec.id, task, attempt))
  );
}

function attemptOf(job: Job, { task, attempt }: Placement): Pick<TaskStatus, 'job' | 'task' | 'attempt'> {
  return { job: job.spec.id, task, attempt };
}
