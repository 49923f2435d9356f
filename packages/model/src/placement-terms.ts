/**
 * On which machines a job allows its tasks, by the job's own record and the machine's own record.
 *
 * @module
 */

import type { JobSpec, MachineType } from '@spurbridge/wire';
import { fitsResources } from './admission.js';

/** The attributes of a machine that a job may restrict. */
export interface MachineAttributes {
  /** The name of the machine type. */
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** A term of the job that does not depend on its other tasks. */
export type FixedTerm = 'machine type' | 'zone' | 'purchase option';
/** A term of the job, or a limit of the machine, that a placement would violate. */
export type PlacementTerm = FixedTerm | 'resources' | 'excluded machine' | 'one zone' | 'spread';

/** A machine on which a task is to be placed, and what the job's terms depend on besides. */
export interface PlacementTarget extends MachineAttributes {
  /** The machine type with its resources; undefined if it is not known. */
  readonly machineType: MachineType | undefined;
  /** Whether the job keeps away from the machine because its tasks failed there. */
  readonly isExcluded: boolean;
  /** The number of the job's tasks that may be in each zone now, without the one to be placed. */
  readonly tasksByZone: ReadonlyMap<string, number>;
}

/** The fixed term that forbids the job's tasks on the machine; null if they are allowed there. */
export function violatedFixedTerm(spec: JobSpec, { type, zone, spot }: MachineAttributes): FixedTerm | null {
  return violatedFixedTermOn(spec, type, zone, spot);
}

/** The same for the attributes of a machine; plans call it for each queue that they visit. */
export function violatedFixedTermOn(
  spec: JobSpec,
  typeName: string,
  zone: string,
  spot: boolean,
): FixedTerm | null {
  if (spec.types !== null && !spec.types.includes(typeName)) return 'machine type';
  if (spec.zone !== null && spec.zone !== zone) return 'zone';
  if (spot && !spec.spot) return 'purchase option';
  return null;
}

/** The first term that forbids one more task of the job on the machine; null if it may be placed there. */
export function violatedTerm(spec: JobSpec, target: PlacementTarget): PlacementTerm | null {
  const fixedTerm = violatedFixedTerm(spec, target);
  if (fixedTerm !== null) return fixedTerm;
  if (target.machineType === undefined || !fitsResources(spec, target.machineType)) return 'resources';
  if (target.isExcluded) return 'excluded machine';
  return violatedZoneTerm(spec, target);
}

/** The largest number of the job's tasks that may be in one zone. */
export function maxTasksPerZone(spec: JobSpec): number {
  return spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;
}

function violatedZoneTerm(
  spec: JobSpec,
  { zone, tasksByZone }: PlacementTarget,
): 'one zone' | 'spread' | null {
  const tasksInZone = tasksByZone.get(zone) ?? 0;
  if (spec.spread && tasksInZone >= maxTasksPerZone(spec)) return 'spread';
  if (!spec.oneZone) return null;
  for (const [otherZone, tasks] of tasksByZone) if (otherZone !== zone && tasks > 0) return 'one zone';
  return null;
}
