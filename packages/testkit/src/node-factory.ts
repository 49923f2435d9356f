/**
 * Starts controller processes, each with its clock, its snapshots, and its clients of store, cloud and
 * workers.
 *
 * @module
 */
import type { CloudProvider } from '@spurbridge/cloud';
import type { Logger, Settings } from '@spurbridge/controller';
import { Controller } from '@spurbridge/controller';
import type { WallClockMs } from '@spurbridge/model';
import { RecoverableStore } from '@spurbridge/recovery';
import { SnapshotRepository, runSnapshotter } from '@spurbridge/snapshot';
import type { NodeId } from '@spurbridge/wire';
import { ProcessClock, type SimTime } from './clock.js';
import type { SimCloud } from './cloud.js';
import { LIST_LAG_MS } from './cloud.js';
import { createCloudClient } from './cloud-client.js';
import { CLOUD_HOST, STORE_HOST } from './hosts.js';
import type { SimKeyValueStore } from './key-value-store.js';
import type { SimNetwork } from './network.js';
import type { PeerNetwork } from './peer-network.js';
import type { SimNode } from './sim-node.js';
import { nodeName } from './sim-node.js';
import { SimStoreClient } from './store-client.js';
import type { TrafficRecorder } from './traffic-recorder.js';
import type { WorkerTransport } from './worker-transport.js';
import type { WorldOptions } from './world-options.js';
import {
  AMPLE_STORE_LIMITS,
  DEFAULT_GANG_WAIT_S,
  DEFAULT_NODE_COUNT,
  DEFAULT_WALL_CLOCK_START_MS,
  GANG_PEER_S,
} from './world-options.js';

const HEARTBEAT_INTERVAL_S = 3;
const MAX_SNAPSHOTS = 9;
/** Maximum error of the nodes' wall clocks, in milliseconds. */
const WALL_CLOCK_ERROR_MS = 20;
/**
 * Exclusive upper bound of the drift of monotonic clocks, as parts in `CLOCK_DRIFT_UNIT`; they never run
 * slow.
 */
const MAX_CLOCK_DRIFT = 5;
const CLOCK_DRIFT_UNIT = 10_000;
const MAX_CLOCK_ORIGIN_MS = 1_000_000;

const SILENT_LOGGER: Logger = { debug: () => undefined, info: () => undefined, error: () => undefined };

/** What the processes of one simulated environment share. */
export interface NodeFactoryOptions {
  readonly world: WorldOptions;
  readonly time: SimTime;
  readonly network: SimNetwork;
  readonly store: SimKeyValueStore;
  readonly cloud: SimCloud;
  readonly peers: PeerNetwork;
  readonly workers: WorkerTransport;
  readonly recorder: TrafficRecorder;
  readonly random: (below: number) => number;
}

interface ProcessParts {
  readonly name: NodeId;
  readonly settings: Settings;
  readonly clock: ProcessClock;
  readonly cloud: CloudProvider;
  readonly wallNow: () => WallClockMs;
  readonly log: Logger;
}

/** Creates controller processes; their incarnations distinguish them. */
export class NodeFactory {
  private incarnations = 0;
  private idCount = 0;

  constructor(private readonly options: NodeFactoryOptions) {}

  /** The number of controllers. */
  get nodeCount(): number {
    return this.options.world.nodes ?? DEFAULT_NODE_COUNT;
  }

  /** Starts a process of the controller with this index. */
  start(index: number): SimNode {
    const { time, network, random, world, cloud: provider, recorder } = this.options;
    const name = nodeName(index);
    const clock = new ProcessClock(
      time,
      1 + random(MAX_CLOCK_DRIFT) / CLOCK_DRIFT_UNIT,
      random(MAX_CLOCK_ORIGIN_MS),
    );
    const store = new SimStoreClient(this.options.store, network, name, clock);
    const requester = `${name}-${this.incarnations}`;
    const parts: ProcessParts = {
      name,
      settings: this.settingsOf(index),
      clock,
      cloud: createCloudClient({ host: name, requester, network, cloud: provider, recorder }),
      wallNow: () => this.readWallClock(),
      log: world.log ?? SILENT_LOGGER,
    };
    const repository = this.openSnapshots(parts.log);
    let controller: Controller | null = null;
    const recoverableStore = this.createRecoverableStore(parts, store, repository, () => controller);
    this.incarnations += 1;
    controller = this.createController(parts, recoverableStore);
    void controller.run();
    if (repository !== null) this.startSnapshotter(parts, recoverableStore, repository);
    return { name, zone: parts.settings.zone, clock, store, recoverableStore, controller };
  }

