/**
 * Helpers for tests in which the store of a small world loses data.
 *
 * @module
 */
import assert from 'node:assert/strict';
import type { JobId, JobSpec } from '@spurbridge/wire';
import type { World, WorldOptions } from '../../src/index.js';
import { jobId, jobSpec, smallWorld } from '../../src/index.js';
import { failOnTwoLeaders } from './assertions.js';
import { aliveWorkers } from './fleets.js';

const TASK_INDICES = [0, 1, 2, 3];
const PLACED_PHASES: readonly string[] = ['running', 'fetching'];
const MAX_CHECKS = 400;
const CHECK_INTERVAL_MS = 10;

/** A service of four replicas that must not run on spot machines; `overrides` replaces single fields. */
export function service(number: number, overrides: Partial<JobSpec> = {}): JobSpec {
  return jobSpec({
    id: jobId(number),
    kind: 'service',
    estimateS: 0,
    tasks: 4,
    cpus: 2,
    spot: false,
    ...overrides,
  });
}

/** A small world in which two simultaneous leaders fail the test. */
export function watchedWorld(seed: number, overrides: Partial<WorldOptions> = {}): World {
  const world = smallWorld(seed, overrides);
  failOnTwoLeaders(world);
  return world;
}

/** Whether every node trusts the store. */
export function allNodesTrustStore(world: World): boolean {
  return world.nodes.every((node) => node.recoverableStore.isTrusted);
}

/** Ids of the machines on which a task of the job runs or fetches its image. */
export function machinesOfJob(world: World, job: JobId): string[] {
  return aliveWorkers(world)
    .filter((worker) =>
      TASK_INDICES.some((task) => PLACED_PHASES.includes(worker.attemptOf(job, task)?.phase ?? '')),
    )
    .map((worker) => worker.id);
}

/** Lets simulated time pass until the call has got its response. */
export async function responseOf<T>(world: World, call: Promise<T>): Promise<T> {
  let received: T | null = null;
  void call.then((response) => {
    received = response;
  });
  for (let checks = 0; checks < MAX_CHECKS && received === null; checks += 1)
    await world.runUntil(world.time.now + CHECK_INTERVAL_MS);
  assert.ok(received !== null, 'no response');
  return received;
}
