import type { JobSpec, MachineType } from '@spurbridge/wire';

export interface Team {
  readonly name: string;
  readonly cpus: number;
  readonly cpusMax: number;
  readonly gpus: number;
  readonly gpusMax: number;
}

/** Amounts are sums of decimals: they are the same within this. */
export const EPSILON = 1e-6;

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

/** In how many zones tasks of the job may be at the same time; a type that names no zone may be in any. */
function countAllowedZones(spec: JobSpec, fitting: readonly MachineType[]): number {
  if (spec.oneZone || spec.zone !== null) return 1;
  if (fitting.some((t) => t.zones.length === 0)) return Infinity;
  return new Set(fitting.flatMap((t) => t.zones)).size;
}

/** Why a job can never run, or null: docs/design.md, "What can never run". */
export function rejectionReason(
  spec: JobSpec,
  teams: readonly Team[],
  types: readonly MachineType[],
): string | null {
  const team = teams.find((t) => t.name === spec.team);
  if (team === undefined) return 'unknown team';
  const fitting = types.filter((t) => fitsMachineType(spec, t));
  if (fitting.length === 0) return 'a task fits no allowed machine type';
  const together = spec.kind === 'array' ? 1 : spec.tasks;
  if (spec.cpus * together > team.cpusMax + EPSILON || spec.gpus * together > team.gpusMax + EPSILON)
    return "the job needs more than the team's limit";
  if (spec.kind === 'gang' && spec.spread && spec.tasks > 1 && countAllowedZones(spec, fitting) < 2)
    return 'scatter: a gang that may be in one zone alone has all its tasks there';
  return null;
}
