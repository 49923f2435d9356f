import { ValidationError, read } from '@spurbridge/wire';
import type { Proposal } from './editor.js';
import { parseObjective } from './records.js';
import type { ConfigurationChange, ConfigurationVersion, TeamChange } from './types.js';

const TEAM_FIELDS: ReadonlySet<string> = new Set(['team', 'cpus', 'cpusMax', 'gpus', 'gpusMax', 'retired']);
const OBJECTIVE_FIELDS: ReadonlySet<string> = new Set(['kind', 'class', 'withinS', 'share', 'times']);
const PROPOSAL_FIELDS: ReadonlySet<string> = new Set(['base', 'changeId', 'author', 'changes', 'dryRun']);
const MOST_CHANGES = 5000;

/** An operator's mistake in a field's name must not pass for a change that was made. */
function refuseUnknown(o: read.JsonObject, known: ReadonlySet<string>, path: string): void {
  for (const field of Object.keys(o))
    if (!known.has(field))
      throw new ValidationError(path === '' ? field : `${path}.${field}`, 'no such field');
}

/** A limit: an amount, or null for none. */
function limit(o: read.JsonObject, field: string): number {
  return o[field] === null ? Infinity : read.amount(o, field);
}

function parseTeamChange(o: read.JsonObject, path: string): TeamChange {
  refuseUnknown(o, TEAM_FIELDS, path);
  return {
    team: read.name(o, 'team'),
    ...(o['cpus'] === undefined ? {} : { cpus: read.amount(o, 'cpus') }),
    ...(o['cpusMax'] === undefined ? {} : { cpusMax: limit(o, 'cpusMax') }),
    ...(o['gpus'] === undefined ? {} : { gpus: read.amount(o, 'gpus') }),
    ...(o['gpusMax'] === undefined ? {} : { gpusMax: limit(o, 'gpusMax') }),
    ...(o['retired'] === undefined ? {} : { isRetired: read.boolean(o, 'retired') }),
  };
}

/** Reads one change, strictly: throws a `MalformedError` that names the field. */
export function parseChange(value: unknown, path: string): ConfigurationChange {
  return read.withFieldPath(path, () => {
    const o = read.asObject(value, 'entry');
    if (o['objectives'] === undefined) return parseTeamChange(o, '');
    refuseUnknown(o, new Set(['objectives']), '');
    const objectives = read.asArray(o['objectives'], 'objectives').map((entry, n) => {
      refuseUnknown(read.asObject(entry, `objectives[${n}]`), OBJECTIVE_FIELDS, `objectives[${n}]`);
      return parseObjective(entry);
    });
    return { objectives };
  });
}

export function formatChange(change: ConfigurationChange): Record<string, unknown> {
  if ('objectives' in change) return { objectives: change.objectives };
  const { isRetired, ...rest } = change;
  const limits = { cpusMax: rest.cpusMax, gpusMax: rest.gpusMax };
  return {
    ...rest,
    ...Object.fromEntries(
      Object.entries(limits)
        .filter(([, amount]) => amount !== undefined)
        .map(([field, amount]) => [field, amount === Infinity ? null : amount]),
    ),
    ...(isRetired === undefined ? {} : { retired: isRetired }),
  };
}

export function parseProposal(body: unknown): Proposal {
  const o = read.asObject(body, 'body');
  refuseUnknown(o, PROPOSAL_FIELDS, '');
  const changes = read.asArray(o['changes'], 'changes');
  if (changes.length === 0 || changes.length > MOST_CHANGES)
    throw new ValidationError('changes', `1 to ${MOST_CHANGES} of them`);
  return {
    baseVersion: read.count(o, 'base') as ConfigurationVersion,
    changeId: read.name(o, 'changeId'),
    author: read.name(o, 'author'),
    changes: changes.map((change, n) => parseChange(change, `changes[${n}]`)),
    isDryRun: read.booleanOrFalse(o, 'dryRun'),
  };
}
