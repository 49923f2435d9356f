import type { ConfigurationChange, ProposalOutcome } from '@spurbridge/configuration';
import {
  ConfigurationEditor,
  UNBOUNDED_GUARANTEES,
  configurationFromSettings,
} from '@spurbridge/configuration';
import type { World } from './world.js';

let ids = 0;

/** An author at one node of a simulated world: what a request to that node's program does. */
export function editorAt(w: World, index: number): ConfigurationEditor {
  const node = w.nodes[index];
  if (node === undefined) throw new Error(`there is no node ${index}`);
  return new ConfigurationEditor({
    store: node.recoverableStore,
    clock: node.clock,
    wallNow: () => w.wallClockStartMs + w.time.now,
    limits: w.storeLimits,
    settingsFile: configurationFromSettings(w.teams, []),
    guaranteeBound: UNBOUNDED_GUARANTEES,
  });
}

export function nextChangeId(): string {
  ids += 1;
  return `change-${ids}`;
}

/** Asks a node for changes on top of the version that it goes by; the answer, once simulated time has brought it. */
export async function proposeChanges(
  w: World,
  index: number,
  changes: readonly ConfigurationChange[],
  changeId = nextChangeId(),
  base?: number,
): Promise<ProposalOutcome> {
  let answer: ProposalOutcome | null = null;
  const node = w.nodes[index];
  const version = base ?? node?.controller.configurationStatus()[0]?.version ?? 0;
  void editorAt(w, index)
    .propose({ baseVersion: version as never, changeId, author: 'test', changes, isDryRun: false })
    .then((outcome) => {
      answer = outcome;
    });
  for (let n = 0; n < MOST_LOOKS && answer === null; n += 1) await w.runUntil(w.time.now + LOOK_MS);
  // A process that ended answers nobody.
  return answer ?? { outcome: 'unsure' };
}

const MOST_LOOKS = 200;
const LOOK_MS = 25;

/** The version in force on each node that is up; null where a node was never heard. */
export function configurationVersions(w: World): (number | null)[] {
  return w.nodes
    .filter((n) => n.clock.alive)
    .map((n) => n.controller.configurationStatus()[0]?.version ?? null);
}

/** Whether the version is in force on every node, the leader's plans included. */
export function isInForceEverywhere(w: World, version: number): boolean {
  const all = configurationVersions(w);
  return all.length === w.nodes.length && all.every((v) => v !== null && v >= version);
}

/** Runs until the version is in force everywhere; how long that took in simulated milliseconds, or null. */
export async function runUntilInForce(w: World, version: number, mostMs: number): Promise<number | null> {
  const began = w.time.now;
  while (!isInForceEverywhere(w, version)) {
    if (w.time.now - began >= mostMs) return null;
    await w.runUntil(w.time.now + LOOK_MS);
  }
  return w.time.now - began;
}
