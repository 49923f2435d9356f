/**
 * Parses and formats the bodies of operators' requests. Parsing is strict, so that a misspelt field is
 * rejected rather than silently ignored.
 *
 * @module
 */
import { ValidationError, read } from '@spurbridge/wire';
import type { Proposal } from './proposal.js';
import { parseObjective } from './records.js';
import type { ConfigurationChange, ConfigurationVersion, ObjectivesChange, TeamChange } from './types.js';

const TEAM_FIELDS: ReadonlySet<string> = new Set(['team', 'cpus', 'cpusMax', 'gpus', 'gpusMax', 'retired']);
const OBJECTIVES_CHANGE_FIELDS: ReadonlySet<string> = new Set(['objectives']);
const OBJECTIVE_FIELDS: ReadonlySet<string> = new Set(['kind', 'class', 'withinS', 'share', 'times']);
const PROPOSAL_FIELDS: ReadonlySet<string> = new Set(['base', 'changeId', 'author', 'changes', 'dryRun']);
const MAX_CHANGES_PER_PROPOSAL = 5000;

function rejectUnknownFields(fields: read.JsonObject, known: ReadonlySet<string>, path: string): void {
  for (const field of Object.keys(fields))
    if (!known.has(field))
      throw new ValidationError(path === '' ? field : `${path}.${field}`, 'a known field');
}

/** Parses a limit: an amount, or null for none. */
function parseLimit(fields: read.JsonObject, field: string): number {
  return fields[field] === null ? Infinity : read.amount(fields, field);
}

function parseTeamChange(fields: read.JsonObject): TeamChange {
  rejectUnknownFields(fields, TEAM_FIELDS, '');
  return {
    team: read.name(fields, 'team'),
    ...(fields['cpus'] === undefined ? {} : { cpus: read.amount(fields, 'cpus') }),
    ...(fields['cpusMax'] === undefined ? {} : { cpusMax: parseLimit(fields, 'cpusMax') }),
    ...(fields['gpus'] === undefined ? {} : { gpus: read.amount(fields, 'gpus') }),
    ...(fields['gpusMax'] === undefined ? {} : { gpusMax: parseLimit(fields, 'gpusMax') }),
    ...(fields['retired'] === undefined ? {} : { isRetired: read.boolean(fields, 'retired') }),
  };
}

function parseObjectivesChange(fields: read.JsonObject): ObjectivesChange {
  rejectUnknownFields(fields, OBJECTIVES_CHANGE_FIELDS, '');
  const objectives = read.asArray(fields['objectives'], 'objectives').map((entry, index) => {
    const path = `objectives[${index}]`;
    rejectUnknownFields(read.asObject(entry, path), OBJECTIVE_FIELDS, path);
    return parseObjective(entry);
  });
  return { objectives };
}

/**
 * Parses one change.
 *
 * @param path - path of the change in what was sent, for error messages
 * @throws `ValidationError` that names the malformed or unknown field
 */
export function parseChange(value: unknown, path: string): ConfigurationChange {
  return read.withFieldPath(path, () => {
    const fields = read.asObject(value, 'entry');
    return fields['objectives'] === undefined ? parseTeamChange(fields) : parseObjectivesChange(fields);
  });
}

/** Formats one change as JSON, in which null stands for no limit. */
export function formatChange(change: ConfigurationChange): Record<string, unknown> {
  if ('objectives' in change) return { objectives: change.objectives };
  const { isRetired, ...amounts } = change;
  const limits = { cpusMax: amounts.cpusMax, gpusMax: amounts.gpusMax };
  const formattedLimits = Object.entries(limits)
    .filter(([, limit]) => limit !== undefined)
    .map(([field, limit]) => [field, limit === Infinity ? null : limit] as const);
  return {
    ...amounts,
    ...Object.fromEntries(formattedLimits),
    ...(isRetired === undefined ? {} : { retired: isRetired }),
  };
}

/**
 * Parses the body of a request for changes.
 *
 * @throws `ValidationError` that names the malformed or unknown field
 */
export function parseProposal(body: unknown): Proposal {
  const fields = read.asObject(body, 'body');
  rejectUnknownFields(fields, PROPOSAL_FIELDS, '');
  const changes = read.asArray(fields['changes'], 'changes');
  if (changes.length === 0 || changes.length > MAX_CHANGES_PER_PROPOSAL)
    throw new ValidationError('changes', `1 to ${MAX_CHANGES_PER_PROPOSAL} changes`);
  return {
    baseVersion: read.count(fields, 'base') as ConfigurationVersion,
    changeId: read.name(fields, 'changeId'),
    author: read.name(fields, 'author'),
    changes: changes.map((change, index) => parseChange(change, `changes[${index}]`)),
    isDryRun: read.booleanOrFalse(fields, 'dryRun'),
  };
}
