import { randomBytes } from 'node:crypto';
import { HttpCloud } from '@spurbridge/cloud';
import { Controller, HttpWorkerLink, Peers, buildServer } from '@spurbridge/controller';
import type { Log, NodeConfiguration, RoomFactory, Settings } from '@spurbridge/controller';
import type { WallMs } from '@spurbridge/model';
import { steadyClock } from '@spurbridge/net';
import type { StateStore } from '@spurbridge/store';
import type { SnapshotShelf } from '@spurbridge/recovery';
import { GuardedStore } from '@spurbridge/recovery';
import { HttpStateStore } from '@spurbridge/store';
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
  rooms: readonly RoomFactory[],
  addition: Addition | null,
  flags: Readonly<Record<string, unknown>>,
): Promise<void> {
  const log = pino(
    { level, base: { node: settings.node }, timestamp: pino.stdTimeFunctions.isoTime },
    destination({ fd: 2, sync: true }),
  );
  if (settings.memoryMb !== null) new HeapGovernor(settings.memoryMb).start();
  const shelf = addition?.shelf?.(flags, log);
  const cloud = new HttpCloud(settings.cloudAddress, settings.cloud.rps, steadyClock);
  const store = new GuardedStore({
    ...(shelf === undefined ? {} : { shelf }),
    raw: new HttpStateStore(settings.stateAddress, settings.state, steadyClock),
    clock: steadyClock,
    wallNow: () => Date.now() as WallMs,
    node: settings.node,
    nodes: settings.peers.length + 1,
    limits: settings.state,
    machines: async () => (await cloud.list())?.filter((m) => m.phase === 'running').length ?? null,
    log,
    changed: () => {
      controller.trustChanged();
    },
    copied: () => {
      controller.copyChanged();
    },
  });
  const controller: Controller = new Controller({
    settings,
    store,
    cloud,
    workers: new HttpWorkerLink(settings.maxSockets),
    clock: steadyClock,
    wallNow: () => Date.now() as WallMs,
    log,
    link: (status, receive, closed) =>
      new Peers(settings.peers, steadyClock, log, status, receive, settings.back, closed),
    incarnation: randomBytes(8).toString('hex'),
    rooms,
  });
  const app = buildServer(controller, log);
  addition?.routes?.(app, {
    settings,
    store,
    types: () => controller.types,
    configurationStatus: () => controller.configurationStatus(),
  });
  await listen(app, settings.listen, log);
  log.info({ listen: settings.listen, back: settings.back, zone: settings.zone }, 'serving');
  addition?.beside?.(flags, { settings, store, log });
  await controller.run();
}

/** Listens, as soon as the process before this one has let go of the port. */
async function listen(app: FastifyInstance, address: string, log: Log): Promise<void> {
  const colon = address.lastIndexOf(':');
  for (;;) {
    try {
      await app.listen({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) });
      return;
    } catch (e) {
      if ((e as { code?: unknown }).code !== 'EADDRINUSE') throw e;
      log.info({ listen: address }, 'port still taken');
      await steadyClock.sleep(PORT_RETRY_MS);
    }
  }
}

/** What a program that was started adds to the usual one. */
export interface Addition {
  /** Adds its own flags. */
  readonly flags: (program: Command) => void;
  /** Rooms made from the flags' values; a `SettingsError` says what is wrong with them. */
  readonly rooms: (flags: Readonly<Record<string, unknown>>) => readonly RoomFactory[];
  /** Snapshots that outlive all nodes. */
  readonly shelf?: (flags: Readonly<Record<string, unknown>>, log: Log) => SnapshotShelf;
  /** What runs beside the controller, as long as it does. */
  readonly beside?: (flags: Readonly<Record<string, unknown>>, parts: BesideParts) => void;
  /** Further calls that every node serves. */
  readonly routes?: (app: FastifyInstance, parts: RouteParts) => void;
}

export interface RouteParts {
  readonly settings: Settings;
  readonly store: StateStore;
  readonly types: () => readonly MachineType[];
  /** Which version of the configuration each node goes by. */
  readonly configurationStatus: () => readonly NodeConfiguration[];
}

export interface BesideParts {
  readonly settings: Settings;
  readonly store: GuardedStore;
  readonly log: Log;
}

interface Flags {
  readonly config: string;
  readonly check?: boolean;
  readonly logLevel?: string;
}

/** The daemon's command line: reads flags and settings, then serves until killed. */
export function runDaemon(addition: Addition | null): void {
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
  addition?.flags(program);
  program.action(async (flags: Flags & Readonly<Record<string, unknown>>) => {
    let settings: Settings;
    let rooms: readonly RoomFactory[];
    try {
      settings = readSettings(flags.config);
      rooms = addition?.rooms(flags) ?? [];
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
