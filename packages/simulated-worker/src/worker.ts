/**
 * A simulated worker. It implements the protocol's fencing tokens, epochs, lease, images and gangs, but its tasks
 * are timers. The same code runs in simulated time and on the machine's clock.
 *
 * @module
 */
import type {
  AgentEpoch,
  FencingToken,
  Heartbeat,
  JobId,
  JobSpec,
  MachineId,
  MachineType,
  WorkerCommand,
} from '@spurbridge/wire';
import type { AgentMemory } from './agent-state.js';
import { AgentState, NEW_AGENT } from './agent-state.js';
import type { GangWorker } from './gangs.js';
import { HeartbeatLoop } from './heartbeat-loop.js';
import { TaskRunner } from './task-runner.js';
import type { WorkerHost } from './worker-host.js';
import type { WorkerTask } from './worker-task.js';

/** One machine with its agent and its tasks. */
export class SimulatedWorker implements GangWorker {
  /** When the cloud provider preempts the machine, in milliseconds; null without a preemption notice. */
  preemptionAtMs: number | null = null;
  private readonly agent: AgentState;
  private readonly heartbeats: HeartbeatLoop;
  private readonly tasks: TaskRunner;

  constructor(
    readonly id: MachineId,
    readonly type: MachineType,
    readonly zone: string,
    readonly spot: boolean,
    private readonly host: WorkerHost,
    memory = NEW_AGENT,
  ) {
    this.agent = new AgentState({
      time: host.time,
      leaseMs: host.leaseMs,
      memory,
      onLeaseEnded: (atMs) => {
        host.observer.killedByLease += this.tasks.clear(atMs);
      },
    });
    const { agent } = this;
    this.tasks = new TaskRunner({
      host,
      agent,
      type,
      placement: { machine: id, zone, type: type.name, spot },
      onChange: () => {
        this.heartbeats.sendSoon();
      },
    });
    this.heartbeats = new HeartbeatLoop({
      host,
      agent,
      sender: this,
      makeHeartbeat: () => this.makeHeartbeat(),
      execute: (commands) => {
        this.tasks.execute(commands);
      },
    });
    this.heartbeats.start();
  }

  /** Whether the machine is up. */
  get alive(): boolean {
    return this.agent.alive;
  }

  /** What its agent remembers now. */
  get memory(): AgentMemory {
    return this.agent.memory;
  }

  /** Whether the machine hangs. */
  get isHanging(): boolean {
    return this.agent.isHanging;
  }

  /** The highest fencing token that the agent has seen. */
  get highestFencingToken(): number {
    return this.agent.fencingToken;
  }

  /** Index of the node that receives the heartbeats, in the order of the host's nodes. */
  get heartbeatNodeIndex(): number {
    return this.heartbeats.nodeIndex;
  }

  /** While true, every task that starts here fails. */
  get failsAllTasks(): boolean {
    return this.tasks.failsAllTasks;
  }

  set failsAllTasks(fails: boolean) {
    this.tasks.failsAllTasks = fails;
  }

  /** The tasks that use the machine's resources, including those that fetch their image. */
  occupyingTasks(): readonly WorkerTask[] {
    return this.tasks.occupying;
  }

  /** Ends the machine and kills all its tasks. */
  die(): void {
    this.agent.alive = false;
    this.tasks.clear(this.host.time.now);
  }

  /** Suspends the machine until it is resumed. */
  hang(): void {
    this.agent.hang();
  }

  /** Resumes the machine. If its lease expired meanwhile, its tasks are killed. */
  resume(): void {
    this.agent.resume();
  }

  /**
   * The state of the machine and its tasks; each call creates a new heartbeat with the next sequence number.
   */
  makeHeartbeat(): Heartbeat {
    const { host, agent, preemptionAtMs } = this;
    const sequence = agent.nextSequence();
    return {
      machine: this.id,
      address: host.addressOf(this.id),
      type: this.type.name,
      zone: this.zone,
      spot: this.spot,
      agentEpoch: agent.epoch as AgentEpoch,
      sequence,
      fencingToken: agent.fencingToken as FencingToken,
      preemptionNoticeS:
        preemptionAtMs === null ? null : Math.max(0, (preemptionAtMs - host.time.now) / 1000),
      tasks: host.listTasks(this.tasks.all).map(({ job, task, attempt, phase, cause, saved }) => ({
        job: job.id,
        task,
        attempt,
        phase,
        cause,
        saved,
      })),
    };
  }

  /** Executes a controller's direct commands; `respond` is called once they were executed or rejected. */
  receiveCommands(
    token: number,
    epoch: number,
    commands: readonly WorkerCommand[],
    respond: (isExecuted: boolean, heartbeat: Heartbeat) => void,
  ): void {
    const { agent } = this;
    agent.act(() => {
      const isValid = token >= agent.fencingToken && epoch === agent.epoch;
      if (isValid) {
        this.heartbeats.observeToken(token);
        this.tasks.execute(commands);
      }
      respond(isValid, this.makeHeartbeat());
    });
  }

  attemptOf(job: JobId, task: number): WorkerTask | null {
    return this.tasks.find(job, task) ?? null;
  }

  runGangTask(job: JobSpec, task: number): void {
    this.tasks.run(job, task);
  }

  finishCheckpoint(job: JobSpec, task: number): void {
    this.tasks.finishCheckpoint(job, task);
  }
}
