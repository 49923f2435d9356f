/**
 * Messages between workers and controllers of a simulated environment: heartbeats and direct commands.
 *
 * @module
 */
import { toHeartbeatResponse } from '@spurbridge/controller';
import type { CommandOutcome, WorkerClient } from '@spurbridge/controller';
import type { HeartbeatResult, HeartbeatSender, SimulatedWorker } from '@spurbridge/simulated-worker';
import type { AgentEpoch, FencingToken, Heartbeat, MachineId, WorkerCommand } from '@spurbridge/wire';
import { formatDirectCommands, formatHeartbeat, formatHeartbeatResponse } from '@spurbridge/wire';
import type { SimTime } from './clock.js';
import type { FaultInjector } from './fault-injector.js';
import type { HeartbeatReplay } from './heartbeat-replay.js';
import type { SimNetwork } from './network.js';
import type { NodeDirectory } from './sim-node.js';
import type { TrafficRecorder } from './traffic-recorder.js';

/** Timeout of a worker's heartbeat, in milliseconds. */
const HEARTBEAT_TIMEOUT_MS = 4000;
/** Time after which a machine that cannot open a connection detects it, in milliseconds. */
const CONNECTION_FAILURE_MS = 300;
const COMMAND_TIMEOUT_MS = 2000;
const STATUS_TIMEOUT_MS = 1500;

/** What the transport needs from the environment. */
export interface WorkerTransportOptions {
  readonly time: SimTime;
  readonly network: SimNetwork;
  readonly faults: FaultInjector;
  readonly directory: NodeDirectory;
  readonly replay: HeartbeatReplay;
  readonly workers: ReadonlyMap<MachineId, SimulatedWorker>;
  readonly recorder: TrafficRecorder;
}

/** A request with direct commands. */
interface DirectCommands {
  readonly token: FencingToken;
  readonly epoch: AgentEpoch;
  readonly commands: readonly WorkerCommand[];
}

/** Carries heartbeats to controllers and commands to workers, subject to the injected faults. */
export class WorkerTransport {
  constructor(private readonly options: WorkerTransportOptions) {}

  /** Sends a worker's heartbeat to a node; null if there was no response in time. */
  sendHeartbeat(
    worker: HeartbeatSender,
    node: string,
    heartbeat: Heartbeat,
  ): Promise<HeartbeatResult | null> {
    const { time, faults, replay, recorder } = this.options;
    recorder.record('heartbeat', worker.id, node, formatHeartbeat(heartbeat));
    return new Promise((resolve) => {
      time.after(HEARTBEAT_TIMEOUT_MS, () => {
        resolve(null);
      });
      const duplicateDelayMs = faults.duplicateHeartbeatDelayMs();
      if (duplicateDelayMs !== null)
        time.after(duplicateDelayMs, () => {
          replay.deliverCopy(node, heartbeat);
        });
      if (faults.shouldInject('replayedHeartbeats')) replay.keepForNextLeader(heartbeat);
      if (faults.outboundPartitioned.has(worker.id)) {
        time.after(CONNECTION_FAILURE_MS, () => {
          resolve(null);
        });
        return;
      }
      this.deliverHeartbeat(worker.id, node, heartbeat, resolve);
    });
  }

  /** The workers, as reached by the controller on this host. */
  clientFor(host: string): WorkerClient {
    return {
      sendCommands: (address, token, epoch, commands) =>
        this.sendCommands(host, address, token, epoch, commands),
      fetchHeartbeat: async (address) => this.fetchHeartbeat(host, address),
      closeConnection: () => undefined,
    };
  }

  private deliverHeartbeat(
    machine: MachineId,
    node: string,
    heartbeat: Heartbeat,
    respond: (response: HeartbeatResult) => void,
  ): void {
    const { network, faults, directory, recorder } = this.options;
    network.send(machine, node, () => {
      const target = directory.findRunning(node);
      if (target === null) return;
      void Promise.resolve(target.controller.handleHeartbeat(heartbeat)).then((outcome) => {
        const response = toHeartbeatResponse(outcome);
        recorder.record('heartbeat-response', node, machine, formatHeartbeatResult(response));
        if (!target.clock.alive || faults.inboundPartitioned.has(machine)) return;
        network.afterDelay(faults.responseDelaysMs.get(machine) ?? 0, () => {
          network.send(node, machine, () => {
            respond(response);
          });
        });
      });
    });
  }

  private async sendCommands(
    host: string,
    address: string,
    token: FencingToken,
    epoch: AgentEpoch,
    commands: readonly WorkerCommand[],
  ): Promise<CommandOutcome> {
    const { time, network, faults, workers, recorder } = this.options;
    const worker = workers.get(address as MachineId);
    recorder.record('commands', host, address, formatDirectCommands(token, epoch, commands));
    if (worker === undefined) return { outcome: 'unsent' };
    return new Promise((resolve) => {
      time.after(COMMAND_TIMEOUT_MS, () => {
        resolve({ outcome: 'unknown' });
      });
      const delay = faults.commandDelayMs();
      const respond = (isExecuted: boolean, report: Heartbeat): void => {
        recorder.record('commands-response', address, host, [isExecuted, formatHeartbeat(report)]);
        network.afterDelay(delay.responseMs, () => {
          network.send(address, host, () => {
            resolve({ outcome: isExecuted ? 'executed' : 'rejected', report });
          });
        });
      };
      network.afterDelay(delay.requestMs, () => {
        network.send(host, address, () => {
          if (faults.inboundPartitioned.has(worker.id)) return;
          worker.receiveCommands(token, epoch, commands, (isExecuted, report) => {
            if (isExecuted) this.repeatLater(worker.id, { token, epoch, commands });
            respond(isExecuted, report);
          });
        });
      });
    });
  }

  /** Delivers a copy of an executed request later, also if its sender has ended by then. */
  private repeatLater(machine: MachineId, { token, epoch, commands }: DirectCommands): void {
    const { time, faults, workers } = this.options;
    const delayMs = faults.commandRepeatDelayMs();
    if (delayMs === null) return;
    time.after(delayMs, () => {
      if (faults.inboundPartitioned.has(machine)) return;
      workers.get(machine)?.receiveCommands(token, epoch, commands, () => undefined);
    });
  }

  private fetchHeartbeat(host: string, address: string): Promise<Heartbeat | null> {
    const { network, faults, workers } = this.options;
    return network.call(host, address, STATUS_TIMEOUT_MS, () => {
      const worker = workers.get(address as MachineId);
      if (worker === undefined || faults.inboundPartitioned.has(worker.id)) return null;
      return worker.alive ? worker.makeHeartbeat() : null;
    });
  }
}

/** A response to a heartbeat as it is sent. */
function formatHeartbeatResult(result: HeartbeatResult): unknown {
  if (result.code === 200) return formatHeartbeatResponse(result.fencingToken, result.commands);
  return result.code === 421 ? [421, result.leader] : [503];
}
