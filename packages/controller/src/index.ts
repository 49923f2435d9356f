/**
 * The controller of the cluster scheduler: what every node runs, and the leader.
 *
 * @module
 */
export * from './leadership/controller.js';
export type { ControllerOptions } from './leadership/controller-options.js';
export type * from './heartbeats/heartbeat-outcome.js';
export * from './api/http-server.js';
export * from './api/heartbeat-response.js';
export * from './settings.js';
export * from './heartbeats/worker-client.js';
export * from './jobs/job-service.js';
export * from './jobs/job-outcome.js';
export * from './api/job-status-code.js';
export type { NodeConfigurationStatus } from './peers/configuration-rollout.js';
export * from './leadership/leader.js';
export * from './logger.js';
export * from './placement/runtime-estimator.js';
export { ClusterState, compareMachineIds } from './jobs/cluster-state.js';
export type { ClusterEvents, PlacedTask } from './jobs/cluster-state.js';
export { RecordWatcher } from './jobs/record-watcher.js';
export { LeaderTerm } from './leadership/leader-term.js';
export type { LeaderContext } from './leadership/leader-term.js';
export type { LeaderComponent, LeaderComponentFactory } from './leadership/leader-component.js';
export { WakeSignal } from './wake-signal.js';
export { TcpPeerTransport } from './peers/tcp-peer-transport.js';
export type { TcpPeerTransportOptions } from './peers/tcp-peer-transport.js';
export { decodePeerMessages } from './peers/peer-message-stream.js';
export type { PeerTransport, PeerTransportHost } from './peers/peer-transport.js';
