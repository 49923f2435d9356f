/**
 * The configuration that operators may change while jobs run, and the changes that they request.
 *
 * @module
 */
import type { Objective, Team } from '@spurbridge/model';
import type { Brand } from '@spurbridge/wire';

/** Number of a configuration: 0 is the settings file, and every committed change adds one. */
export type ConfigurationVersion = Brand<number, 'ConfigurationVersion'>;

/** Version of the configuration in the settings file, which applies until the first change is committed. */
export const SETTINGS_FILE_VERSION = 0 as ConfigurationVersion;

/** A team with its quota. A retired team may submit no new jobs; accepted ones run on. */
export interface ConfiguredTeam extends Team {
  readonly isRetired: boolean;
}

/** One version of everything that operators may change while jobs run. Immutable: each version is a new object. */
export interface Configuration {
  readonly version: ConfigurationVersion;
  readonly teams: readonly ConfiguredTeam[];
  readonly objectives: readonly Objective[];
}

/**
 * New quotas of one team. Omitted amounts keep their values; for a new team they default to a guarantee of 0 and to no
 * limit.
 */
export interface TeamChange {
  readonly team: string;
  readonly cpus?: number;
  /** Infinity: no limit. */
  readonly cpusMax?: number;
  readonly gpus?: number;
  /** Infinity: no limit. */
  readonly gpusMax?: number;
  readonly isRetired?: boolean;
}

/** Replaces all service-level objectives. */
export interface ObjectivesChange {
  readonly objectives: readonly Objective[];
}

/** One change that an operator requests; several of them are committed together. */
export type ConfigurationChange = TeamChange | ObjectivesChange;

/** Upper bounds of the sums of all teams' guarantees; Infinity: no bound. */
export interface GuaranteeBound {
  readonly cpus: number;
  readonly gpus: number;
}

/** The bound of a deployment that sets none. */
export const UNBOUNDED_GUARANTEES: GuaranteeBound = { cpus: Infinity, gpus: Infinity };

/** The configuration that the settings file states. */
export function configurationFromSettings(
  teams: readonly Team[],
  objectives: readonly Objective[],
): Configuration {
  return {
    version: SETTINGS_FILE_VERSION,
    teams: teams.map((team) => ({ ...team, isRetired: false })),
    objectives,
  };
}
