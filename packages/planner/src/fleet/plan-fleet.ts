/**
 * Plans the fleet: scales out for work that the machines cannot take soon, and selects machines to scale in.
 *
 * @module
 */

import { JobFocus } from '../job-focus.js';
import { scaleOutForBurst } from './burst-rate.js';
import { findConsolidation, spotReplacement } from './consolidation.js';
import { ManagementCost } from './management-cost.js';
import { findScaleIn } from './scale-in.js';
import { DemandScaleOut } from './scale-out.js';
import { ScaleOutRequests } from './scale-out-requests.js';
import { SpareCapacity } from './spare-capacity.js';
import type { FleetInput, FleetPlan } from './types.js';

/**
 * Decides how to change the fleet; has no side effects.
 *
 * @throws {JobPlanningError} when the plan fails on the demand of a job.
 */
export function planFleet(input: FleetInput): FleetPlan {
  const requests = scaleOutForDemand(input);
  // Preemptible work may use the spare capacity until services need it. The capacity must exist in advance,
  // because the replicas of a lost machine must be placed immediately, without waiting for a machine to boot.
  const spareCapacity = new SpareCapacity(input);
  const scaleIn = findScaleIn(input, spareCapacity);
  const consolidation =
    scaleIn.length > 0 || !input.policy.isConsolidating ? null : findConsolidation(input, spareCapacity);
  if (input.policy.isCostAware) spareCapacity.scaleOut(requests);
  const scaleOut = requests.list();
  if (consolidation === null) return { scaleOut, scaleIn, drain: null };
  if (consolidation.missingCpus === 0) return { scaleOut, scaleIn, drain: consolidation.machine };
  // The machine is drained only by a later plan, once its replacement is up.
  const replacement = spotReplacement(input, consolidation.missingCpus);
  return { scaleOut: replacement === null ? scaleOut : [...scaleOut, replacement], scaleIn, drain: null };
}

/** Scales out for the present demand, and for the arrival rate in a burst. */
function scaleOutForDemand(input: FleetInput): ScaleOutRequests {
  const requests = new ScaleOutRequests();
  const managementCost = new ManagementCost(input.types, input.policy.manageableMachines);
  const demandScaleOut = new DemandScaleOut(input, requests, managementCost);
  const focus = new JobFocus();
  focus.run(() => {
    for (const demand of input.unplacedDemand) {
      focus.set(demand.job);
      if (demand.isWithinLimit) demandScaleOut.scaleOutFor(demand);
    }
  });
  const machineCount = input.machines.length + requests.machineCount;
  scaleOutForBurst(input, requests, managementCost.perMachine(machineCount));
  return requests;
}
