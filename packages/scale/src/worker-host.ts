/**
 * The helper process that hosts simulated workers.
 *
 * @module
 */
import type { Server } from 'node:http';
import { createServer } from 'node:http';
import type {
  HeartbeatResult,
  HeartbeatSender,
  TaskObserver,
  WorkerHost,
} from '@spurbridge/simulated-worker';
import { GangRegistry, SimulatedWorker, MonotonicTimeline } from '@spurbridge/simulated-worker';
import { HTTP_STATUS, JsonClient, NoResponseError, parseSocketAddress } from '@spurbridge/net';
import type { JobId, MachineId, Heartbeat } from '@spurbridge/wire';
import {
  PATHS,
  formatHeartbeat,
  parseDirectCommands,
  parseRedirect,
  parseHeartbeatResponse,
} from '@spurbridge/wire';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { workerAddress } from './addresses.js';
import { handleOrders, notifyDriver } from './driver-channel.js';
import type { Meter } from './meter.js';
import { machineType } from './cloud-server.js';
import type { RunEvent } from './events.js';
import { jsonServer } from './json-server.js';
import type { MachineUp, WorkersRole } from './messages.js';
import { Workload } from './workload.js';

/** Timeout of a heartbeat. */
const RESPONSE_TIMEOUT_MS = 4000;
const EVENT_BATCH_INTERVAL_MS = 50;
/** Maximum age of an event when it is recorded. The expiry of a lease is detected with a delay. */
const MAX_EVENT_DELAY_MS = 400;

/** Buffers the events of tasks until they are sent to the driver. */
class EventLog implements TaskObserver {
  private events: RunEvent[] = [];
  private readonly doneTasks = new Set<string>();
  killedByLease = 0;

  constructor(private readonly time: MonotonicTimeline) {}

  taskStarted: TaskObserver['taskStarted'] = (job, task, attempt, at) => {
    this.events.push({ kind: 'started', at: this.time.now, job: job.id, task, attempt, ...at });
  };

  taskStopped(job: JobId, task: number, machine: MachineId, isDone: boolean, atMs = this.time.now): void {
    this.events.push({ kind: 'left', at: atMs, job, task, machine, done: isDone });
    if (isDone) this.doneTasks.add(`${job}/${task}`);
  }

  gangCompleted: TaskObserver['gangCompleted'] = (job, attempt) => {
    this.events.push({ kind: 'completed', at: this.time.now, job: job.id, attempt });
    for (let task = 0; task < job.tasks; task += 1) this.doneTasks.add(`${job.id}/${task}`);
  };

  isTaskDone(job: JobId, task: number): boolean {
    return this.doneTasks.has(`${job}/${task}`);
  }

  flush(): void {
    const { events } = this;
    this.events = [];
    notifyDriver({ notice: 'events', events, until: this.time.now - MAX_EVENT_DELAY_MS });
  }
}

/** The simulated workers of this process. Each has its own address and connections. */
class SimulatedWorkers {
  private readonly time = new MonotonicTimeline();
  private readonly log = new EventLog(this.time);
  private readonly workers = new Map<MachineId, SimulatedWorker>();
  private readonly byHost = new Map<string, SimulatedWorker>();
  private readonly servers = new Map<MachineId, Server>();
  /** The connection on which each worker sends heartbeats, and the node to which it leads. */
  private readonly heartbeatConnections = new Map<
    MachineId,
    { readonly node: string; readonly client: JsonClient }
  >();
  private readonly generator;
  private readonly host: WorkerHost;
  private readonly app: FastifyInstance = jsonServer();

  constructor(
    private readonly role: WorkersRole,
    private readonly meter: Meter,
  ) {
    this.generator = xoroshiro128plus((role.workload.seed + process.pid) | 0);
    const workload = new Workload(role.workload);
    this.host = {
      time: this.time,
      observer: this.log,
      nodes: role.nodes.map((node) => node.name),
      ...role.times,
      gangs: new GangRegistry(() => this.workers.values()),
      random: (below) => (below <= 0 ? 0 : uniformInt(this.generator, 0, below - 1)),
      findJob: (id) => workload.find(id),
      listTasks: (tasks) => tasks,
      taskFails: () => false,
      taskRunMs: (job, task) => workload.runMs(job, task),
      addressOf: (id) => workerAddress(role.region, id),
      sendHeartbeat: (worker, node, heartbeat) => this.sendHeartbeat(worker, node, heartbeat),
    };
    this.registerRoutes();
  }

