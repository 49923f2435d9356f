/**
 * Machines that come back within a second, and what their agents may remember then. The protocol does not say it.
 *
 * @module
 */
import type { AgentMemory } from '@spurbridge/simulated-worker';
import { NEW_AGENT } from '@spurbridge/simulated-worker';
import type { MachineId } from '@spurbridge/wire';
import type { World } from './world.js';

/** What an agent remembers after a restart of what it knew before. */
export type AgentRecall = (memory: AgentMemory) => AgentMemory;

/** The possible memories of an agent after a restart, by name. */
export const AGENT_RECALLS: Readonly<Record<string, AgentRecall>> = {
  'next epoch, token kept': ({ epoch, fencingToken }) => ({ epoch: epoch + 1, sequence: 0, fencingToken }),
  'next epoch, token forgotten': ({ epoch }) => ({ epoch: epoch + 1, sequence: 0, fencingToken: 0 }),
  'same epoch, sequence and token kept': (memory) => memory,
  'same epoch, sequence forgotten, token kept': (memory) => ({ ...memory, sequence: 0 }),
  'same epoch, sequence kept, token forgotten': (memory) => ({ ...memory, fencingToken: 0 }),
  'everything forgotten': () => NEW_AGENT,
};

const DOWN_TIMES_MS = [50, 200, 900];

/** Restarts the machine, which is back within a second. */
export function restartQuickly(world: World, id: MachineId, recall: AgentRecall): void {
  world.restartMachine(id, DOWN_TIMES_MS[world.random(DOWN_TIMES_MS.length)] ?? 0, recall);
}
