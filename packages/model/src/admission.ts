import type { JobSpec, MachineType } from '@spurbridge/wire';

export interface Team {
  readonly name: string;
  readonly cpus: number;
  readonly cpusMax: number;
  readonly gpus: number;
  readonly gpusMax: number;
}

/** Whether a machine of this type can ever hold one task of the job. */
export function fitsType(spec: JobSpec, type: MachineType): boolean {
  return (
    (spec.types === null || spec.types.includes(type.name)) &&
    (spec.zone === null || type.zones.length === 0 || type.zones.includes(spec.zone)) &&
    spec.cpus <= type.cpus &&
    spec.gpus <= type.gpus &&
    spec.memoryGb <= type.memoryGb
  );
}

/** Why a job can never run, or null. */
export function neverRuns(
  spec: JobSpec,
  teams: readonly Team[],
  types: readonly MachineType[],
): string | null {
  const team = teams.find((t) => t.name === spec.team);
  if (team === undefined) return 'unknown team';
  if (!types.some((t) => fitsType(spec, t))) return 'a task fits no allowed machine type';
  const together = spec.kind === 'array' ? 1 : spec.tasks;
  if (spec.cpus * together > team.cpusMax || spec.gpus * together > team.gpusMax)
    return "the job needs more than the team's limit";
  return null;
}