  private readWallClock(): WallClockMs {
    const { world, time, random } = this.options;
    const startMs = world.wallClockStartMs ?? DEFAULT_WALL_CLOCK_START_MS;
    return (startMs + time.now + random(WALL_CLOCK_ERROR_MS)) as WallClockMs;
  }

  private zoneOf(index: number): string {
    const { zones } = this.options.world;
    return zones[index % zones.length] as string;
  }

  private settingsOf(index: number): Settings {
    const { world } = this.options;
    const node = nodeName(index);
    const allNodes = Array.from({ length: this.nodeCount }, (_, i) => ({
      node: nodeName(i),
      zone: this.zoneOf(i),
      address: nodeName(i) as string,
    }));
    return {
      node,
      zone: this.zoneOf(index),
      listen: '127.0.0.1:1',
      peerListen: '127.0.0.1:2',
      peers: allNodes.filter((peer) => peer.node !== node),
      cloudAddress: CLOUD_HOST,
      storeAddress: STORE_HOST,
      teams: world.teams,
      objectives: [],
      workers: {
        reportS: HEARTBEAT_INTERVAL_S,
        leaseS: world.leaseS,
        gangWaitS: world.gangWaitS ?? DEFAULT_GANG_WAIT_S,
        gangPeerS: GANG_PEER_S,
        cancelS: world.cancelS,
      },
      storeLimits: world.storeLimits ?? AMPLE_STORE_LIMITS,
      cloudLimits: { rps: 10, listLagS: LIST_LAG_MS / 1000 },
      maxSockets: 100,
      memoryMb: null,
      cpuShare: 0.17,
    };
  }

  private openSnapshots(log: Logger): SnapshotRepository | null {
    const { snapshots } = this.options.world;
    if (snapshots === undefined) return null;
    return new SnapshotRepository(snapshots.directory, (file, reason) => {
      log.info({ file, reason }, 'snapshot refused');
    });
  }

  private createRecoverableStore(
    { name, settings, clock, cloud, wallNow, log }: ProcessParts,
    underlyingStore: SimStoreClient,
    repository: SnapshotRepository | null,
    controller: () => Controller | null,
  ): RecoverableStore {
    const { random } = this.options;
    return new RecoverableStore({
      ...(repository === null ? {} : { snapshots: repository }),
      underlyingStore,
      clock,
      wallNow,
      newId: () => `id-${random(2 ** 30)}-${(this.idCount += 1)}`,
      node: name,
      nodes: this.nodeCount,
      limits: settings.storeLimits,
      countRunningMachines: async () =>
        (await cloud.listMachines())?.filter((machine) => machine.phase === 'running').length ?? null,
      log,
      onIntegrityChanged: () => {
        controller()?.onStoreIntegrityChanged();
      },
      onReplicaChanged: () => {
        controller()?.onRecordsChanged();
      },
    });
  }

  private createController(parts: ProcessParts, store: RecoverableStore): Controller {
    const { name, settings, clock, cloud, wallNow, log } = parts;
    const { world, network, workers, peers } = this.options;
    return new Controller({
      settings,
      store,
      cloud,
      workerClient: workers.clientFor(name),
      clock,
      wallNow,
      log,
      incarnation: `${name}-${this.incarnations}`,
      leaderComponents: world.leaderComponents?.(name, network) ?? [],
      createPeerTransport: ({ status, onMessage, onDisconnected }) =>
        peers.connect({ name, clock, status, receive: onMessage, closed: onDisconnected }),
    });
  }

  private startSnapshotter(
    { name, clock, wallNow, log }: ProcessParts,
    store: RecoverableStore,
    repository: SnapshotRepository,
  ): void {
    const { snapshots } = this.options.world;
    if (snapshots === undefined) return;
    const { intervalMs } = snapshots;
    void runSnapshotter({
      store,
      repository,
      node: name,
      intervalMs,
      maxSnapshots: MAX_SNAPSHOTS,
      clock,
      wallNow,
      log,
    });
  }
}
