import { fitsMachineType } from '@spurbridge/model';
import type { JobSpec, MachineId, MachineType } from '@spurbridge/wire';
import { scaleOutForBurst } from './burst-rate.js';
import type { UnplacedDemand } from '../scheduling/index.js';
import { ScaleOutRequests } from './scale-out-requests.js';
import { SpareCapacity } from './spare-capacity.js';

export interface FleetMachine {
  readonly id: MachineId;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly isBooting: boolean;
  /** May be given back when it is not needed. */
  readonly canScaleIn: boolean;
  readonly idleS: number;
  readonly usedCpus: number;
  readonly usedGpus: number;
  readonly isSchedulable: boolean;
  readonly images: ReadonlyMap<string, number>;
  /** Services' tasks on it. */
  readonly replicas: readonly Replica[];
  readonly usedMemoryGb: number;
  /** Of that, what cannot be stopped for a service: services and gangs. */
  readonly nonPreemptibleCpus: number;
  readonly nonPreemptibleMemoryGb: number;
  /** Nothing on it started or was stopped lately, and nothing on it keeps it from being drained. */
  readonly isStable: boolean;
}

/** A service's task, as far as moving it goes. */
export interface Replica {
  readonly cpus: number;
  readonly memoryGb: number;
  readonly gpus: number;
  readonly spot: boolean;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  /** A move must not wait for its image: only machines that hold it will do. */
  readonly image: string;
  /** What binds the zones of a job's replicas, shared by them all; null when nothing does. */
  readonly zoneSpread: ZoneSpread | null;
}

/** The zones that a job's tasks hold, and what they must keep to. */
export interface ZoneSpread {
  readonly replicasByZone: ReadonlyMap<string, number>;
  /** At most this many in one zone. */
  readonly maxPerZone: number;
  readonly oneZone: boolean;
}

/** Whether one of a job's replicas may move between zones. */
function canMoveZone(b: ZoneSpread, from: string, to: string): boolean {
  if (from === to) return true;
  if (b.oneZone)
    return b.replicasByZone.size === 0 || (b.replicasByZone.size === 1 && b.replicasByZone.get(from) === 1);
  return (b.replicasByZone.get(to) ?? 0) < b.maxPerZone;
}

export interface FleetPolicy {
  /** An empty machine is kept this long. */
  readonly scaleInIdleS: number;
  /** CPUs, in use or free, that the recent past says will be needed. */
  readonly targetCpus: number;
  readonly targetOnDemandCpus: number;
  /** In a burst, the CPUs that would keep up with the arrays that arrive; 0: they come as usual. */
  readonly burstCpus: number;
  /** Whether services spread over the zones: spare ordinary room is kept in more than one. */
  readonly spreadsServices: boolean;
  /** Whether money is weighed against speed: spare machines go back, and dear ones are a last resort. */
  readonly isCostAware: boolean;
  /** Whether to look for a machine that can be emptied: that is dear, and need not be done each time. */
  readonly isConsolidating: boolean;
  /** As many machines as the controller looks after with ease: beyond half of it, larger ones are preferred. */
  readonly manageableMachines: number;
  /** Work that would start within this share of a machine's boot time is left to the queue. */
  readonly minQueueBootShare: number;
}

export interface FleetInput {
  readonly types: readonly MachineType[];
  readonly machines: readonly FleetMachine[];
  readonly unplacedDemand: readonly UnplacedDemand[];
  readonly policy: FleetPolicy;
  /** False while a type, zone and kind was lately refused for want of capacity. */
  readonly hasCapacity: (type: string, zone: string, spot: boolean) => boolean;
}

