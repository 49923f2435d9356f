import type { ConfigurationChange } from '@spurbridge/configuration';
import { parseChange } from '@spurbridge/configuration';
import { ValidationError, read } from '@spurbridge/wire';
import { parse } from 'smol-toml';

/** Fields of a file, as the platform's settings name them, and what they are called in a change. */
const TEAM_FIELDS: Readonly<Record<string, string>> = {
  name: 'team',
  cpus: 'cpus',
  cpus_max: 'cpusMax',
  gpus: 'gpus',
  gpus_max: 'gpusMax',
  retired: 'retired',
};
const OBJECTIVE_FIELDS: Readonly<Record<string, string>> = {
  kind: 'kind',
  class: 'class',
  within_s: 'withinS',
  share: 'share',
  times: 'times',
};
/** As in the platform's settings, a limit of 0 is none. */
const LIMITS: ReadonlySet<string> = new Set(['cpus_max', 'gpus_max']);

function renamed(entry: unknown, fields: Readonly<Record<string, string>>, path: string): read.JsonObject {
  const out: Record<string, unknown> = {};
  for (const [field, value] of Object.entries(read.asObject(entry, path))) {
    const name = fields[field];
    if (name === undefined) throw new ValidationError(`${path}.${field}`, 'no such field');
    out[name] = LIMITS.has(field) && value === 0 ? null : value;
  }
  return out;
}

/** Reads a file of changes (TOML): teams that are left out stay as they are; objectives are replaced as a whole. */
export function parseConfigFile(text: string): ConfigurationChange[] {
  const o = parse(text) as read.JsonObject;
  for (const field of Object.keys(o))
    if (field !== 'teams' && field !== 'objectives') throw new ValidationError(field, 'teams or objectives');
  const changes = read
    .asArray(o['teams'] ?? [], 'teams')
    .map((team, n) => parseChange(renamed(team, TEAM_FIELDS, `teams[${n}]`), `teams[${n}]`));
  if (o['objectives'] === undefined) return changes;
  const objectives = read
    .asArray(o['objectives'], 'objectives')
    .map((objective, n) => renamed(objective, OBJECTIVE_FIELDS, `objectives[${n}]`));
  return [...changes, parseChange({ objectives }, 'objectives')];
}
