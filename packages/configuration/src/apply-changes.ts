/**
 * Validates changes and computes the next version of the configuration.
 *
 * @module
 */
import { EPSILON } from '@spurbridge/model';
import { InvalidChangeError } from './errors.js';
import type {
  Configuration,
  ConfigurationChange,
  ConfigurationVersion,
  ConfiguredTeam,
  GuaranteeBound,
  TeamChange,
} from './types.js';

/** The fields of a team that hold amounts of resources. */
export const AMOUNT_FIELDS = ['cpus', 'cpusMax', 'gpus', 'gpusMax'] as const;

const GUARANTEE_FIELDS = ['cpus', 'gpus'] as const;

function newTeam(name: string): ConfiguredTeam {
  return { name, cpus: 0, cpusMax: Infinity, gpus: 0, gpusMax: Infinity, isRetired: false };
}

function applyTeamChange(current: ConfiguredTeam, change: TeamChange): ConfiguredTeam {
  return {
    name: current.name,
    cpus: change.cpus ?? current.cpus,
    cpusMax: change.cpusMax ?? current.cpusMax,
    gpus: change.gpus ?? current.gpus,
    gpusMax: change.gpusMax ?? current.gpusMax,
    isRetired: change.isRetired ?? current.isRetired,
  };
}

function validateTeam(team: ConfiguredTeam): void {
  for (const field of AMOUNT_FIELDS) {
    const isLimit = field === 'cpusMax' || field === 'gpusMax';
    const amount = team[field];
    const isValid = amount >= 0 && (isLimit || amount !== Infinity);
    if (!isValid)
      throw new InvalidChangeError(`teams.${team.name}.${field}`, 'expected a finite amount of at least 0');
  }
  if (team.cpus > team.cpusMax + EPSILON)
    throw new InvalidChangeError(`teams.${team.name}.cpus`, 'the guarantee is above the limit');
  if (team.gpus > team.gpusMax + EPSILON)
    throw new InvalidChangeError(`teams.${team.name}.gpus`, 'the guarantee is above the limit');
}

/** The guarantees of retired teams are included, because their accepted jobs still run within them. */
function validateGuarantees(teams: readonly ConfiguredTeam[], bound: GuaranteeBound): void {
  for (const field of GUARANTEE_FIELDS) {
    const total = teams.reduce((sum, team) => sum + team[field], 0);
    if (total > bound[field] + EPSILON)
      throw new InvalidChangeError(
        `teams.${field}`,
        `the guarantees of all teams add up to ${total} and exceed the bound of ${bound[field]}`,
      );
  }
}

/**
 * Computes the version that follows `current`, with all of the changes made. Teams that no change names keep their
 * identity as objects.
 *
 * @throws {@link InvalidChangeError} for the first invalid field; then none of the changes is made
 */
export function applyChanges(
  current: Configuration,
  changes: readonly ConfigurationChange[],
  bound: GuaranteeBound,
): Configuration {
  const teamsByName = new Map(current.teams.map((team) => [team.name, team]));
  let { objectives } = current;
  for (const change of changes) {
    if ('objectives' in change) {
      objectives = change.objectives;
      continue;
    }
    const team = applyTeamChange(teamsByName.get(change.team) ?? newTeam(change.team), change);
    validateTeam(team);
    teamsByName.set(team.name, team);
  }
  const teams = [...teamsByName.values()];
  validateGuarantees(teams, bound);
  return { version: (current.version + 1) as ConfigurationVersion, teams, objectives };
}
