/**
 * Assembles a controller node from its parts and runs it.
 *
 * @module
 */
import { randomBytes } from 'node:crypto';
import type { CloudProvider } from '@spurbridge/cloud';
import { HttpCloudProvider } from '@spurbridge/cloud';
import type { LeaderComponentFactory, Logger, Settings } from '@spurbridge/controller';
import { Controller, HttpWorkerClient, TcpPeerTransport, buildHttpServer } from '@spurbridge/controller';
import type { WallClockMs } from '@spurbridge/model';
import { monotonicClock, parseSocketAddress } from '@spurbridge/net';
import type { SnapshotSource } from '@spurbridge/recovery';
import { RecoverableStore } from '@spurbridge/recovery';
import { HttpKeyValueStore } from '@spurbridge/store';
import type { FastifyInstance } from 'fastify';
import type { DaemonExtension } from './extension.js';
import { HeapGovernor } from './heap.js';
import { createLogger } from './logging.js';

const PORT_RETRY_INTERVAL_MS = 200;
const INCARNATION_BYTES = 8;

/** Options of a controller node. */
export interface NodeProcessOptions<Flags> {
  readonly settings: Settings;
  readonly logLevel: string;
  readonly extension: DaemonExtension<Flags> | null;
  readonly flags: Flags;
  readonly leaderComponents: readonly LeaderComponentFactory[];
}

/** The store and the controller that uses it. Each notifies the other, so they are created together. */
interface NodeParts {
  readonly store: RecoverableStore;
  readonly controller: Controller;
}

function wallClock(): WallClockMs {
  return Date.now() as WallClockMs;
}

/** Number of machines that the cloud provider reports as running; null if it does not respond. */
async function countRunningMachines(cloud: CloudProvider): Promise<number | null> {
  const machines = await cloud.listMachines();
  if (machines === null) return null;
  return machines.filter((machine) => machine.phase === 'running').length;
}

function createParts(
  settings: Settings,
  log: Logger,
  snapshots: SnapshotSource | undefined,
  leaderComponents: readonly LeaderComponentFactory[],
): NodeParts {
  const cloud = new HttpCloudProvider(settings.cloudAddress, settings.cloudLimits.rps, monotonicClock);
  const store = new RecoverableStore({
    ...(snapshots === undefined ? {} : { snapshots }),
    underlyingStore: new HttpKeyValueStore(settings.storeAddress, settings.storeLimits, monotonicClock),
    clock: monotonicClock,
    wallNow: wallClock,
    node: settings.node,
    nodes: settings.peers.length + 1,
    limits: settings.storeLimits,
    countRunningMachines: () => countRunningMachines(cloud),
    log,
    onIntegrityChanged: () => {
      controller.onStoreIntegrityChanged();
    },
    onReplicaChanged: () => {
      controller.onRecordsChanged();
    },
  });
  const controller: Controller = new Controller({
    settings,
    store,
    cloud,
    workerClient: new HttpWorkerClient(settings.maxSockets),
    clock: monotonicClock,
    wallNow: wallClock,
    log,
    createPeerTransport: (host) =>
      new TcpPeerTransport({
        peers: settings.peers,
        listen: settings.peerListen,
        clock: monotonicClock,
        log,
        host,
      }),
    incarnation: randomBytes(INCARNATION_BYTES).toString('hex'),
    leaderComponents,
  });
  return { store, controller };
}

/** Runs a controller node until the process is killed. */
export async function runNode<Flags>(options: NodeProcessOptions<Flags>): Promise<void> {
  const { settings, extension, flags } = options;
  const log = createLogger(settings.node, options.logLevel);
  if (settings.memoryMb !== null) new HeapGovernor(settings.memoryMb).start();
  const snapshots = extension?.openSnapshotRepository?.(flags, log);
  const { store, controller } = createParts(settings, log, snapshots, options.leaderComponents);
  const app = buildHttpServer(controller, log);
  extension?.registerRoutes?.(app, flags, {
    settings,
    store,
    machineTypes: () => controller.knownMachineTypes,
    configurationStatus: () => controller.configurationStatus(),
  });
  await listen(app, settings.listen, log);
  log.info({ listen: settings.listen, back: settings.peerListen, zone: settings.zone }, 'serving');
  extension?.startBackgroundTask?.(flags, { settings, store, log });
  await controller.run();
}

function isAddressInUse(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'EADDRINUSE';
}

/** Listens on the address. Retries while the port is in use, because the node's previous process may still hold it. */
async function listen(app: FastifyInstance, address: string, log: Logger): Promise<void> {
  const { host, port } = parseSocketAddress(address);
  for (;;) {
    try {
      await app.listen({ host, port });
      return;
    } catch (error) {
      if (!isAddressInUse(error)) throw error;
      log.info({ listen: address }, 'port in use; retrying');
      await monotonicClock.sleep(PORT_RETRY_INTERVAL_MS);
    }
  }
}
