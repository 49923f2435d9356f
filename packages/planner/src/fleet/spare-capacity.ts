import type { MachineType } from '@spurbridge/wire';
import type { FleetInput, FleetMachine } from './plan-fleet.js';
import type { ScaleOutRequests } from './scale-out-requests.js';

/** Machines rented for the reserve by one plan of the fleet. */
const MAX_MACHINES_PER_PLAN = 4;

/**
 * Ordinary room that services may take at once: free, or held by work that can be stopped for them. Where services spread
 * over zones, a zone's room serves only as far as the others have as much: all of the reserve once lay in one zone, and half
 * of every new service waited for a machine to boot in another.
 */
export class SpareCapacity {
  private readonly zones = new Map<string, number>();
  private cpus = 0;
  private steady = 0;

  constructor(private readonly input: FleetInput) {
    for (const m of input.machines) {
      if (m.spot || !(m.isSchedulable || m.isBooting)) continue;
      this.cpus += m.type.cpus;
      this.steady += m.type.cpus - preemptibleCpus(m);
      this.add(m.zone, preemptibleCpus(m));
    }
  }

  private add(zone: string, cpus: number): void {
    this.zones.set(zone, (this.zones.get(zone) ?? 0) + cpus);
  }

  /** Room that the next services can use, in CPUs, with so much less of it in a zone. */
  private usable(lessIn: string | null, less: number): number {
    let sum = 0;
    let most = 0;
    for (const [zone, cpus] of this.zones) {
      const left = zone === lessIn ? cpus - less : cpus;
      sum += left;
      most = Math.max(most, left);
    }
    return this.input.policy.spreadsServices ? Math.min(sum, 2 * (sum - most)) : sum;
  }

  /** How much is missing of what the recent past says will be needed. */
  private missing(lessIn: string | null = null, less = 0): number {
    const { targetOnDemandCpus: targetOrdinaryCpus } = this.input.policy;
    return Math.max(
      targetOrdinaryCpus - (this.cpus - less),
      targetOrdinaryCpus - this.steady - this.usable(lessIn, less),
    );
  }

  /** Whether an ordinary machine may be given back or emptied without falling short. */
  canRemove(m: FleetMachine): boolean {
    return this.missing(m.zone, m.type.cpus) <= 0;
  }

  /** A machine is given back. */
  remove(m: FleetMachine): void {
    this.cpus -= m.type.cpus;
    this.add(m.zone, -preemptibleCpus(m));
  }

  /** Rents a machine for what is missing, where it is missing most. */
  scaleOut(rents: ScaleOutRequests): void {
    const { types, hasCapacity: available } = this.input;
    for (const r of rents.list()) {
      const type = types.find((t) => t.name === r.type);
      if (r.spot || type === undefined) continue;
      this.cpus += r.count * type.cpus;
      this.add(r.zone, r.count * type.cpus);
    }
    const missing = this.missing();
    if (missing <= 0) return;
    const isShort = this.input.policy.spreadsServices && this.usable(null, 0) < this.sum();
    let best: { type: MachineType; zone: string; score: number; room: number } | null = null;
    for (const type of types)
      for (const zone of type.zones) {
        // More of what the roomiest zone has already would help nobody.
        if (!available(type.name, zone, false) || this.missing(zone, -type.cpus) >= missing) continue;
        const score = type.price / Math.min(type.cpus, missing);
        // Where the zones are uneven, the one with least room goes before the price.
        const room = isShort ? (this.zones.get(zone) ?? 0) : 0;
        if (best === null || room < best.room || (room === best.room && score < best.score))
          best = { type, zone, score, room };
      }
    if (best === null) return;
    // Several at once where much is missing, as after the loss of a zone; which zone is short of most may change with each.
    rents.add(
      best.type,
      best.zone,
      false,
      Math.min(MAX_MACHINES_PER_PLAN, Math.ceil(missing / best.type.cpus)),
    );
  }

  private sum(): number {
    let sum = 0;
    for (const cpus of this.zones.values()) sum += cpus;
    return sum;
  }
}

/** CPUs of a machine that services may have, by what runs out first. */
function preemptibleCpus(m: FleetMachine): number {
  const share = Math.max(m.nonPreemptibleCpus / m.type.cpus, m.nonPreemptibleMemoryGb / m.type.memoryGb);
  return m.type.cpus * Math.max(0, 1 - share);
}
