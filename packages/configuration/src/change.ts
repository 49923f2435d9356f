import { EPSILON } from '@spurbridge/model';
import type {
  Configuration,
  ConfigurationChange,
  ConfigurationVersion,
  ConfiguredTeam,
  GuaranteeBound,
  TeamChange,
} from './types.js';
import { InvalidChangeError } from './types.js';

/** One value that a change sets, as people read it. */
export interface FieldChange {
  readonly path: string;
  readonly from: string;
  readonly to: string;
}

const AMOUNTS = ['cpus', 'cpusMax', 'gpus', 'gpusMax'] as const;

function amountText(amount: number | undefined): string {
  if (amount === undefined) return '-';
  return amount === Infinity ? 'no limit' : String(amount);
}

function applyToTeam(team: ConfiguredTeam | undefined, change: TeamChange): ConfiguredTeam {
  const before = team ?? {
    name: change.team,
    cpus: 0,
    cpusMax: Infinity,
    gpus: 0,
    gpusMax: Infinity,
    isRetired: false,
  };
  return {
    name: before.name,
    cpus: change.cpus ?? before.cpus,
    cpusMax: change.cpusMax ?? before.cpusMax,
    gpus: change.gpus ?? before.gpus,
    gpusMax: change.gpusMax ?? before.gpusMax,
    isRetired: change.isRetired ?? before.isRetired,
  };
}

function checkTeam(team: ConfiguredTeam): void {
  for (const field of AMOUNTS) {
    const isLimit = field === 'cpusMax' || field === 'gpusMax';
    const amount = team[field];
    if (!(amount >= 0) || (amount === Infinity && !isLimit))
      throw new InvalidChangeError(`teams.${team.name}.${field}`, 'expected a finite amount of at least 0');
  }
  if (team.cpus > team.cpusMax + EPSILON)
    throw new InvalidChangeError(`teams.${team.name}.cpus`, 'the guarantee is above the limit');
  if (team.gpus > team.gpusMax + EPSILON)
    throw new InvalidChangeError(`teams.${team.name}.gpus`, 'the guarantee is above the limit');
}

/** Guarantees of retired teams count, too: what they were accepted for still runs. */
function checkBound(teams: readonly ConfiguredTeam[], bound: GuaranteeBound): void {
  for (const kind of ['cpus', 'gpus'] as const) {
    const sum = teams.reduce((s, t) => s + t[kind], 0);
    if (sum > bound[kind] + EPSILON)
      throw new InvalidChangeError(
        `teams.${kind}`,
        `guarantees of ${sum} exceed the bound of ${bound[kind]}`,
      );
  }
}

/**
 * The next version, with all of the changes. Throws a `RefusedChangeError` that names the first wrong field; nothing is
 * changed then.
 */
export function applyChanges(
  before: Configuration,
  changes: readonly ConfigurationChange[],
  bound: GuaranteeBound,
): Configuration {
  const teams = new Map(before.teams.map((t) => [t.name, t]));
  let { objectives } = before;
  for (const change of changes) {
    if ('objectives' in change) {
      objectives = change.objectives;
      continue;
    }
    const team = applyToTeam(teams.get(change.team), change);
    checkTeam(team);
    teams.set(team.name, team);
  }
  const all = [...teams.values()];
  checkBound(all, bound);
  return { version: (before.version + 1) as ConfigurationVersion, teams: all, objectives };
}

function teamDifferences(from: ConfiguredTeam | undefined, to: ConfiguredTeam): FieldChange[] {
  const found: FieldChange[] = [];
  for (const field of AMOUNTS)
    if (from?.[field] !== to[field])
      found.push({
        path: `teams.${to.name}.${field}`,
        from: amountText(from?.[field]),
        to: amountText(to[field]),
      });
  if ((from?.isRetired ?? false) !== to.isRetired)
    found.push({
      path: `teams.${to.name}.retired`,
      from: String(from?.isRetired ?? false),
      to: String(to.isRetired),
    });
  return found;
}

/** What differs between two versions; teams are never removed. */
export function diffConfigurations(from: Configuration, to: Configuration): FieldChange[] {
  const known = new Map(from.teams.map((t) => [t.name, t]));
  const found = to.teams.flatMap((t) =>
    known.get(t.name) === t ? [] : teamDifferences(known.get(t.name), t),
  );
  const objectives = [from, to].map((c) => JSON.stringify(c.objectives)) as [string, string];
  if (objectives[0] !== objectives[1])
    found.push({ path: 'objectives', from: objectives[0], to: objectives[1] });
  return found;
}