  async run(): Promise<void> {
    await this.app.ready();
    setInterval(() => {
      this.log.flush();
    }, EVENT_BATCH_INTERVAL_MS);
    handleOrders((order) => {
      if (order.order === 'up') for (const machine of order.machines) this.start(machine);
      else if (order.order === 'end') for (const id of order.machines) this.stop(id);
      else if (order.order === 'read') {
        const reading = this.meter.read();
        const counts = { ...reading.counts, killedByLease: this.log.killedByLease };
        notifyDriver({ notice: 'reading', reading: { ...reading, counts, tasks: this.tasks } });
      }
    });
    notifyDriver({ notice: 'ready' });
  }

  private get tasks(): number {
    let sum = 0;
    for (const worker of this.workers.values()) sum += worker.occupyingTasks().length;
    return sum;
  }

  private start(machine: MachineUp): void {
    const { host, port } = parseSocketAddress(workerAddress(this.role.region, machine.id));
    const server = createServer((request, response) => {
      this.app.routing(request, response);
    });
    server.keepAliveTimeout = 120_000;
    server.listen(port, host, () => {
      const worker = new SimulatedWorker(machine.id, machineType([]), machine.zone, machine.spot, this.host);
      this.workers.set(machine.id, worker);
      this.byHost.set(host, worker);
    });
    this.servers.set(machine.id, server);
  }

  /** Ends a machine like a power failure: its tasks are killed and its connections are closed. */
  private stop(id: MachineId): void {
    this.workers.get(id)?.die();
    this.workers.delete(id);
    this.heartbeatConnections.get(id)?.client.close();
    this.heartbeatConnections.delete(id);
    this.byHost.delete(parseSocketAddress(workerAddress(this.role.region, id)).host);
    const server = this.servers.get(id);
    server?.close();
    server?.closeAllConnections();
    this.servers.delete(id);
  }

  private registerRoutes(): void {
    this.app.post(PATHS.commands, (request, reply) => {
      const worker = this.targetWorker(request);
      if (worker === undefined) return reply.code(HTTP_STATUS.unavailable).send({});
      const { fencingToken, agentEpoch, commands } = parseDirectCommands(request.body);
      this.meter.count('commands');
      worker.receiveCommands(fencingToken, agentEpoch, commands, (isExecuted, heartbeat) => {
        void reply.code(isExecuted ? HTTP_STATUS.ok : HTTP_STATUS.conflict).send(formatHeartbeat(heartbeat));
      });
      return reply;
    });
    this.app.get(PATHS.show, (request, reply: FastifyReply) => {
      const worker = this.targetWorker(request);
      this.meter.count('shows');
      return worker === undefined
        ? reply.code(HTTP_STATUS.unavailable).send({})
        : reply.send(formatHeartbeat(worker.makeHeartbeat()));
    });
  }

  private targetWorker(request: FastifyRequest): SimulatedWorker | undefined {
    return this.byHost.get(request.socket.localAddress ?? '');
  }

  private heartbeatClient(id: MachineId, node: string): JsonClient {
    const connection = this.heartbeatConnections.get(id);
    if (connection?.node === node) return connection.client;
    connection?.client.close();
    const address = this.role.nodes.find((candidate) => candidate.name === node)?.address ?? '';
    const client = new JsonClient(address, 1);
    this.heartbeatConnections.set(id, { node, client });
    return client;
  }

  private async sendHeartbeat(
    worker: HeartbeatSender,
    node: string,
    heartbeat: Heartbeat,
  ): Promise<HeartbeatResult | null> {
    const sentAt = this.time.now;
    this.meter.count('reports');
    try {
      const response = await this.heartbeatClient(worker.id, node).call(
        'POST',
        PATHS.heartbeat,
        formatHeartbeat(heartbeat),
        RESPONSE_TIMEOUT_MS,
      );
      this.meter.latency('report', this.time.now - sentAt);
      switch (response.status) {
        case 200:
          return { code: 200, ...parseHeartbeatResponse(response.body) };
        case 421:
          this.meter.count('redirects');
          return { code: 421, leader: parseRedirect(response.body) ?? '' };
        default:
          this.meter.count('refusals');
          return { code: 503 };
      }
    } catch (error) {
      if (!(error instanceof NoResponseError)) throw error;
      this.meter.count('unanswered');
      return null;
    }
  }
}

/** Runs simulated workers in this process. */
export async function runWorkers(role: WorkersRole, meter: Meter): Promise<void> {
  await new SimulatedWorkers(role, meter).run();
}
