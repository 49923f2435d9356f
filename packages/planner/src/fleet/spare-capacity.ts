/**
 * Keeps spare on-demand capacity that services can use at once.
 *
 * @module
 */

import type { MachineType } from '@spurbridge/wire';
import type { ScaleOutRequests } from './scale-out-requests.js';
import type { FleetInput, FleetMachine } from './types.js';

/** The maximum number of machines that one plan requests for spare capacity. */
const MAX_MACHINES_PER_PLAN = 4;

/** A kind of machine that could be requested for spare capacity. */
interface Candidate {
  readonly type: MachineType;
  readonly zone: string;
  readonly score: number;
  /** The zone's present spare CPUs; 0 if zones are not balanced. */
  readonly spareCpus: number;
}

/**
 * On-demand CPUs that services can use at once because they are free or used by preemptible work. If services
 * spread over zones, the spare CPUs of a zone count only up to the sum of the other zones. With all spare CPUs
 * in one zone, half of every new service waited for a machine to boot in another zone.
 */
export class SpareCapacity {
  private readonly spareCpusByZone = new Map<string, number>();
  /** All on-demand CPUs. */
  private onDemandCpus = 0;
  /** The part of them used by work that cannot be preempted for services. */
  private nonPreemptibleCpus = 0;

  constructor(private readonly input: FleetInput) {
    for (const machine of input.machines) {
      if (machine.spot || !(machine.isSchedulable || machine.isBooting)) continue;
      const spareCpus = preemptibleCpus(machine);
      this.onDemandCpus += machine.type.cpus;
      this.nonPreemptibleCpus += machine.type.cpus - spareCpus;
      this.addSpare(machine.zone, spareCpus);
    }
  }

  /** Whether the target is still met without this on-demand machine. */
  canRemove({ zone, type }: FleetMachine): boolean {
    return this.missingCpus(zone, type.cpus) <= 0;
  }

  /** Counts an on-demand machine as removed. */
  remove(machine: FleetMachine): void {
    this.onDemandCpus -= machine.type.cpus;
    this.addSpare(machine.zone, -preemptibleCpus(machine));
  }

  /** Scales out to the target, in the zone with the largest deficit. */
  scaleOut(requests: ScaleOutRequests): void {
    this.addRequested(requests);
    const missing = this.missingCpus();
    if (missing <= 0) return;
    const best = this.bestCandidate(missing);
    if (best === null) return;
    // After the loss of a zone many machines are missing, so several are requested per plan; the zone with
    // the largest deficit may differ for each.
    const count = Math.min(MAX_MACHINES_PER_PLAN, Math.ceil(missing / best.type.cpus));
    requests.add(best.type, best.zone, false, count);
  }

  private addSpare(zone: string, cpus: number): void {
    this.spareCpusByZone.set(zone, (this.spareCpusByZone.get(zone) ?? 0) + cpus);
  }

  /** Counts the on-demand machines that this plan has requested already. */
  private addRequested(requests: ScaleOutRequests): void {
    for (const request of requests.list()) {
      const type = this.input.types.find(({ name }) => name === request.type);
      if (request.spot || type === undefined) continue;
      this.onDemandCpus += request.count * type.cpus;
      this.addSpare(request.zone, request.count * type.cpus);
    }
  }

  /**
   * The spare CPUs that new services can use after `reduction` is subtracted from the spare CPUs of `reducedZone`. A
   * negative `reduction` adds CPUs.
   */
  private usableCpus(reducedZone: string | null, reduction: number): number {
    let sum = 0;
    let most = 0;
    for (const [zone, cpus] of this.spareCpusByZone) {
      const spareCpus = zone === reducedZone ? cpus - reduction : cpus;
      sum += spareCpus;
      most = Math.max(most, spareCpus);
    }
    return this.input.policy.spreadsServices ? Math.min(sum, 2 * (sum - most)) : sum;
  }

  /**
   * How many on-demand CPUs are missing to the target after `reduction` is subtracted from the spare CPUs of
   * `reducedZone`; negative if there is a surplus.
   */
  private missingCpus(reducedZone: string | null = null, reduction = 0): number {
    const { targetOnDemandCpus } = this.input.policy;
    return Math.max(
      targetOnDemandCpus - (this.onDemandCpus - reduction),
      targetOnDemandCpus - this.nonPreemptibleCpus - this.usableCpus(reducedZone, reduction),
    );
  }

  private bestCandidate(missing: number): Candidate | null {
    const { types, policy, hasCapacity } = this.input;
    const areZonesUneven = policy.spreadsServices && this.usableCpus(null, 0) < this.totalSpareCpus();
    let best: Candidate | null = null;
    for (const type of types)
      for (const zone of type.zones) {
        // Spread services cannot use more capacity in the zone that already has most.
        if (!hasCapacity(type.name, zone, false) || this.missingCpus(zone, -type.cpus) >= missing) continue;
        const score = type.price / Math.min(type.cpus, missing);
        const spareCpus = areZonesUneven ? (this.spareCpusByZone.get(zone) ?? 0) : 0;
        const candidate = { type, zone, score, spareCpus };
        if (best === null || isBetter(candidate, best)) best = candidate;
      }
    return best;
  }

  private totalSpareCpus(): number {
    let sum = 0;
    for (const cpus of this.spareCpusByZone.values()) sum += cpus;
    return sum;
  }
}

/** Orders by the zone's spare capacity, least first, then by price. */
function isBetter(candidate: Candidate, best: Candidate): boolean {
  return (
    candidate.spareCpus < best.spareCpus ||
    (candidate.spareCpus === best.spareCpus && candidate.score < best.score)
  );
}

/** The CPUs of a machine that services can use, limited by the resource that runs out first. */
function preemptibleCpus({ type, nonPreemptibleCpus, nonPreemptibleMemoryGb }: FleetMachine): number {
  const share = Math.max(nonPreemptibleCpus / type.cpus, nonPreemptibleMemoryGb / type.memoryGb);
  return type.cpus * Math.max(0, 1 - share);
}
