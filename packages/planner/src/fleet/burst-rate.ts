import { fitsMachineType } from '@spurbridge/model';
import type { MachineType } from '@spurbridge/wire';
import type { FleetInput } from './plan-fleet.js';
import type { UnplacedDemand } from '../scheduling/index.js';
import type { ScaleOutRequests } from './scale-out-requests.js';

/** Arrivals are uneven: so much more than the fleet must come before it is a burst. */
const BURST_FACTOR = 1.2;

/**
 * Rents for the work that arrives while machines boot. Met only once each job was predicted to be late, a burst of a minute
 * had its machines half a minute after its end, and they worked off what was late already.
 */
export function scaleOutForBurst(
  input: FleetInput,
  rents: ScaleOutRequests,
  /** What looking after one more machine is taken to cost. */
  attention: number,
): void {
  const { policy, types, machines, hasCapacity: available } = input;
  const waiting = input.unplacedDemand.find(isWaiting);
  if (!policy.isCostAware || waiting === undefined) return;
  let capacity = 0;
  for (const m of machines)
    if (m.isSchedulable || m.isBooting) capacity += m.type.cpus - m.nonPreemptibleCpus;
  for (const r of rents.list()) capacity += r.count * (types.find((t) => t.name === r.type)?.cpus ?? 0);
  if (policy.burstCpus < capacity * BURST_FACTOR) return;
  const { spec } = waiting.job;
  const options: { type: MachineType; zone: string; spot: boolean; score: number }[] = [];
  for (const type of types)
    for (const zone of type.zones)
      for (const spot of spec.spot ? [true, false] : [false]) {
        if (!fitsMachineType(spec, type) || (spec.zone !== null && spec.zone !== zone)) continue;
        if (!available(type.name, zone, spot)) continue;
        const places = Math.max(1, Math.floor(type.cpus / Math.max(spec.cpus, 0.01)));
        options.push({
          type,
          zone,
          spot,
          score: ((spot ? type.spotPrice : type.price) + attention) / places,
        });
      }
  // Ordinary ones only where no spot machine is to be had.
  options.sort((a, b) => Number(b.spot) - Number(a.spot) || a.score - b.score);
  // The cheapest kind that there may be; what it cannot give is asked of the next one after its refusal.
  const [best] = options;
  if (best === undefined) return;
  const count = Math.ceil((policy.burstCpus - capacity) / best.type.cpus);
  const alike = options.filter((o) => o.type === best.type && o.spot === best.spot);
  for (const [i, o] of alike.entries())
    rents.add(o.type, o.zone, o.spot, Math.floor((count + i) / alike.length));
}

function isWaiting(u: UnplacedDemand): boolean {
  return u.job.spec.kind === 'array' && u.isWithinLimit && u.startsInS > 0;
}