export interface ScaleOutRequest {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

export interface FleetPlan {
  readonly scaleOut: readonly ScaleOutRequest[];
  readonly scaleIn: readonly MachineId[];
  /** A machine whose replicas fit elsewhere: it is drained so that it can go back. */
  readonly drain: MachineId | null;
}

interface IncomingMachine {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** Seconds until it should be up. */
  readonly readyInS: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** A machine that should be up already is expected within this share of its boot time. */
const LEAST_BOOT_SHARE = 0.1;
/** Owners' estimates are off: tasks one after another are taken to need this much longer. */
const IN_TURN = 1.2;

/**
 * How many of the job's tasks one place on a machine can run one after another before its deadline.
 * Renting a place for each waiting task bought twice the machines that a start with none needed.
 */
function tasksInSuccession(u: UnplacedDemand, readyInS: number): number {
  const { spec, ageS, estimateS } = u.job;
  if (spec.deadlineS === null || spec.kind !== 'array' || u.isGuaranteed) return 1;
  return Math.max(1, Math.floor((spec.deadlineS - ageS - readyInS) / (Math.max(estimateS, 0.5) * IN_TURN)));
}

/**
 * What looking after one more machine is taken to cost, once there are many: every machine reports, is
 * planned for, and comes back in a takeover, whatever its size. Measured in the price of a CPU.
 */
function typicalPrice(types: readonly MachineType[]): number {
  const prices = types.map((t) => t.spotPrice / Math.max(1, t.cpus)).sort((a, b) => a - b);
  return (prices[Math.floor(prices.length / 2)] ?? 0) * ATTENTION_CPUS;
}
const ATTENTION_CPUS = 6;

/** What to rent for work that no machine can take soon, and which empty machines to give back. */
export function planFleet(input: FleetInput): FleetPlan {
  const coming: IncomingMachine[] = input.machines
    .filter((m) => m.isBooting)
    .map((m) => ({
      type: m.type,
      zone: m.zone,
      spot: m.spot,
      readyInS: Math.max(m.type.bootS * LEAST_BOOT_SHARE, m.type.bootS - m.idleS),
      // After a takeover, machines not heard yet are full of what the records say: taken for empty ones
      // under way, hundreds of them kept a burst from being met for half a minute.
      cpus: m.type.cpus - m.usedCpus,
      gpus: m.type.gpus - m.usedGpus,
      memoryGb: m.type.memoryGb - m.usedMemoryGb,
    }));
  const rents = new ScaleOutRequests();
  const perZone = new Map<string, number>();
  const typical = typicalPrice(input.types);
  const attention = (): number => {
    let count = input.machines.length;
    for (const r of rents.list()) count += r.count;
    return Math.max(0, count / input.policy.manageableMachines - 0.5) * typical;
  };
  for (const m of input.machines) perZone.set(m.zone, (perZone.get(m.zone) ?? 0) + m.type.cpus);
  for (const u of input.unplacedDemand)
    if (u.isWithinLimit) scaleOutFor(input, u, coming, rents, perZone, attention);
  scaleOutForBurst(input, rents, attention());
  // Until it is needed the reserve is open to work that can be stopped: replicas of a lost machine must find room at once, and a
  // boot later is too late.
  const reserve = new SpareCapacity(input);
  const release = findScaleIn(input, reserve);
  const drain = release.length > 0 || !input.policy.isConsolidating ? null : consolidate(input, reserve);
  if (input.policy.isCostAware) reserve.scaleOut(rents);
  const swapped = drain?.swapCpus === undefined ? null : spotReplacement(input, drain.swapCpus);
  return {
    scaleOut: swapped === null ? rents.list() : [...rents.list(), swapped],
    scaleIn: release,
    drain: drain === null || drain.swapCpus !== undefined ? null : drain.id,
  };
}

function scaleOutFor(
  input: FleetInput,
  u: UnplacedDemand,
  coming: IncomingMachine[],
  rents: ScaleOutRequests,
  perZone: Map<string, number>,
  attention: () => number,
): void {
  const spec = u.job.spec;
  let zone =
    spec.zone ?? (spec.oneZone ? (u.job.placedZones[0] ?? u.zone ?? zoneWithMostRoom(u, coming)) : null);
  let left = u.taskCount;
  if (
    spec.zone === null &&
    zone !== null &&
    u.job.placedZones.length === 0 &&
    !canScaleOut(input, spec, zone)
  ) {
    // The zone where part of it has room has no more to give: the whole of it goes to another one.
    zone = null;
    left = Math.max(left, u.job.pendingTasks.length);
  }
  const inZone = new Map<string, number>();
  for (const z of u.job.placedZones) inZone.set(z, (inZone.get(z) ?? 0) + 1);
  const zoneMost = spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;
  const allowed = (type: MachineType, z: string, spot: boolean): boolean =>
    fitsMachineType(spec, type) &&
    (zone === null || z === zone) &&
    (!spot || spec.spot) &&
    (inZone.get(z) ?? 0) < zoneMost;
  const takeFrom = (c: IncomingMachine): void => {
    const share = 1 / tasksInSuccession(u, c.readyInS);
    while (
      left > 0 &&
      c.cpus >= spec.cpus &&
      c.gpus >= spec.gpus &&
      c.memoryGb >= spec.memoryGb &&
      (inZone.get(c.zone) ?? 0) < zoneMost
    ) {
      c.cpus -= spec.cpus * share;
      c.gpus -= spec.gpus * share;
      c.memoryGb -= spec.memoryGb * share;
      inZone.set(c.zone, (inZone.get(c.zone) ?? 0) + 1);
      left -= 1;
    }
  };
  for (const c of coming) {
    if (left === 0) return;
    if (allowed(c.type, c.zone, c.spot)) takeFrom(c);
  }
  const slackS =
    spec.deadlineS === null || u.isGuaranteed
      ? 0
      : Math.max(0, spec.deadlineS - u.job.ageS - u.job.estimateS * 1.5 - u.startsInS);
  while (left > 0) {
    let best: { type: MachineType; zone: string; spot: boolean; score: number } | null = null;
    const each = attention();
    for (const type of input.types) {
      // A machine that would be ready no sooner than the queue gets there is not worth its price.
      if (u.startsInS < type.bootS * input.policy.minQueueBootShare) continue;
      if (slackS > type.bootS) continue;
      const zones = type.zones.length > 0 ? type.zones : [...perZone.keys()];
      for (const z of zones)
        for (const spot of spec.spot ? [true, false] : [false]) {
          if (!allowed(type, z, spot) || !input.hasCapacity(type.name, z, spot)) continue;
          if (
            input.policy.isCostAware &&
            spec.spot &&
            !spot &&
            !needsOnDemand(u, type, input.policy.burstCpus > 0)
          )
            continue;
          const places = countFittingTasks(spec, type);
          const fit = Math.min(left, places * tasksInSuccession(u, type.bootS));
          if (fit < 1) continue;
          const price = spot ? type.spotPrice : type.price;
          const crowd = (perZone.get(z) ?? 0) * 1e-5;
          const score = ((price + each) / fit) * (1 + type.bootS / 400) + crowd;
          if (best === null || score < best.score) best = { type, zone: z, spot, score };
        }
    }
    if (best === null) return;
    if (spec.oneZone) zone = best.zone;
    rents.add(best.type, best.zone, best.spot, 1);
    perZone.set(best.zone, (perZone.get(best.zone) ?? 0) + best.type.cpus);
    const c: IncomingMachine = {
      type: best.type,
      zone: best.zone,
      spot: best.spot,
      readyInS: best.type.bootS,
      cpus: best.type.cpus,
      gpus: best.type.gpus,
      memoryGb: best.type.memoryGb,
    };
    coming.push(c);
    const before = left;
    takeFrom(c);
    if (left === before) return;
  }
}

function canScaleOut(input: FleetInput, spec: JobSpec, zone: string): boolean {
  return input.types.some(
    (t) =>
      fitsMachineType(spec, t) &&
      (t.zones.length === 0 || t.zones.includes(zone)) &&
      (input.hasCapacity(t.name, zone, false) || (spec.spot && input.hasCapacity(t.name, zone, true))),
  );
}

/**
 * The zone where most tasks of a job bound to one fit what is under way: counted over all zones, a gang
 * was met by halves and nothing was rented for it.
 */
function zoneWithMostRoom(u: UnplacedDemand, coming: readonly IncomingMachine[]): string | null {
  const { spec } = u.job;
  const places = new Map<string, number>();
  for (const c of coming) {
    if ((c.spot && !spec.spot) || !fitsMachineType(spec, c.type)) continue;
    const fit = countFittingTasks(spec, c);
    if (fit > 0) places.set(c.zone, (places.get(c.zone) ?? 0) + fit);
  }
  let best: string | null = null;
  for (const [zone, n] of places)
    if (best === null || Math.min(n, u.taskCount) > Math.min(places.get(best) ?? 0, u.taskCount)) best = zone;
  return best;
}

/** How many tasks of this size fit. */
function countFittingTasks(spec: JobSpec, on: { cpus: number; gpus: number; memoryGb: number }): number {
  return Math.min(
    Math.floor(on.cpus / Math.max(spec.cpus, 1e-9) + 1e-9),
    Math.floor(on.memoryGb / Math.max(spec.memoryGb, 1e-9) + 1e-9),
    spec.gpus > 0 ? Math.floor(on.gpus / spec.gpus + 1e-9) : Infinity,
  );
}

/**
 * What a task takes of the machines it fits, in CPUs: where accelerators or memory run out first, its
 * CPUs alone say too little.
 */
export function effectiveCpus(spec: JobSpec, types: readonly MachineType[]): number {
  let least = Infinity;
  for (const t of types)
    if (fitsMachineType(spec, t)) least = Math.min(least, dominantShare(spec, t) * t.cpus);
  return least === Infinity ? spec.cpus : least;
}

function dominantShare(need: { cpus: number; gpus: number; memoryGb: number }, t: MachineType): number {
  const share = (wanted: number, of: number): number => (wanted > 0 ? wanted / of : 0);
  return Math.max(share(need.cpus, t.cpus), share(need.gpus, t.gpus), share(need.memoryGb, t.memoryGb));
}

const LATE_START_S = 30;
/** A queue of so many times the time that a machine takes to boot is no chance. */
const LONG_QUEUE = 2;

/** Ordinary machines for work that may use spot ones: only where its deadline would be missed. */
function needsOnDemand(u: UnplacedDemand, type: MachineType, isBurst: boolean): boolean {
  const { spec, ageS, estimateS } = u.job;
  const queuedS = ageS + u.startsInS * IN_TURN + estimateS * IN_TURN;
  const rentedS = ageS + type.bootS + spec.imageGb / type.fetchGbPerS + estimateS;
  const helps = u.job.completionMilestonesS.some((m) => queuedS > m && rentedS <= m);
  if (spec.deadlineS === null) return ageS > LATE_START_S || helps;
  // In a burst, waiting until a job is late rents machines that come up when all are late. On a usual minute the queue is
  // shorter than it seems, and spot machines will do; before there are any machines, those asked for are under way.
  const isLong = u.startsInS > type.bootS * LONG_QUEUE && u.startsInS < Infinity;
  if (helps && (isBurst || isLong)) return true;
  return spec.deadlineS - ageS < estimateS * 1.3 + type.bootS + 10;
}

interface Consolidation {
  readonly id: MachineId;
  /** Spot CPUs to be rented first, so that the work beside the replicas keeps its room. */
  readonly swapCpus?: number;
}

/** The machine whose emptying saves most for each replica that has to move, if they all fit elsewhere. */
function consolidate(input: FleetInput, reserve: SpareCapacity): Consolidation | null {
  const { policy } = input;
  const waits = (u: UnplacedDemand): boolean => u.job.spec.kind === 'service' || u.startsInS > WAITS_S;
  if (!policy.isCostAware || input.unplacedDemand.some((u) => u.isWithinLimit && waits(u))) return null;
  if (input.machines.some((m) => m.isBooting)) return null;
  const ready = input.machines.filter((m) => m.isSchedulable);
  const total = ready.reduce((sum, m) => sum + m.type.cpus, 0);
  const options: { machine: FleetMachine; gain: number; missing: number }[] = [];
  for (const m of ready) {
    if (!m.canScaleIn || m.replicas.length === 0 || !m.isStable) continue;
    if (!m.spot && !reserve.canRemove(m)) continue;
    const missing = policy.targetCpus - (total - m.type.cpus);
    if (m.spot && missing > 0) continue;
    const price = m.spot ? m.type.spotPrice : m.type.price;
    const waste = 1 - m.replicas.reduce((sum, r) => sum + dominantShare(r, m.type), 0);
    const gain = (price * waste) / m.replicas.length;
    if (waste >= LEAST_WASTE) options.push({ machine: m, gain, missing });
  }
  // Whether everything fits elsewhere is dear to find out: only the most gainful are tried.
  options.sort((a, b) => b.gain - a.gain);
  for (const { machine, missing } of options.slice(0, MOST_TRIED))
    if (replicasFitElsewhere(machine, ready))
      return missing > 0 ? { id: machine.id, swapCpus: missing } : { id: machine.id };
  return null;
}

/** Spot machines in place of an ordinary one that mostly runs work which may use them. */
function spotReplacement(input: FleetInput, cpus: number): ScaleOutRequest | null {
  let best: { type: MachineType; zone: string; price: number } | null = null;
  for (const type of input.types)
    for (const zone of type.zones) {
      if (type.cpus < Math.min(cpus, LEAST_SWAP_CPUS) || !input.hasCapacity(type.name, zone, true)) continue;
      const price = type.spotPrice / type.cpus;
      if (best === null || price < best.price) best = { type, zone, price };
    }
  return best === null ? null : { type: best.type.name, zone: best.zone, spot: true, count: 1 };
}

/** Queued work that starts this soon is no reason to keep a machine. */
const WAITS_S = 10;
const LEAST_SWAP_CPUS = 8;

/** Machines whose emptying is tried in one plan. */
const MOST_TRIED = 8;

/** A machine used better than this is left alone. */
const LEAST_WASTE = 0.2;

function replicasFitElsewhere(from: FleetMachine, ready: readonly FleetMachine[]): boolean {
  const free = ready
    .filter((m) => m.id !== from.id)
    .map((m) => ({
      m,
      cpus: m.type.cpus - m.usedCpus,
      gpus: m.type.gpus - m.usedGpus,
      memoryGb: m.type.memoryGb - m.usedMemoryGb,
    }))
    .sort((a, b) => a.cpus - b.cpus);
  return from.replicas.every((r) => {
    const to = free.find(
      (f) =>
        f.m.images.has(r.image) &&
        f.cpus >= r.cpus &&
        f.memoryGb >= r.memoryGb &&
        r.gpus <= f.gpus &&
        (!f.m.spot || r.spot) &&
        (r.zone === null || r.zone === f.m.zone) &&
        (r.zoneSpread === null || canMoveZone(r.zoneSpread, from.zone, f.m.zone)) &&
        (r.types === null || r.types.includes(f.m.type.name)),
    );
    if (to === undefined) return false;
    to.cpus -= r.cpus;
    to.gpus -= r.gpus;
    to.memoryGb -= r.memoryGb;
    return true;
  });
}

/** Spot machines are cheap to keep: they are given back this many times later. */
const SPOT_KEEP = 2;

function findScaleIn(input: FleetInput, reserve: SpareCapacity): MachineId[] {
  const { policy } = input;
  // Work that waits for machines of one kind is no reason to keep others that it may not use.
  const wanted = (m: FleetMachine): boolean =>
    input.unplacedDemand.some(
      (u) => u.isWithinLimit && (!m.spot || u.job.spec.spot) && fitsMachineType(u.job.spec, m.type),
    );
  let total = 0;
  for (const m of input.machines) if (m.isSchedulable || m.isBooting) total += m.type.cpus;
  const price = (m: FleetMachine): number => (m.spot ? m.type.spotPrice : m.type.price) / m.type.cpus;
  const release: MachineId[] = [];
  const idle = input.machines
    .filter(
      (m) =>
        m.canScaleIn &&
        m.usedCpus === 0 &&
        m.isSchedulable &&
        m.idleS >= policy.scaleInIdleS * (m.spot ? SPOT_KEEP : 1) &&
        !wanted(m),
    )
    .sort((a, b) => price(b) - price(a));
  for (const m of idle) {
    if (total - m.type.cpus < policy.targetCpus) continue;
    if (!m.spot && !reserve.canRemove(m)) continue;
    total -= m.type.cpus;
    if (!m.spot) reserve.remove(m);
    release.push(m.id);
  }
  return release;
}
