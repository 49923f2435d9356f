/**
 * Admission: which jobs can never run and are therefore rejected.
 *
 * @module
 */

import type { JobSpec, MachineType } from '@spurbridge/wire';

/** A team's quota. The names of its fields are those of the stored configuration. */
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

/** Resource amounts are sums of decimals; they count as equal within this. */
export const EPSILON = 1e-6;

/** Fewest zones in which the tasks of a spread gang need to be able to run. */
const MIN_SPREAD_ZONES = 2;

/** Whether a machine of this type can ever hold one task of the job. */
export function fitsMachineType(spec: JobSpec, type: MachineType): boolean {
  return (
    (spec.types === null || spec.types.includes(type.name)) &&
    (spec.zone === null || type.zones.length === 0 || type.zones.includes(spec.zone)) &&
    spec.cpus <= type.cpus + EPSILON &&
    spec.gpus <= type.gpus + EPSILON &&
    spec.memoryGb <= type.memoryGb + EPSILON
  );
}

/** The number of zones in which tasks of the job may be at the same time; a type that names no zone may be in any. */
function countAllowedZones(spec: JobSpec, fittingTypes: readonly MachineType[]): number {
  if (spec.oneZone || spec.zone !== null) return 1;
  if (fittingTypes.some((type) => type.zones.length === 0)) return Infinity;
  return new Set(fittingTypes.flatMap((type) => type.zones)).size;
}

/**
 * Why a job can never run, in words for its user; null if it can. See "What can never run" in docs/design.md.
 */
export function rejectionReason(
  spec: JobSpec,
  teams: readonly Team[],
  types: readonly MachineType[],
): string | null {
  const team = teams.find(({ name }) => name === spec.team);
  if (team === undefined) return 'unknown team';
  const fittingTypes = types.filter((type) => fitsMachineType(spec, type));
  if (fittingTypes.length === 0) return 'a task fits no allowed machine type';
  if (exceedsLimit(spec, team)) return "the job needs more than the team's limit";
  const isSpreadGang = spec.kind === 'gang' && spec.spread && spec.tasks > 1;
  if (isSpreadGang && countAllowedZones(spec, fittingTypes) < MIN_SPREAD_ZONES)
    return 'scatter: a gang that may be in one zone alone has all its tasks there';
  return null;
}

/** Whether the tasks that the job needs at the same time are more than its team may ever use. */
function exceedsLimit(spec: JobSpec, team: Team): boolean {
  const concurrentTasks = spec.kind === 'array' ? 1 : spec.tasks;
  return (
    spec.cpus * concurrentTasks > team.cpusMax + EPSILON ||
    spec.gpus * concurrentTasks > team.gpusMax + EPSILON
  );
}
