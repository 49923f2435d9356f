/**
 * The capacity tables of docs/CAPACITY.md, rendered from the kept runs.
 *
 * @module
 */
import { SpurbridgeError } from '@spurbridge/wire';
import { slopeTable } from './slope-table.js';
import type { NamedResult } from './special-run-tables.js';
import { configurationTable, endedJobsTable, isPlainStep } from './special-run-tables.js';
import { faultTable, stepTable } from './step-tables.js';

/** Name of the kept run to which the slopes are fitted. */
export const PLAN_RUN = 'plan';

/** A kept run that the tables need is missing. */
export class MissingRunError extends SpurbridgeError {
  constructor(readonly run: string) {
    super('CAPACITY_RUN_MISSING', `the kept run '${run}' is missing`);
  }
}

/** Renders all tables of docs/CAPACITY.md. Throws a `MissingRunError` if the run for the slopes is missing. */
export function capacityTables(results: readonly NamedResult[]): string {
  const plan = results.find((run) => run.name === PLAN_RUN)?.result;
  if (plan === undefined) throw new MissingRunError(PLAN_RUN);
  const singleRegionSteps = plan.steps.filter((step) => step.regions === 1);
  const otherPlainRuns = results.filter((run) => run.name !== PLAN_RUN && run.result.steps.some(isPlainStep));
  return [
    `Run of ${plan.at.slice(0, 10)}, seed ${plan.seed}, ${plan.cores} cores, ${plan.memoryMb} MB. It ended: ${plan.stopped}.`,
    '**Slopes** (steps of one region and its parts)',
    slopeTable(singleRegionSteps),
    '**Steps**',
    stepTable(plan.steps),
    "**Troubles at one region's part**",
    faultTable(plan.steps),
    ...otherPlainRuns.flatMap(({ name, result }) => [`**Run \`${name}\`**`, stepTable(result.steps)]),
    '**Configuration changed while jobs run**',
    configurationTable(results),
    '**Starts with many ended jobs**',
    endedJobsTable(results),
  ].join('\n\n');
}
