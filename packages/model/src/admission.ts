/**
 * Admission: rejects jobs that can never run.
 *
 * @module
 */

import type { JobSpec, MachineType } from '@spurbridge/wire';

/** A team's quota. Field names are those of the stored configuration and must not change. */
export interface Team {
  readonly name: string;
  /** The guaranteed CPUs. */
  readonly cpus: number;
  /** The limit of CPUs; Infinity for none. */
  readonly cpusMax: number;
  /** The guaranteed accelerators. */
  readonly gpus: number;
  /** The limit of accelerators; Infinity for none. */
  readonly gpusMax: number;
}

/** The tolerance for comparing amounts of resources; sums of decimals have rounding errors. */
export const EPSILON = 1e-6;

/** The minimum number of zones in which the tasks of a spread gang must be able to run. */
const MIN_SPREAD_ZONES = 2;

/** Whether a machine of this type can ever hold one task of the job. */
export function fitsMachineType(spec: JobSpec, type: MachineType): boolean {
  return (
    (spec.types === null || spec.types.includes(type.name)) &&
    (spec.zone === null || type.zones.length === 0 || type.zones.includes(spec.zone)) &&
    fitsResources(spec, type)
  );
}

/** Whether an empty machine of this type has the resources for one task of the job. */
export function fitsResources(spec: JobSpec, type: MachineType): boolean {
  return (
    spec.cpus <= type.cpus + EPSILON &&
    spec.gpus <= type.gpus + EPSILON &&
    spec.memoryGb <= type.memoryGb + EPSILON
  );
}

/**
 * The number of zones in which tasks of the job may run at the same time. A machine type that lists no zones may
 * be in any zone.
 */
function countAllowedZones(spec: JobSpec, fittingTypes: readonly MachineType[]): number {
  if (spec.oneZone || spec.zone !== null) return 1;
  if (fittingTypes.some((type) => type.zones.length === 0)) return Infinity;
  return new Set(fittingTypes.flatMap((type) => type.zones)).size;
}

/**
 * The reason why a job can never run, as text for its user; null if it can run. See "What can never run" in
 * docs/design.md.
 */
export function rejectionReason(
  spec: JobSpec,
  teams: readonly Team[],
  types: readonly MachineType[],
): string | null {
  const team = teams.find(({ name }) => name === spec.team);
  if (team === undefined) return 'unknown team';
  const fittingTypes = types.filter((type) => fitsMachineType(spec, type));
  if (fittingTypes.length === 0) return "no machine type satisfies the task's resources, types and zone";
  if (exceedsLimit(spec, team)) return "the job requests more than its team's limit";
  const isSpreadGang = spec.kind === 'gang' && spec.spread && spec.tasks > 1;
  if (isSpreadGang && countAllowedZones(spec, fittingTypes) < MIN_SPREAD_ZONES)
    return 'scatter: at most half of the tasks may be in one zone, but the gang can run in only one zone';
  return null;
}

/** Whether the resources that the job needs at the same time exceed its team's limit. */
function exceedsLimit(spec: JobSpec, team: Team): boolean {
  const concurrentTasks = spec.kind === 'array' ? 1 : spec.tasks;
  return (
    spec.cpus * concurrentTasks > team.cpusMax + EPSILON ||
    spec.gpus * concurrentTasks > team.gpusMax + EPSILON
  );
}
