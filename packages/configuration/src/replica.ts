import type { KeyValue, Version } from '@spurbridge/wire';
import { ValidationError } from '@spurbridge/wire';
import { HEAD_KEY, InconsistentRecordsError, readConfiguration } from './records.js';
import type { Configuration, ConfigurationVersion } from './types.js';

/**
 * file -> following <-> mixed, unreadable.
 * `file`: no change was ever made, the settings file holds. `mixed`: the records that were seen are not yet of one
 * version; `unreadable`: one of them cannot be read. In both the version before goes on holding.
 */
export type ConfigurationReplicaState = 'file' | 'following' | 'mixed' | 'unreadable';

export interface ConfigurationReplicaOptions {
  readonly log: {
    info(fields: object, message: string): void;
    error(fields: object, message: string): void;
  };
  /** Another version holds from now on. */
  readonly onChange: (configuration: Configuration) => void;
}

/** The configuration that this node goes by: always one whole version, the newest that it has seen. */
export class ConfigurationReplica {
  private held: Configuration;
  private stamp: Version | null = null;
  private currentState: ConfigurationReplicaState = 'file';

  constructor(
    file: Configuration,
    private readonly events: ConfigurationReplicaOptions,
  ) {
    this.held = file;
  }

  get current(): Configuration {
    return this.held;
  }

  get version(): ConfigurationVersion {
    return this.held.version;
  }

  get state(): ConfigurationReplicaState {
    return this.currentState;
  }

  /** The only function that changes the state. */
  private enter(next: ConfigurationReplicaState, why: string): void {
    if (next === this.currentState) return;
    const from = this.currentState;
    this.currentState = next;
    this.events.log.info({ from, to: next, why, version: this.version }, 'configuration');
  }

  /** Looks at what this node knows of the state service; called whenever that may have changed. */
  refresh(get: (key: string) => KeyValue | undefined): void {
    const stamp = get(HEAD_KEY)?.version ?? null;
    if (stamp === this.stamp && this.currentState !== 'mixed') return;
    try {
      const stored = readConfiguration(get);
      if (stored === null) this.vanished();
      else this.take(stored.configuration);
      this.stamp = stamp;
    } catch (e) {
      if (e instanceof InconsistentRecordsError) this.enter('mixed', e.message);
      else if (e instanceof ValidationError) this.enter('unreadable', e.message);
      else throw e;
    }
  }

  /** No record, though one was seen: what is held goes on holding until another version is made. */
  private vanished(): void {
    if (this.currentState === 'file') return;
    this.events.log.error({ version: this.version }, 'configuration is gone from the state service');
    this.enter('unreadable', 'no record');
  }

  private take(next: Configuration): void {
    const before = this.held.version;
    if (next.version < before)
      // What the state service holds after a loss is right (docs/state-loss.md); nobody is to miss it.
      this.events.log.error({ from: before, to: next.version }, 'configuration went back');
    this.held = next;
    this.enter('following', `version ${next.version}`);
    if (next.version === before) return;
    this.events.log.info(
      { from: before, to: next.version, teams: next.teams.length },
      'configuration changed',
    );
    this.events.onChange(next);
  }
}
