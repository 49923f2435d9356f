/**
 * Compares two versions of the configuration field by field, for the history and for operators.
 *
 * @module
 */
import { AMOUNT_FIELDS } from './apply-changes.js';
import type { Configuration, ConfiguredTeam } from './types.js';

/** One field that differs between two versions. Stored in the history and sent to operators as it is. */
export interface FieldChange {
  /** Path of the field, such as `teams.red.cpus`. */
  readonly path: string;
  /** The former value as text; `-` where there was none. */
  readonly from: string;
  readonly to: string;
}

function formatAmount(amount: number | undefined): string {
  if (amount === undefined) return '-';
  return amount === Infinity ? 'no limit' : String(amount);
}

function diffTeam(before: ConfiguredTeam | undefined, after: ConfiguredTeam): FieldChange[] {
  const fieldChanges: FieldChange[] = [];
  for (const field of AMOUNT_FIELDS)
    if (before?.[field] !== after[field])
      fieldChanges.push({
        path: `teams.${after.name}.${field}`,
        from: formatAmount(before?.[field]),
        to: formatAmount(after[field]),
      });
  const wasRetired = before?.isRetired ?? false;
  if (wasRetired !== after.isRetired)
    fieldChanges.push({
      path: `teams.${after.name}.retired`,
      from: String(wasRetired),
      to: String(after.isRetired),
    });
  return fieldChanges;
}

/** Lists all fields that differ between two versions. Teams are never removed, so those of `after` are compared. */
export function diffConfigurations(before: Configuration, after: Configuration): FieldChange[] {
  const teamsBefore = new Map(before.teams.map((team) => [team.name, team]));
  const fieldChanges = after.teams.flatMap((team) => {
    const teamBefore = teamsBefore.get(team.name);
    return teamBefore === team ? [] : diffTeam(teamBefore, team);
  });
  const objectivesBefore = JSON.stringify(before.objectives);
  const objectivesAfter = JSON.stringify(after.objectives);
  if (objectivesBefore !== objectivesAfter)
    fieldChanges.push({ path: 'objectives', from: objectivesBefore, to: objectivesAfter });
  return fieldChanges;
}
