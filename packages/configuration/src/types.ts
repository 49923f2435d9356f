import type { Objective, Team } from '@spurbridge/model';
import type { Brand } from '@spurbridge/wire';

/** Number of a configuration: 0 is the settings file, every change adds one. */
export type ConfigurationVersion = Brand<number, 'ConfigurationVersion'>;

export const SETTINGS_FILE_VERSION = 0 as ConfigurationVersion;

/** A team with its quota; one that is retired takes no new job, what was accepted runs on. */
export interface ConfiguredTeam extends Team {
  readonly isRetired: boolean;
}

/** Everything that operators may change while jobs run. Never changed in place: each version is an object of its own. */
export interface Configuration {
  readonly version: ConfigurationVersion;
  readonly teams: readonly ConfiguredTeam[];
  readonly objectives: readonly Objective[];
}

/** One team's new amounts; what is left out stays, and is nothing (no limit) for a team that is new. */
export interface TeamChange {
  readonly team: string;
  readonly cpus?: number;
  /** Infinity: no limit. */
  readonly cpusMax?: number;
  readonly gpus?: number;
  readonly gpusMax?: number;
  readonly isRetired?: boolean;
}

/** All objectives anew. */
export interface ObjectivesChange {
  readonly objectives: readonly Objective[];
}

export type ConfigurationChange = TeamChange | ObjectivesChange;

/** Amounts that the guarantees of all teams together may not exceed; Infinity: no bound. */
export interface GuaranteeBound {
  readonly cpus: number;
  readonly gpus: number;
}

export const UNBOUNDED_GUARANTEES: GuaranteeBound = { cpus: Infinity, gpus: Infinity };

/** A change that is not made, with the field that is wrong. */
export class InvalidChangeError extends Error {
  constructor(
    readonly field: string,
    reason: string,
  ) {
    super(`${field}: ${reason}`);
  }
}

/** The configuration that the settings file states. */
export function configurationFromSettings(
  teams: readonly Team[],
  objectives: readonly Objective[],
): Configuration {
  return {
    version: SETTINGS_FILE_VERSION,
    teams: teams.map((t) => ({ ...t, isRetired: false })),
    objectives,
  };
}
