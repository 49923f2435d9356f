import { randomBytes } from 'node:crypto';
import { HttpCloudProvider } from '@spurbridge/cloud';
import { Controller, HttpWorkerClient, TcpPeerTransport, buildHttpServer } from '@spurbridge/controller';
import type {
  Logger,
  NodeConfigurationStatus,
  LeaderComponentFactory,
  Settings,
} from '@spurbridge/controller';
import type { WallClockMs } from '@spurbridge/model';
import { monotonicClock } from '@spurbridge/net';
import type { KeyValueStore } from '@spurbridge/store';
import type { SnapshotSource } from '@spurbridge/recovery';
import { RecoverableStore } from '@spurbridge/recovery';
import { HttpKeyValueStore } from '@spurbridge/store';
import type { MachineType } from '@spurbridge/wire';
import type { FastifyInstance } from 'fastify';
import { Command, Option } from 'commander';
import { destination, pino } from 'pino';
import manifest from '../package.json' with { type: 'json' };
import { HeapGovernor } from './heap.js';
import { SettingsError, readSettings } from './settings.js';

const PORT_RETRY_MS = 200;

function levelFrom(variable: string | undefined): string {
  return variable !== undefined && ['error', 'info', 'debug'].includes(variable) ? variable : 'info';
}

async function serve(
  settings: Settings,
  level: string,
  rooms: readonly LeaderComponentFactory[],
  addition: DaemonExtension | null,
  flags: Readonly<Record<string, unknown>>,
): Promise<void> {
  const log = pino(
    { level, base: { node: settings.node }, timestamp: pino.stdTimeFunctions.isoTime },
    destination({ fd: 2, sync: true }),
  );
  if (settings.memoryMb !== null) new HeapGovernor(settings.memoryMb).start();
  const shelf = addition?.openSnapshotRepository?.(flags, log);
  const cloud = new HttpCloudProvider(settings.cloudAddress, settings.cloudLimits.rps, monotonicClock);
  const store = new RecoverableStore({
    ...(shelf === undefined ? {} : { shelf }),
    raw: new HttpKeyValueStore(settings.storeAddress, settings.storeLimits, monotonicClock),
    clock: monotonicClock,
    wallNow: () => Date.now() as WallClockMs,
    node: settings.node,
    nodes: settings.peers.length + 1,
    limits: settings.storeLimits,
    countRunningMachines: async () =>
      (await cloud.listMachines())?.filter((m) => m.phase === 'running').length ?? null,
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
    wallNow: () => Date.now() as WallClockMs,
    log,
    createPeerTransport: (host) =>
      new TcpPeerTransport({
        peers: settings.peers,
        listen: settings.peerListen,
        clock: monotonicClock,
        log,
        host,
      }),
    incarnation: randomBytes(8).toString('hex'),
    leaderComponents: rooms,
  });
  const app = buildHttpServer(controller, log);
  addition?.registerRoutes?.(app, {
    settings,
    store,
    machineTypes: () => controller.knownMachineTypes,
    configurationStatus: () => controller.configurationStatus(),
  });
  await listen(app, settings.listen, log);
  log.info({ listen: settings.listen, back: settings.peerListen, zone: settings.zone }, 'serving');
  addition?.startBackgroundTask?.(flags, { settings, store, log });
  await controller.run();
}

/** Listens, as soon as the process before this one has let go of the port. */
async function listen(app: FastifyInstance, address: string, log: Logger): Promise<void> {
  const colon = address.lastIndexOf(':');
  for (;;) {
    try {
      await app.listen({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) });
      return;
    } catch (e) {
      if ((e as { code?: unknown }).code !== 'EADDRINUSE') throw e;
      log.info({ listen: address }, 'port still taken');
      await monotonicClock.sleep(PORT_RETRY_MS);
    }
  }
}

/** What a program that was started adds to the usual one. */
export interface DaemonExtension {
  /** Adds its own flags. */
  readonly addOptions: (program: Command) => void;
  /** Rooms made from the flags' values; a `SettingsError` says what is wrong with them. */
  readonly createLeaderComponents: (
    flags: Readonly<Record<string, unknown>>,
  ) => readonly LeaderComponentFactory[];
  /** Snapshots that outlive all nodes. */
  readonly openSnapshotRepository?: (flags: Readonly<Record<string, unknown>>, log: Logger) => SnapshotSource;
  /** What runs beside the controller, as long as it does. */
  readonly startBackgroundTask?: (
    flags: Readonly<Record<string, unknown>>,
    parts: BackgroundTaskContext,
  ) => void;
  /** Further calls that every node serves. */
  readonly registerRoutes?: (app: FastifyInstance, parts: RouteContext) => void;
}

export interface RouteContext {
  readonly settings: Settings;
  readonly store: KeyValueStore;
  readonly machineTypes: () => readonly MachineType[];
  /** Which version of the configuration each node goes by. */
  readonly configurationStatus: () => readonly NodeConfigurationStatus[];
}

export interface BackgroundTaskContext {
  readonly settings: Settings;
  readonly store: RecoverableStore;
  readonly log: Logger;
}

interface Flags {
  readonly config: string;
  readonly check?: boolean;
  readonly logLevel?: string;
}

/** The daemon's command line: reads flags and settings, then serves until killed. */
export function runDaemon(addition: DaemonExtension | null): void {
  const program = new Command('spurbridge')
    .description('Cluster scheduler: one controller node')
    .version(manifest.version)
    .requiredOption('--config <file>', "the platform's settings file (TOML)")
    .option('--check', 'check the settings and exit')
    .addOption(
      new Option('--log-level <level>', 'least severe level that is logged').choices([
        'error',
        'info',
        'debug',
      ]),
    );
  addition?.addOptions(program);
  program.action(async (flags: Flags & Readonly<Record<string, unknown>>) => {
    let settings: Settings;
    let rooms: readonly LeaderComponentFactory[];
    try {
      settings = readSettings(flags.config);
      rooms = addition?.createLeaderComponents(flags) ?? [];
    } catch (e) {
      if (!(e instanceof SettingsError)) throw e;
      process.stderr.write(`${e.message}\n`);
      process.exitCode = 2;
      return;
    }
    if (flags.check === true) {
      process.stdout.write(`settings of ${settings.node} are valid\n`);
      return;
    }
    await serve(settings, flags.logLevel ?? levelFrom(process.env['LOG_LEVEL']), rooms, addition, flags);
  });
  program.parseAsync().catch((e: unknown) => {
    process.stderr.write(`${e instanceof Error ? (e.stack ?? e.message) : String(e)}\n`);
    process.exitCode = 1;
  });
}
