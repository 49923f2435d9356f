/**
 * The helper process that simulates the cloud provider of one region.
 *
 * @module
 */
import { HTTP_STATUS, parseSocketAddress } from '@spurbridge/net';
import { MonotonicTimeline } from '@spurbridge/simulated-worker';
import { SimCloud } from '@spurbridge/testkit';
import type { MachineId, MachineType } from '@spurbridge/wire';
import {
  PATHS,
  formatMachineList,
  formatRentalResponse,
  formatMachineTypes,
  parseReleaseRequest,
  parseRentalRequest,
} from '@spurbridge/wire';
import type { FastifyInstance } from 'fastify';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { workerAddress } from './addresses.js';
import { handleOrders, notifyDriver } from './driver-channel.js';
import type { Meter } from './meter.js';
import type { RunEvent } from './events.js';
import { jsonServer } from './json-server.js';
import type { CloudRole } from './messages.js';

/** CPUs of one machine: a quarter more than the mean number of one-CPU tasks on a machine in the capacity plan. */
export const MACHINE_CPUS = 20;
const MAX_LISTED = 500;
/** Boot times are drawn from 0.6 to 1.5 times `bootS` of the type: milliseconds per second of `bootS`. */
const MIN_BOOT_MS_PER_S = 600;
const BOOT_SPAN_MS_PER_S = 900;
const EVENT_BATCH_INTERVAL_MS = 50;

/** The only machine type of a run, offered in the given zones. */
export function machineType(zones: readonly string[]): MachineType {
  return {
    name: 'w20',
    cpus: MACHINE_CPUS,
    gpus: 0,
    memoryGb: 64,
    cacheGb: 40,
    fetchGbPerS: 1,
    price: 0.8,
    spotPrice: 0.3,
    bootS: 20,
    zones,
  };
}

interface ListQuery {
  readonly from?: string;
  readonly most?: string;
}

/** A simulated cloud provider behind the HTTP interface of the real one. */
class CloudServer {
  readonly app: FastifyInstance = jsonServer();
  private readonly time = new MonotonicTimeline();
  private readonly bootedMachines = new Set<MachineId>();
  private readonly type: MachineType;
  private readonly generator;
  private readonly cloud: SimCloud;
  private events: RunEvent[] = [];

  constructor(
    private readonly role: CloudRole,
    private readonly meter: Meter,
  ) {
    this.generator = xoroshiro128plus(role.seed);
    this.type = machineType(role.zones);
    this.cloud = this.createCloud();
    this.registerRoutes();
  }

  private random(below: number): number {
    return below <= 0 ? 0 : uniformInt(this.generator, 0, below - 1);
  }

  private createCloud(): SimCloud {
    const { machines, zones, listLagMs } = this.role;
    return new SimCloud(this.time, {
      types: [this.type],
      capacity: Math.ceil(machines / zones.length) + 1,
      listLagMs,
      random: (below) => this.random(below),
      bootMs: (type) => type.bootS * (MIN_BOOT_MS_PER_S + this.random(BOOT_SPAN_MS_PER_S)),
      onMachineUp: (id, type, zone, spot) => {
        this.bootedMachines.add(id);
        notifyDriver({ notice: 'up', machines: [{ id, type: type.name, zone, spot }] });
      },
      onMachineEnded: (id) => {
        this.events.push({ kind: 'machineGone', at: this.time.now, machine: id });
        notifyDriver({ notice: 'ended', machines: [id] });
      },
      isMachineUp: (id) => this.bootedMachines.has(id),
    });
  }

  private registerRoutes(): void {
    const { app, cloud, meter } = this;
    app.get(PATHS.machineTypes, (_request, reply) => {
      meter.count('requests');
      return reply.send(formatMachineTypes(cloud.types));
    });
    app.post(PATHS.rentals, (request, reply) => {
      meter.count('requests');
      const outcome = cloud.rent(parseRentalRequest(request.body), 'controllers');
      if (outcome.outcome !== 'rented')
        return reply.code(HTTP_STATUS.unavailable).send({ error: 'no capacity' });
      meter.count('rented', outcome.machines.length);
      return reply.send(formatRentalResponse(outcome.machines));
    });
    app.post(PATHS.release, (request, reply) => {
      meter.count('requests');
      const names = parseReleaseRequest(request.body);
      meter.count('released', names.length);
      cloud.release(names);
      return reply.send({});
    });
    app.get<{ Querystring: ListQuery }>(PATHS.rentals, (request, reply) => {
      meter.count('requests');
      return reply.send(this.listPage(request.query));
    });
  }

  private listPage({ from = '', most = String(MAX_LISTED) }: ListQuery): unknown {
    const later = this.cloud.list().filter((machine) => machine.id > from);
    const page = later.slice(0, Math.min(MAX_LISTED, Number(most)));
    const listed = page.map((machine) => ({
      ...machine,
      address: workerAddress(this.role.region, machine.id),
    }));
    return formatMachineList(listed, later.length > page.length);
  }

  /** Makes the machines fail at once. */
  failMachines(machines: readonly MachineId[]): void {
    for (const id of machines) this.cloud.failMachine(id);
  }

  /** Sends the events since the previous call to the driver. */
  flushEvents(): void {
    const { events } = this;
    this.events = [];
    notifyDriver({ notice: 'events', events, until: this.time.now - 1 });
  }

  /** Adds the machines that run from the beginning, spread over the zones. */
  addInitialMachines(): void {
    const { machines, zones } = this.role;
    for (let n = 0; n < machines; n += 1)
      this.cloud.addRunningMachine(this.type, zones[n % zones.length] as string);
  }
}

/** Runs the cloud provider of one region in this process. The driver starts its machines in the worker processes. */
export async function runCloud(role: CloudRole, meter: Meter): Promise<void> {
  const server = new CloudServer(role, meter);
  await server.app.listen(parseSocketAddress(role.listen));
  handleOrders((order) => {
    if (order.order === 'fail') server.failMachines(order.machines);
    else if (order.order === 'read') notifyDriver({ notice: 'reading', reading: meter.read() });
  });
  setInterval(() => {
    server.flushEvents();
  }, EVENT_BATCH_INTERVAL_MS);
  server.addInitialMachines();
  notifyDriver({ notice: 'ready' });
}
