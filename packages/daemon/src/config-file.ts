/**
 * Reads a file of configuration changes (TOML), whose fields are named as in the platform's settings file.
 *
 * @module
 */
import type { ConfigurationChange } from '@spurbridge/configuration';
import { parseChange } from '@spurbridge/configuration';
import { ValidationError, read } from '@spurbridge/wire';
import { parse } from 'smol-toml';

/** Maps the names of the file's fields to those of the request's fields. */
type FieldNames = Readonly<Record<string, string>>;

const TEAM_FIELDS: FieldNames = {
  name: 'team',
  cpus: 'cpus',
  cpus_max: 'cpusMax',
  gpus: 'gpus',
  gpus_max: 'gpusMax',
  retired: 'retired',
};
const OBJECTIVE_FIELDS: FieldNames = {
  kind: 'kind',
  class: 'class',
  within_s: 'withinS',
  share: 'share',
  times: 'times',
};
/** Fields in which 0 means no limit, as in the platform's settings file. */
const LIMIT_FIELDS: ReadonlySet<string> = new Set(['cpus_max', 'gpus_max']);
const TOP_LEVEL_FIELDS: ReadonlySet<string> = new Set(['teams', 'objectives']);

function toRequestFields(entry: unknown, fieldNames: FieldNames, path: string): read.JsonObject {
  const requestFields: Record<string, unknown> = {};
  for (const [field, value] of Object.entries(read.asObject(entry, path))) {
    const requestField = fieldNames[field];
    if (requestField === undefined) throw new ValidationError(`${path}.${field}`, 'a known field');
    const isUnlimited = LIMIT_FIELDS.has(field) && value === 0;
    requestFields[requestField] = isUnlimited ? null : value;
  }
  return requestFields;
}

/**
 * Parses a file of changes. Teams that are not in the file stay unchanged; the list of objectives is replaced.
 *
 * @throws `ValidationError` that names the malformed or unknown field, or the TOML parser's error
 */
export function parseConfigFile(text: string): ConfigurationChange[] {
  const file = parse(text) as read.JsonObject;
  for (const field of Object.keys(file))
    if (!TOP_LEVEL_FIELDS.has(field)) throw new ValidationError(field, 'teams or objectives');
  const changes = read.asArray(file['teams'] ?? [], 'teams').map((team, index) => {
    const path = `teams[${index}]`;
    return parseChange(toRequestFields(team, TEAM_FIELDS, path), path);
  });
  if (file['objectives'] === undefined) return changes;
  const objectives = read
    .asArray(file['objectives'], 'objectives')
    .map((objective, index) => toRequestFields(objective, OBJECTIVE_FIELDS, `objectives[${index}]`));
  return [...changes, parseChange({ objectives }, 'objectives')];
}
