/**
 * Consolidation: drains a machine whose replicas fit elsewhere, so that it can be scaled in.
 *
 * @module
 */

import type { MachineId, MachineType } from '@spurbridge/wire';
import type { UnplacedDemand } from '../scheduling/index.js';
import { dominantShare } from './machine-fit.js';
import type { SpareCapacity } from './spare-capacity.js';
import type { FleetInput, FleetMachine, Replica, ScaleOutRequest, ZoneSpread } from './types.js';

/** Queued work that starts within this many seconds does not prevent consolidation. */
const MAX_QUEUED_S = 10;
/** The maximum number of machines per plan for which it is checked whether their replicas fit elsewhere. */
const MAX_CANDIDATES = 8;
/** A machine is only drained if at least this share of it is not used by replicas. */
const MIN_UNUSED_SHARE = 0.2;
/** A replacement has at least this many CPUs, unless fewer are missing. */
const MIN_REPLACEMENT_CPUS = 8;

/** A machine whose replicas fit on other machines. */
export interface Consolidation {
  readonly machine: MachineId;
  /**
   * The spot CPUs to request before draining, so that other work on the machine keeps its capacity; 0 if none
   * are needed.
   */
  readonly missingCpus: number;
}

interface Candidate {
  readonly machine: FleetMachine;
  /** The saved price per replica that has to move. */
  readonly saving: number;
  readonly missingCpus: number;
}

/**
 * The machine that saves most per moved replica, among those whose replicas all fit on other machines; null
 * if there is none.
 */
export function findConsolidation(input: FleetInput, spareCapacity: SpareCapacity): Consolidation | null {
  if (!input.policy.isCostAware || input.unplacedDemand.some(needsCapacity)) return null;
  if (input.machines.some((machine) => machine.isBooting)) return null;
  const ready = input.machines.filter((machine) => machine.isSchedulable);
  const candidates = listCandidates(input, ready, spareCapacity);
  // Checking whether all replicas fit elsewhere is expensive, so only the candidates that save most are
  // checked.
  candidates.sort((first, second) => second.saving - first.saving);
  for (const { machine, missingCpus } of candidates.slice(0, MAX_CANDIDATES))
    if (replicasFitElsewhere(machine, ready))
      return { machine: machine.id, missingCpus: Math.max(0, missingCpus) };
  return null;
}

function needsCapacity(demand: UnplacedDemand): boolean {
  const isWaiting = demand.job.spec.kind === 'service' || demand.startsInS > MAX_QUEUED_S;
  return demand.isWithinLimit && isWaiting;
}

function listCandidates(
  { policy }: FleetInput,
  ready: readonly FleetMachine[],
  spareCapacity: SpareCapacity,
): Candidate[] {
  const totalCpus = ready.reduce((sum, machine) => sum + machine.type.cpus, 0);
  const candidates: Candidate[] = [];
  for (const machine of ready) {
    const { type, spot, replicas } = machine;
    if (!machine.canScaleIn || replicas.length === 0 || !machine.isStable) continue;
    if (!spot && !spareCapacity.canRemove(machine)) continue;
    const missingCpus = policy.targetCpus - (totalCpus - type.cpus);
    if (spot && missingCpus > 0) continue;
    const price = spot ? type.spotPrice : type.price;
    const unusedShare = 1 - replicas.reduce((sum, replica) => sum + dominantShare(replica, type), 0);
    const saving = (price * unusedShare) / replicas.length;
    if (unusedShare >= MIN_UNUSED_SHARE) candidates.push({ machine, saving, missingCpus });
  }
  return candidates;
}

/**
 * A spot machine that can replace an on-demand one running mostly work allowed on spot machines; null if none
 * is available.
 */
export function spotReplacement(input: FleetInput, missingCpus: number): ScaleOutRequest | null {
  let best: { type: MachineType; zone: string; price: number } | null = null;
  for (const type of input.types)
    for (const zone of type.zones) {
      if (type.cpus < Math.min(missingCpus, MIN_REPLACEMENT_CPUS)) continue;
      if (!input.hasCapacity(type.name, zone, true)) continue;
      const price = type.spotPrice / type.cpus;
      if (best === null || price < best.price) best = { type, zone, price };
    }
  return best === null ? null : { type: best.type.name, zone: best.zone, spot: true, count: 1 };
}

/** A machine and its free resources. */
interface FreeMachine {
  readonly machine: FleetMachine;
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/**
 * Whether all replicas of a machine fit on the others, each being placed on the fullest machine that can hold
 * it.
 */
function replicasFitElsewhere(from: FleetMachine, ready: readonly FleetMachine[]): boolean {
  const others = ready
    .filter((machine) => machine.id !== from.id)
    .map((machine): FreeMachine => ({
      machine,
      cpus: machine.type.cpus - machine.usedCpus,
      gpus: machine.type.gpus - machine.usedGpus,
      memoryGb: machine.type.memoryGb - machine.usedMemoryGb,
    }))
    .sort((first, second) => first.cpus - second.cpus);
  return from.replicas.every((replica) => {
    const target = others.find((other) => canMove(replica, from, other));
    if (target === undefined) return false;
    target.cpus -= replica.cpus;
    target.gpus -= replica.gpus;
    target.memoryGb -= replica.memoryGb;
    return true;
  });
}

function canMove(replica: Replica, from: FleetMachine, to: FreeMachine): boolean {
  const { machine } = to;
  return (
    machine.images.has(replica.image) &&
    to.cpus >= replica.cpus &&
    to.memoryGb >= replica.memoryGb &&
    to.gpus >= replica.gpus &&
    (!machine.spot || replica.spot) &&
    (replica.zone === null || replica.zone === machine.zone) &&
    (replica.zoneSpread === null || canChangeZone(replica.zoneSpread, from.zone, machine.zone)) &&
    (replica.types === null || replica.types.includes(machine.type.name))
  );
}

/** Whether one of a job's replicas may move from one zone to another. */
function canChangeZone(
  { replicasByZone, maxPerZone, oneZone }: ZoneSpread,
  from: string,
  to: string,
): boolean {
  if (from === to) return true;
  if (oneZone)
    return replicasByZone.size === 0 || (replicasByZone.size === 1 && replicasByZone.get(from) === 1);
  return (replicasByZone.get(to) ?? 0) < maxPerZone;
}
