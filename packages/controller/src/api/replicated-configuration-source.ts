/**
 * The configuration that a controller uses to respond to users.
 *
 * @module
 */
import type { Configuration, ConfigurationReplica, ConfigurationVersion } from '@spurbridge/configuration';
import { HEAD_KEY, SETTINGS_FILE_VERSION, decodeHead } from '@spurbridge/configuration';
import type { KeyValueStore } from '@spurbridge/store';
import { ValidationError } from '@spurbridge/wire';
import type { ConfigurationSource } from '../jobs/job-service.js';

/** The configuration of this controller's replica, and the newest version in the key-value store. */
export class ReplicatedConfigurationSource implements ConfigurationSource {
  constructor(
    private readonly replica: ConfigurationReplica,
    private readonly store: KeyValueStore,
  ) {}

  /** The configuration of the replica. */
  current(): Configuration {
    return this.replica.current;
  }

  /** The newest version in the key-value store, or null if it cannot be read. */
  async latestVersion(): Promise<ConfigurationVersion | null> {
    const found = await this.store.read(HEAD_KEY, 1);
    if (found.outcome === 'absent') return SETTINGS_FILE_VERSION;
    if (found.outcome !== 'found') return null;
    try {
      return decodeHead(found.item.value).version;
    } catch (error) {
      if (error instanceof ValidationError) return null;
      throw error;
    }
  }
}
