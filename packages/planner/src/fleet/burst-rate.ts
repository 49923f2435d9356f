/**
 * Scales out for the arrival rate of work during a burst.
 *
 * @module
 */

import { fitsMachineType } from '@spurbridge/model';
import type { JobSpec, MachineType } from '@spurbridge/wire';
import type { UnplacedDemand } from '../scheduling/index.js';
import { purchaseOptions } from './scale-out.js';
import type { ScaleOutRequests } from './scale-out-requests.js';
import type { FleetInput } from './types.js';

/** Arrivals normally fluctuate, so only a rate that needs this multiple of the capacity counts as a burst. */
const BURST_FACTOR = 1.2;
/** Used in place of the CPUs of a task that requests none, to avoid division by zero. */
const MIN_TASK_CPUS = 0.01;

/** A kind of machine that could be requested, and its price per slot. */
interface Candidate {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly score: number;
}

/**
 * Scales out for the work that will arrive while machines boot. Requesting machines only for jobs that are
 * predicted to be late is too slow: for a burst of one minute, the machines came up half a minute after its
 * end, and all jobs left to run on them were already late.
 *
 * @param managementSurcharge - added to the price of each additional machine for the cost of managing it.
 */
export function scaleOutForBurst(
  input: FleetInput,
  requests: ScaleOutRequests,
  managementSurcharge: number,
): void {
  const { policy } = input;
  const waiting = input.unplacedDemand.find(isWaitingArray);
  if (!policy.isCostAware || waiting === undefined) return;
  const capacity = arrayCapacityCpus(input, requests);
  if (policy.burstCpus < capacity * BURST_FACTOR) return;
  const candidates = listCandidates(input, waiting.job.spec, managementSurcharge);
  // Only the cheapest kind is requested now. If the cloud refuses it, a later plan requests the next kind.
  const [best] = candidates;
  if (best === undefined) return;
  const count = Math.ceil((policy.burstCpus - capacity) / best.type.cpus);
  const sameKind = candidates.filter(({ type, spot }) => type === best.type && spot === best.spot);
  for (const [index, { type, zone, spot }] of sameKind.entries())
    requests.add(type, zone, spot, Math.floor((count + index) / sameKind.length));
}

function isWaitingArray(demand: UnplacedDemand): boolean {
  return demand.job.spec.kind === 'array' && demand.isWithinLimit && demand.startsInS > 0;
}

/** The CPUs that arrays can use, on existing and on requested machines. */
function arrayCapacityCpus({ machines, types }: FleetInput, requests: ScaleOutRequests): number {
  let cpus = 0;
  for (const machine of machines)
    if (machine.isSchedulable || machine.isBooting) cpus += machine.type.cpus - machine.nonPreemptibleCpus;
  for (const request of requests.list())
    cpus += request.count * (types.find(({ name }) => name === request.type)?.cpus ?? 0);
  return cpus;
}

/** The kinds of machines that can run the job: spot machines before on-demand ones, then by price per slot. */
function listCandidates(input: FleetInput, spec: JobSpec, surcharge: number): Candidate[] {
  const candidates: Candidate[] = [];
  for (const type of input.types)
    for (const zone of type.zones)
      for (const spot of purchaseOptions(spec)) {
        if (!fitsMachineType(spec, type) || (spec.zone !== null && spec.zone !== zone)) continue;
        if (!input.hasCapacity(type.name, zone, spot)) continue;
        const slots = Math.max(1, Math.floor(type.cpus / Math.max(spec.cpus, MIN_TASK_CPUS)));
        const price = spot ? type.spotPrice : type.price;
        candidates.push({ type, zone, spot, score: (price + surcharge) / slots });
      }
  return candidates.sort(
    (first, second) => Number(second.spot) - Number(first.spot) || first.score - second.score,
  );
}
