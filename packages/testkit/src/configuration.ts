/**
 * Changes of the configuration in a simulated environment.
 *
 * @module
 */
import type { ConfigurationChange, ProposalOutcome } from '@spurbridge/configuration';
import {
  ConfigurationEditor,
  UNBOUNDED_GUARANTEES,
  configurationFromSettings,
} from '@spurbridge/configuration';
import { SpurbridgeError } from '@spurbridge/wire';
import type { World } from './world.js';

const CHECK_INTERVAL_MS = 25;
/** Maximum number of checks for a response to a proposal. */
const MAX_CHECKS = 200;

let changeCount = 0;

/** A node was named that does not exist. */
export class NoSuchNodeError extends SpurbridgeError {
  constructor(readonly index: number) {
    super('NO_SUCH_NODE', `node ${index} does not exist`);
  }
}

/**
 * Creates an editor with the store client and clock of one node, as for a request to that node.
 *
 * @throws NoSuchNodeError
 */
export function editorAt(world: World, index: number): ConfigurationEditor {
  const node = world.nodes[index];
  if (node === undefined) throw new NoSuchNodeError(index);
  return new ConfigurationEditor({
    store: node.recoverableStore,
    clock: node.clock,
    wallNow: () => world.wallClockStartMs + world.time.now,
    limits: world.storeLimits,
    settingsFile: configurationFromSettings(world.teams, []),
    guaranteeBound: UNBOUNDED_GUARANTEES,
  });
}

/** A change id that is unique in this process. */
export function nextChangeId(): string {
  changeCount += 1;
  return `change-${changeCount}`;
}

/**
 * Proposes changes to a node, based on `baseVersion` or on the node's own version; lets time pass until it
 * responds.
 */
export async function proposeChanges(
  world: World,
  index: number,
  changes: readonly ConfigurationChange[],
  changeId = nextChangeId(),
  baseVersion?: number,
): Promise<ProposalOutcome> {
  let response: ProposalOutcome | null = null;
  const version = baseVersion ?? world.nodes[index]?.controller.configurationStatus()[0]?.version ?? 0;
  void editorAt(world, index)
    .propose({ baseVersion: version as never, changeId, author: 'test', changes, isDryRun: false })
    .then((outcome) => {
      response = outcome;
    });
  for (let checks = 0; checks < MAX_CHECKS && response === null; checks += 1)
    await world.runUntil(world.time.now + CHECK_INTERVAL_MS);
  // An ended process never responds.
  return response ?? { outcome: 'unsure' };
}

/** The version in force on each running node; null if a node has none. */
export function configurationVersions(world: World): (number | null)[] {
  return world.nodes
    .filter((node) => node.clock.alive)
    .map((node) => node.controller.configurationStatus()[0]?.version ?? null);
}

/** Whether the version is in force on every node, including the leader's plans. */
export function isInForceEverywhere(world: World, version: number): boolean {
  const all = configurationVersions(world);
  return all.length === world.nodes.length && all.every((found) => found !== null && found >= version);
}

/**
 * Runs until the version is in force on all nodes; returns how long that took in milliseconds, or null after
 * `timeoutMs`.
 */
export async function runUntilInForce(
  world: World,
  version: number,
  timeoutMs: number,
): Promise<number | null> {
  const startedMs = world.time.now;
  while (!isInForceEverywhere(world, version)) {
    if (world.time.now - startedMs >= timeoutMs) return null;
    await world.runUntil(world.time.now + CHECK_INTERVAL_MS);
  }
  return world.time.now - startedMs;
}
