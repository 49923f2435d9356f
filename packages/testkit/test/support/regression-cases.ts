/**
 * Helpers for the cases of the randomised fault search: long-running jobs, and faults that begin immediately.
 *
 * @module
 */
import assert from 'node:assert/strict';
import type { JobSpec } from '@spurbridge/wire';
import type { World } from '../../src/index.js';
import { jobId, jobSpec, leaderIndex } from '../../src/index.js';

/** Time within which the tasks of a cancelled job must have ended in a `smallWorld`. */
export const CANCEL_MS = 26_000;
/** Lease duration of a worker in a `smallWorld`. */
export const LEASE_MS = 12_000;
/** Start of the faults: tasks run, and the workers are distributed over the nodes. */
export const FAULTS_BEGIN_MS = 40_000;

/** Starts jobs whose tasks outlast every fault; `overrides` replaces single fields. */
export function startLongJobs(world: World, count: number, overrides: Partial<JobSpec> = {}): JobSpec[] {
  const specs = Array.from({ length: count }, (_, index) =>
    jobSpec({ id: jobId(index), tasks: 2, estimateS: 400, ...overrides }),
  );
  for (const spec of specs) world.startUser(spec, null);
  return specs;
}

/** Runs the function after this delay. */
export function after(world: World, ms: number, run: () => void): void {
  world.time.after(ms, run);
}

/** The store refuses all requests of this node, and only of this node, for this long, beginning now. */
export function refuseNode(world: World, index: number, forMs: number): void {
  const node = world.nodes[index];
  if (node === undefined) return;
  node.store.isRefused = true;
  after(world, forMs, () => {
    node.store.isRefused = false;
  });
}

/** The store is down for this long, beginning now. */
export function startOutage(world: World, forMs: number): void {
  world.store.setOutage(true);
  after(world, forMs, () => {
    world.store.setOutage(false);
  });
}

/** Crashes the leader, if there is one; its process restarts after `restartMs`. */
export function crashLeader(world: World, restartMs = 200): void {
  const leader = leaderIndex(world);
  if (leader >= 0) world.crash(leader, restartMs);
}

/** Lets this much simulated time pass. */
export async function passTime(world: World, ms: number): Promise<void> {
  await world.runUntil(world.time.now + ms);
}

/** Asserts that no rule has been broken so far. */
export function assertNoViolations(world: World, message = ''): void {
  assert.deepEqual(world.checker.violations, [], message);
}
