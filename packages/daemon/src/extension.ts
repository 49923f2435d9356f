/**
 * The interface by which a program extends the controller node with flags, leader components, snapshots and HTTP routes.
 *
 * @module
 */
import type {
  LeaderComponentFactory,
  Logger,
  NodeConfigurationStatus,
  Settings,
} from '@spurbridge/controller';
import type { RecoverableStore, SnapshotSource } from '@spurbridge/recovery';
import type { KeyValueStore } from '@spurbridge/store';
import type { MachineType } from '@spurbridge/wire';
import type { Command } from 'commander';
import type { FastifyInstance } from 'fastify';

/** Dependencies of an extension's routes. */
export interface RouteContext {
  readonly settings: Settings;
  readonly store: KeyValueStore;
  /** The machine types currently known to this node. */
  readonly machineTypes: () => readonly MachineType[];
  /** The version of the configuration on each node. */
  readonly configurationStatus: () => readonly NodeConfigurationStatus[];
}

/** Dependencies of an extension's background task. */
export interface BackgroundTaskContext {
  readonly settings: Settings;
  readonly store: RecoverableStore;
  readonly log: Logger;
}

/**
 * An extension of the controller node. Members that are left out add nothing.
 *
 * @typeParam Flags - values of the flags that the extension adds, as commander names them
 */
export interface DaemonExtension<Flags> {
  /** Adds flags to the command line. */
  addOptions(program: Command): void;
  /**
   * Checks the flags' values before the node starts, and with `--check`.
   *
   * @throws `SettingsError`
   */
  validate?(flags: Flags): void;
  /**
   * Creates components that run on the leader. Called before the node starts, and with `--check`.
   *
   * @throws `SettingsError`
   */
  createLeaderComponents?(flags: Flags): readonly LeaderComponentFactory[];
  /** Opens the snapshots from which the key-value store is recovered when no replica is left. */
  openSnapshotRepository?(flags: Flags, log: Logger): SnapshotSource;
  /** Starts a task that runs for as long as the node does. The task must handle its own errors. */
  startBackgroundTask?(flags: Flags, context: BackgroundTaskContext): void;
  /** Adds HTTP routes to those that every node serves. */
  registerRoutes?(app: FastifyInstance, flags: Flags, context: RouteContext): void;
}
