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
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { splitAddress, workerAddress } from './addresses.js';
import type { Meter } from './child.js';
import { handleOrders, notifyDriver } from './child.js';
import type { RunEvent } from './events.js';
import { jsonServer } from './json-server.js';
import type { CloudRole } from './messages.js';

/** Tasks of one CPU fit one machine this often, with a quarter to spare over the mean of the plan. */
export const MACHINE_CPUS = 20;
const MOST_LISTED = 500;
const LEAST_BOOT = 600;
const BOOT_SPAN = 900;
const BATCH_MS = 50;

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

/** A process that is the cloud of one region; its machines are up in the processes of workers, told through the driver. */
export async function runCloud(role: CloudRole, meter: Meter): Promise<void> {
  const generator = xoroshiro128plus(role.seed);
  const random = (below: number): number => (below <= 0 ? 0 : uniformInt(generator, 0, below - 1));
  const isUp = new Set<MachineId>();
  const type = machineType(role.zones);
  const time = new MonotonicTimeline();
  let gone: RunEvent[] = [];
  const cloud = new SimCloud(time, {
    types: [type],
    capacity: Math.ceil(role.machines / role.zones.length) + 1,
    listLagMs: role.listLagMs,
    random,
    bootMs: (t) => t.bootS * (LEAST_BOOT + random(BOOT_SPAN)),
    onMachineUp: (id, t, zone, spot) => {
      isUp.add(id);
      notifyDriver({ notice: 'up', machines: [{ id, type: t.name, zone, spot }] });
    },
    onMachineEnded: (id) => {
      gone.push({ kind: 'machineGone', at: time.now, machine: id });
      notifyDriver({ notice: 'ended', machines: [id] });
    },
    isMachineUp: (id) => isUp.has(id),
  });
  const app = jsonServer();
  app.get(PATHS.machineTypes, (_request, reply) => {
    meter.count('requests');
    return reply.send(formatMachineTypes(cloud.types));
  });
  app.post(PATHS.rentals, (request, reply) => {
    meter.count('requests');
    const outcome = cloud.rent(parseRentalRequest(request.body), 'controllers');
    if (outcome.outcome !== 'rented') return reply.code(503).send({ error: 'no capacity' });
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
  app.get<{ Querystring: { from?: string; most?: string } }>(PATHS.rentals, (request, reply) => {
    meter.count('requests');
    const { from = '', most = String(MOST_LISTED) } = request.query;
    const later = cloud.list().filter((m) => m.id > from);
    const page = later.slice(0, Math.min(MOST_LISTED, Number(most)));
    const listed = page.map((m) => ({ ...m, address: workerAddress(role.region, m.id) }));
    return reply.send(formatMachineList(listed, later.length > page.length));
  });
  await app.listen(splitAddress(role.listen));
  handleOrders((order) => {
    if (order.order === 'fail') for (const id of order.machines) cloud.failMachine(id);
    else if (order.order === 'read') notifyDriver({ notice: 'reading', reading: meter.read() });
  });
  setInterval(() => {
    const events = gone;
    gone = [];
    notifyDriver({ notice: 'events', events, until: time.now - 1 });
  }, BATCH_MS);
  stand(cloud, type, role);
  notifyDriver({ notice: 'ready' });
}

/** The fleet stands there from the start, spread over the zones. */
function stand(cloud: SimCloud, type: MachineType, role: CloudRole): void {
  for (let n = 0; n < role.machines; n += 1)
    cloud.addRunningMachine(type, role.zones[n % role.zones.length] as string);
}
