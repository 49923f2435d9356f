/**
 * Fleet planning: scaling out and in, spare capacity and consolidation.
 *
 * @module
 */

export { effectiveCpus } from './machine-fit.js';
export { planFleet } from './plan-fleet.js';
export type {
  FleetInput,
  FleetMachine,
  FleetPlan,
  FleetPolicy,
  Replica,
  ScaleOutRequest,
  ZoneSpread,
} from './types.js';
