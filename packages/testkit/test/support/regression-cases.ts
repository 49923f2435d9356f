/**
 * Long jobs in a small world, and faults that begin now, for the cases of the randomised fault search.
 *
 * @module
 */
import assert from 'node:assert/strict';
import type { JobSpec } from '@spurbridge/wire';
import type { World } from '../../src/index.js';
import { jobId, jobSpec, leaderIndex } from '../../src/index.js';

/** Within this a cancelled job's tasks have to be gone in a `smallWorld`. */
export const CANCEL_MS = 26_000;
/** Lease of a worker in a `smallWorld`. */
export const LEASE_MS = 12_000;
/** By then tasks run, and workers send their heartbeats to the nodes that will serve them. */
export const BEGIN_MS = 40_000;

/** Starts jobs whose tasks outlast every fault; `overrides` replaces single fields. */
export function startLongJobs(world: World, count: number, overrides: Partial<JobSpec> = {}): JobSpec[] {
  const specs = Array.from({ length: count }, (_, index) =>
    jobSpec({ id: jobId(index), tasks: 2, estimateS: 400, ...overrides }),
  );
  for (const spec of specs) world.startUser(spec, null);
  return specs;
}

/** Runs something this much later. */
export function after(world: World, ms: number, run: () => void): void {
  world.time.after(ms, run);
}

/** The store refuses this node alone, from now on for this long. */
export function refuseNode(world: World, index: number, forMs: number): void {
  const node = world.nodes[index];
  if (node === undefined) return;
  node.store.isRefused = true;
  after(world, forMs, () => {
    node.store.isRefused = false;
  });
}

/** The store is down from now on for this long. */
export function startOutage(world: World, forMs: number): void {
  world.store.setOutage(true);
  after(world, forMs, () => {
    world.store.setOutage(false);
  });
}

/** Ends the leader's process, where a node leads. */
export function crashLeader(world: World, backMs = 200): void {
  const leader = leaderIndex(world);
  if (leader >= 0) world.crash(leader, backMs);
}

/** Lets this much time pass. */
export async function passTime(world: World, ms: number): Promise<void> {
  await world.runUntil(world.time.now + ms);
}

/** No rule was broken until now. */
export function assertNoViolations(world: World, message = ''): void {
  assert.deepEqual(world.checker.violations, [], message);
}
