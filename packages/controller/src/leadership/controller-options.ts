/**
 * The dependencies of a controller process.
 *
 * @module
 */
import type { CloudProvider } from '@spurbridge/cloud';
import type { WallClockMs } from '@spurbridge/model';
import type { Clock } from '@spurbridge/net';
import type { RecoverableStore } from '@spurbridge/recovery';
import type { WorkerClient } from '../heartbeats/worker-client.js';
import type { Logger } from '../logger.js';
import type { PeerTransport, PeerTransportHost } from '../peers/peer-transport.js';
import type { Settings } from '../settings.js';
import type { LeaderComponentFactory } from './leader-component.js';

/** The dependencies of a `Controller`. */
export interface ControllerOptions {
  readonly settings: Settings;
  /**
   * The key-value store with its recovery. Its `onIntegrityChanged` and `onReplicaChanged` must call the controller's
   * `onStoreIntegrityChanged` and `onRecordsChanged`.
   */
  readonly store: RecoverableStore;
  readonly cloud: CloudProvider;
  readonly workerClient: WorkerClient;
  readonly clock: Clock;
  readonly wallNow: () => WallClockMs;
  readonly log: Logger;
  /** Creates the transport to the other controllers. */
  readonly createPeerTransport: (host: PeerTransportHost) => PeerTransport;
  /** Distinguishes this process from earlier ones of the same node. */
  readonly incarnation: string;
  /** Creates additional components of the leader. */
  readonly leaderComponents?: readonly LeaderComponentFactory[];
}
