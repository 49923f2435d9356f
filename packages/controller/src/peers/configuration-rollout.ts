/**
 * The rollout of configuration versions over all controllers, for operators.
 *
 * @module
 */
import type { ConfigurationVersion } from '@spurbridge/configuration';
import { SETTINGS_FILE_VERSION } from '@spurbridge/configuration';
import type { Clock, MonotonicMs } from '@spurbridge/net';
import type { NodeId, PeerStatus } from '@spurbridge/wire';
import type { Settings } from '../settings.js';

/** The largest age that is reported; also reported when the age is not known. */
const MAX_AGE_MS = 2 ** 31;

/** The configuration version that one controller applies. */
export interface NodeConfigurationStatus {
  readonly node: NodeId;
  /** Null if the controller has never sent its status. */
  readonly version: ConfigurationVersion | null;
  /** Milliseconds since the controller could last confirm the version at the key-value store. */
  readonly ageMs: number;
  readonly leads: boolean;
}

/** The configuration of this controller. */
export interface LocalConfiguration {
  /** The version of this controller's replica. */
  readonly version: () => ConfigurationVersion;
  /** Milliseconds since the replica was last confirmed. */
  readonly ageMs: () => number;
  /** Whether this controller leads. */
  readonly leads: () => boolean;
}

interface KnownStatus {
  readonly status: PeerStatus;
  readonly receivedAt: MonotonicMs;
}

/**
 * Tracks which configuration version each controller applies: for the leader, that of its latest scheduling pass; for
 * others, that of their responses to users. Controllers exchange it in their status; no decision depends on it.
 */
export class ConfigurationRollout {
  private plannedVersion: ConfigurationVersion = SETTINGS_FILE_VERSION;
  private readonly peers = new Map<NodeId, KnownStatus>();

  constructor(
    private readonly settings: Settings,
    private readonly clock: Clock,
    private readonly local: LocalConfiguration,
  ) {}

  /** Records that this controller was elected: as the leader it has not used any version in a scheduling pass yet. */
  onElected(): void {
    this.plannedVersion = SETTINGS_FILE_VERSION;
  }

  /** Records a scheduling pass that used this version; returns true if the version differs from the last one. */
  recordPlan(version: ConfigurationVersion): boolean {
    const isFirst = version !== this.plannedVersion;
    this.plannedVersion = version;
    return isFirst;
  }

  /** Processes the status of another controller. */
  onPeerStatus(status: PeerStatus): void {
    this.peers.set(status.node, { status, receivedAt: this.clock.now() });
  }

  /** The part of this controller's status that describes its configuration. */
  status(): Pick<PeerStatus, 'configurationVersion' | 'configurationAgeMs'> {
    const ageMs = Math.round(Math.min(MAX_AGE_MS, this.local.ageMs()));
    return { configurationVersion: this.appliedVersion, configurationAgeMs: ageMs };
  }

  /** The status of all controllers of the deployment, this one first. */
  allNodes(): NodeConfigurationStatus[] {
    const { node, peers } = this.settings;
    const own = {
      node,
      version: this.appliedVersion,
      ageMs: this.status().configurationAgeMs,
      leads: this.local.leads(),
    };
    return [own, ...peers.map((peer) => this.statusOfPeer(peer.node))];
  }

  private get appliedVersion(): ConfigurationVersion {
    const version = this.local.version();
    return this.local.leads() ? (Math.min(version, this.plannedVersion) as ConfigurationVersion) : version;
  }

  private statusOfPeer(node: NodeId): NodeConfigurationStatus {
    const known = this.peers.get(node);
    if (known === undefined) return { node, version: null, ageMs: MAX_AGE_MS, leads: false };
    const { status, receivedAt } = known;
    return {
      node,
      version: status.configurationVersion as ConfigurationVersion,
      ageMs: status.configurationAgeMs + (this.clock.now() - receivedAt),
      leads: status.acceptsForwardedHeartbeats,
    };
  }
}
