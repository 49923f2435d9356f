import type { ConfigurationVersion } from '@spurbridge/configuration';
import { SETTINGS_FILE_VERSION } from '@spurbridge/configuration';
import type { Clock, MonotonicMs } from '@spurbridge/net';
import type { NodeId, PeerConfigurationStatus, PeerStatus } from '@spurbridge/wire';
import type { Settings } from '../settings.js';

const MOST_AGE_MS = 2 ** 31;

/** Which version of the configuration one node goes by. */
export interface NodeConfigurationStatus {
  readonly node: NodeId;
  /** Null: the node was never heard. */
  readonly version: ConfigurationVersion | null;
  /** How long ago the node could last confirm it at the state service, in milliseconds. */
  readonly ageMs: number;
  readonly leads: boolean;
}

export interface LocalConfiguration {
  readonly version: () => ConfigurationVersion;
  readonly ageMs: () => number;
  readonly leads: () => boolean;
}

/**
 * In which version the configuration is in force on each node: on one that answers users the version that it answers by, on
 * the leader that of its last plan. Nodes tell each other over `back`; it is for operators, and nothing is decided by it.
 */
export class ConfigurationRollout {
  private plannedVersion: ConfigurationVersion = SETTINGS_FILE_VERSION;
  private readonly heard = new Map<NodeId, { readonly status: PeerStatus; readonly at: MonotonicMs }>();

  constructor(
    private readonly settings: Settings,
    private readonly clock: Clock,
    private readonly own: LocalConfiguration,
  ) {}

  /** A new leader has made no plan yet. */
  onElected(): void {
    this.plannedVersion = SETTINGS_FILE_VERSION;
  }

  /** A plan went by this version; true when it is the first one that did. */
  recordPlan(version: ConfigurationVersion): boolean {
    const isNew = version !== this.plannedVersion;
    this.plannedVersion = version;
    return isNew;
  }

  private get version(): ConfigurationVersion {
    const version = this.own.version();
    return this.own.leads() ? (Math.min(version, this.plannedVersion) as ConfigurationVersion) : version;
  }

  /** What peers are told. */
  status(): PeerConfigurationStatus {
    const ageMs = Math.round(Math.min(MOST_AGE_MS, this.own.ageMs()));
    return { configurationVersion: this.version, configurationAgeMs: ageMs };
  }

  onPeerStatus(status: PeerStatus): void {
    this.heard.set(status.node, { status, at: this.clock.now() });
  }

  /** All nodes of the deployment, this one first. */
  allNodes(): NodeConfigurationStatus[] {
    const { node, peers } = this.settings;
    const own = {
      node,
      version: this.version,
      ageMs: this.status().configurationAgeMs,
      leads: this.own.leads(),
    };
    return [own, ...peers.map((p) => this.ofPeer(p.node))];
  }

  private ofPeer(node: NodeId): NodeConfigurationStatus {
    const known = this.heard.get(node);
    if (known === undefined) return { node, version: null, ageMs: MOST_AGE_MS, leads: false };
    const { status, at } = known;
    return {
      node,
      version: status.configurationVersion as ConfigurationVersion,
      ageMs: status.configurationAgeMs + (this.clock.now() - at),
      leads: status.acceptsForwardedHeartbeats,
    };
  }
}
