/**
 * Sends commands to machines: in the responses to their heartbeats, and by direct calls.
 *
 * @module
 */
import type { DirectStarts, Machine } from '@spurbridge/model';
import type { FencingToken, Heartbeat, MachineId, WorkerCommand } from '@spurbridge/wire';
import { formatAttemptName } from '@spurbridge/wire';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { MachineQueues } from '../placement/machine-queues.js';
import type { CommandPolicy } from './command-planner.js';
import { CommandPlanner } from './command-planner.js';
import { MachineTokens } from './machine-tokens.js';

/** Maximum number of consecutive direct calls to one machine. */
const MAX_CALL_ROUNDS = 5;
/**
 * Maximum number of concurrent direct calls. A start that is not sent directly reaches its machine with the response to
 * the next heartbeat. Without the limit, calls to a thousand machines made a new leader lose its lease when two
 * thousand tasks were placed after a restart of all nodes.
 */
const MAX_CONCURRENT_CALLS = 16;

/** Receives the heartbeats in machines' responses to direct calls. */
export interface HeartbeatReceiver {
  /** Receives one heartbeat. */
  receiveHeartbeat(heartbeat: Heartbeat): void;
}

/** Sends each machine the commands that are due there, as soon as possible. */
export class CommandDispatcher {
  private readonly planner: CommandPlanner;
  private readonly tokens: MachineTokens;
  private concurrentCalls = 0;
  /** Machines that wait for a direct call with stops or with starts of services; they are called first. */
  private readonly urgent = new Set<MachineId>();
  private readonly waiting = new Set<MachineId>();

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    private readonly queues: MachineQueues,
    policy: CommandPolicy,
    private readonly receiver: HeartbeatReceiver,
  ) {
    this.planner = new CommandPlanner(term, cluster, policy);
    this.tokens = new MachineTokens(term);
    cluster.on('commandsDue', (machine) => {
      this.dispatch(machine);
    });
  }

  /**
   * The commands in the response to a heartbeat, or null if no response may be sent, because it would renew the
   * machine's lease (docs/design.md, "Renewals"). The response stops tasks that are known to be cancelled even if the
   * leader's own lease is not valid. Such a stop is safe, because a cancellation is final. It is also required: the
   * response renews the machine's lease, so a cancelled task that is not stopped could run beyond `cancel_s`.
   */
  commandsForResponse(heartbeat: Heartbeat): WorkerCommand[] | null {
    const machine = this.cluster.machines.get(heartbeat.machine);
    if (machine === undefined || machine.agentEpoch !== heartbeat.agentEpoch)
      return this.stopsForCancelledTasks(heartbeat);
    if (this.planner.mayStartCancelledTaskLate(machine)) return null;
    const holdsLease = this.term.context.leadership.holdsValidLease();
    if (holdsLease) {
      this.raiseTokenToForget(machine, heartbeat);
      this.queues.startFitting(machine.id);
      this.urgent.delete(machine.id);
      this.waiting.delete(machine.id);
    }
    const commands = [
      ...this.planner.commandsFor(machine, 'all'),
      ...this.planner.cleanupCommands(machine, heartbeat, this.tokens.tokenFor(machine)),
    ];
    return holdsLease ? commands : commands.filter((command) => this.planner.isStopOfCancelledTask(command));
  }

  /**
   * The stop commands for those tasks of a heartbeat whose jobs are cancelled. The leader's cluster state takes
   * precedence over the records read from the store.
   */
  stopsForCancelledTasks(heartbeat: Heartbeat): WorkerCommand[] {
    return this.planner.stopsForCancelledTasks(heartbeat);
  }

  /**
   * Calls a machine without commands, so that it knows its highest token although its heartbeats get no response: it may
   * have come back without it, and would execute copies of starts of tasks that were moved or cancelled.
   */
  announceToken(heartbeat: Heartbeat): void {
    const token = this.tokenForResponse(heartbeat);
    // A late copy of a heartbeat looks the same. Many may arrive at once, and a restarted machine sends further ones.
    if (heartbeat.fencingToken >= token || this.concurrentCalls >= MAX_CONCURRENT_CALLS) return;
    const { workerClient } = this.term.context;
    this.concurrentCalls += 1;
    workerClient
      .sendCommands(heartbeat.address, token, heartbeat.agentEpoch, [])
      .catch((error: unknown) => {
        this.logFailedCall(heartbeat.machine, error);
      })
      .finally(() => {
        this.concurrentCalls -= 1;
        this.dispatchWaiting();
      });
  }

  /** The fencing token of the response to a heartbeat. */
  tokenForResponse(heartbeat: Heartbeat): FencingToken {
    return this.tokens.tokenForResponse(heartbeat, this.cluster.machines.get(heartbeat.machine));
  }

  /** Whether tasks of cancelled jobs may be on the machine, or these commands stop such tasks. */
  hasCancelledTasks(machine: MachineId, commands: readonly WorkerCommand[]): boolean {
    return this.planner.hasCancelledTasks(machine, commands);
  }

  /**
   * Raises the machine's token if it is to forget an attempt that was started directly. Otherwise a copy of that start,
   * which may arrive at any time, would start the attempt again (docs/incidents/an-answered-start-came-again.md). While
   * a direct call is in progress, the machine would reject it if the response overtook it.
   */
  private raiseTokenToForget(machine: Machine, heartbeat: Heartbeat): void {
    if (machine.isSendingCommands) return;
    const token = this.tokens.tokenFor(machine);
    if (this.planner.needsHigherToken(machine, heartbeat, token)) this.tokens.raise(machine);
  }

  /** Sends the machine the commands that are due there, one call at a time, unless too many calls are in progress. */
  private dispatch(id: MachineId): void {
    const machine = this.cluster.machines.get(id);
    this.queues.evictStale(id);
    this.queues.startFitting(id);
    if (machine === undefined || !canBeCalled(machine)) return;
    if (this.concurrentCalls >= MAX_CONCURRENT_CALLS) {
      this.enqueue(machine);
      return;
    }
    machine.isSendingCommands = true;
    this.concurrentCalls += 1;
    this.callUntilDone(machine)
      .catch((error: unknown) => {
        this.logFailedCall(machine.id, error);
      })
      .finally(() => {
        machine.isSendingCommands = false;
        this.concurrentCalls -= 1;
        this.dispatchWaiting();
      });
  }

  private logFailedCall(machine: MachineId, error: unknown): void {
    this.term.context.log.error({ machine, error: String(error) }, 'direct call to the worker failed');
  }

  private enqueue(machine: Machine): void {
    const commands = this.planner.commandsFor(machine, 'unsent');
    if (commands.length === 0) return;
    const isUrgent = commands.some((command) => this.isUrgent(command));
    (isUrgent ? this.urgent : this.waiting).add(machine.id);
  }

  private isUrgent(command: WorkerCommand): boolean {
    return command.op === 'stop' || this.cluster.jobs.get(command.job)?.spec.kind === 'service';
  }

  private dispatchWaiting(): void {
    for (const machines of [this.urgent, this.waiting])
      for (const machine of machines) {
        if (!this.term.isActive || this.concurrentCalls >= MAX_CONCURRENT_CALLS) return;
        machines.delete(machine);
        this.dispatch(machine);
      }
  }

  private async callUntilDone(machine: Machine): Promise<void> {
    const { leadership, workerClient } = this.term.context;
    for (let round = 0; round < MAX_CALL_ROUNDS && this.term.isActive; round += 1) {
      const { agentEpoch } = machine;
      if (agentEpoch === null || !leadership.holdsValidLease()) return;
      const commands = this.planner.commandsFor(machine, 'unsent');
      if (commands.length === 0) return;
      const startKeys = startKeysOf(commands);
      // Each call voids the starts of earlier ones, so that the tasks that they started can be forgotten.
      if (machine.directStarts.size > 0) this.tokens.raise(machine);
      const token = this.tokens.tokenFor(machine);
      for (const key of startKeys) machine.directStarts.recordSent(key, token);
      const result = await workerClient.sendCommands(machine.address, token, agentEpoch, commands);
      if (!this.term.isActive) return;
      const isAnswered = result.outcome === 'executed' || result.outcome === 'rejected';
      this.term.workerReachability.recordCall(isAnswered);
      if (result.outcome === 'unknown') return;
      if (machine.agentEpoch === agentEpoch) recordOutcome(machine.directStarts, startKeys, result.outcome);
      if (result.outcome === 'unsent') return;
      leadership.observeToken(result.report.fencingToken);
      if (!this.term.isActive) return;
      // The report of a machine that rejected the commands shows a newer agent epoch, or the higher token that it has
      // received from this leader meanwhile; the next call takes it into account.
      this.receiver.receiveHeartbeat(result.report);
    }
  }
}

/** Records for each start of a call whether it may arrive again. */
function recordOutcome(
  starts: DirectStarts,
  keys: readonly string[],
  outcome: 'executed' | 'rejected' | 'unsent',
): void {
  for (const key of keys)
    if (outcome === 'executed') starts.recordExecuted(key);
    else starts.discard(key);
}

function canBeCalled(machine: Machine): boolean {
  if (machine.isSendingCommands || machine.address === '' || machine.agentEpoch === null) return false;
  return machine.state === 'ready' || machine.state === 'draining';
}

function startKeysOf(commands: readonly WorkerCommand[]): string[] {
  return commands
    .filter((command) => command.op === 'start')
    .map((command) => formatAttemptName(command.job, command.task, command.attempt));
}
