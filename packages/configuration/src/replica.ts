/**
 * A node's replica of the configuration, updated from the records in the key-value store.
 *
 * @module
 */
import type { Version } from '@spurbridge/wire';
import { ValidationError } from '@spurbridge/wire';
import { InconsistentRecordsError } from './errors.js';
import { HEAD_KEY } from './records.js';
import type { RecordLookup } from './stored-configuration.js';
import { readConfiguration } from './stored-configuration.js';
import type { Configuration, ConfigurationVersion } from './types.js';

/**
 * State of a replica:
 *
 * - `file`: no change was ever committed; the settings file applies.
 * - `following`: the newest version that the node has seen applies.
 * - `mixed`: the records that the node has seen belong to different versions.
 * - `unreadable`: a record is malformed or missing.
 *
 * A replica leaves `file` once and never returns to it; it may change between the other three states in any order. In
 * `mixed` and `unreadable` the previous version still applies.
 */
export type ConfigurationReplicaState = 'file' | 'following' | 'mixed' | 'unreadable';

/** The part of a logger that a replica uses. */
export interface ConfigurationLogger {
  info(fields: object, message: string): void;
  error(fields: object, message: string): void;
}

/** Dependencies of a {@link ConfigurationReplica}. */
export interface ConfigurationReplicaOptions {
  readonly log: ConfigurationLogger;
  /** Called after another version has become the current one. */
  readonly onChange: (configuration: Configuration) => void;
}

/** The configuration that applies on this node: always one complete version, the newest that the node has seen. */
export class ConfigurationReplica {
  private configuration: Configuration;
  /** Store version of the head record at the last successful read. */
  private headRecordVersion: Version | null = null;
  private currentState: ConfigurationReplicaState = 'file';

  /** @param settingsFile - the configuration that applies until the first change is seen */
  constructor(
    settingsFile: Configuration,
    private readonly options: ConfigurationReplicaOptions,
  ) {
    this.configuration = settingsFile;
  }

  /** The configuration that applies now. */
  get current(): Configuration {
    return this.configuration;
  }

  /** Version of the configuration that applies now. */
  get version(): ConfigurationVersion {
    return this.configuration.version;
  }

  /** State of the replica. */
  get state(): ConfigurationReplicaState {
    return this.currentState;
  }

  /** The only function that changes the state. */
  private transitionTo(next: ConfigurationReplicaState, reason: string): void {
    if (next === this.currentState) return;
    const previous = this.currentState;
    this.currentState = next;
    this.options.log.info(
      { from: previous, to: next, why: reason, version: this.version },
      'configuration replica changed state',
    );
  }

  /**
   * Reads the records again. Must be called whenever this node's replica of the key-value store may have
   * changed.
   */
  refresh(lookup: RecordLookup): void {
    const headRecordVersion = lookup(HEAD_KEY)?.version ?? null;
    // Every change writes the head record, but in `mixed` the other records may arrive after it.
    if (headRecordVersion === this.headRecordVersion && this.currentState !== 'mixed') return;
    try {
      const stored = readConfiguration(lookup);
      if (stored === null) this.handleMissingRecords();
      else this.adopt(stored.configuration);
      this.headRecordVersion = headRecordVersion;
    } catch (error) {
      if (error instanceof InconsistentRecordsError) this.transitionTo('mixed', error.message);
      else if (error instanceof ValidationError) this.transitionTo('unreadable', error.message);
      else throw error;
    }
  }

  /** Handles missing records after a version was seen: that version applies until another one is committed. */
  private handleMissingRecords(): void {
    if (this.currentState === 'file') return;
    this.options.log.error(
      { version: this.version },
      'configuration records are missing from the state service',
    );
    this.transitionTo('unreadable', 'head record is missing');
  }

  private adopt(next: Configuration): void {
    const previousVersion = this.configuration.version;
    if (next.version < previousVersion)
      // After a data loss the store's contents are authoritative (docs/state-loss.md); operators must notice the loss.
      this.options.log.error(
        { from: previousVersion, to: next.version },
        'configuration reverted to an earlier version',
      );
    this.configuration = next;
    this.transitionTo('following', `version ${next.version}`);
    if (next.version === previousVersion) return;
    this.options.log.info(
      { from: previousVersion, to: next.version, teams: next.teams.length },
      'configuration changed',
    );
    this.options.onChange(next);
  }
}
