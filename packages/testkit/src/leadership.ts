/**
 * Finds the leader of a simulated environment, and detects two simultaneous leaders.
 *
 * @module
 */
import { SpurbridgeError } from '@spurbridge/wire';
import type { World } from './world.js';

const WATCH_INTERVAL_MS = 50;

/** Two nodes were certain to hold the leader's lease at the same moment. */
export class TwoLeadersError extends SpurbridgeError {
  constructor(readonly atMs: number) {
    super('TWO_LEADERS', `expected at most one leader, found two at ${atMs} ms`);
  }
}

/** Index of the running node that is certain to hold the leader's lease; -1 if there is none. */
export function leaderIndex(world: World): number {
  return world.nodes.findIndex((node) => node.clock.alive && node.controller.leadership.holdsValidLease());
}

/** Index of the node that is certain to hold the leader's lease, or the first node if there is none. */
export function leaderOrFirst(world: World): number {
  return Math.max(0, leaderIndex(world));
}

/** Calls back whenever two nodes are certain to hold the lease at the same moment; checks every 50 ms. */
export function watchForTwoLeaders(world: World, onTwoLeaders: (atMs: number) => void): void {
  const watch = (): void => {
    const leaders = world.nodes.filter(
      (node) => node.clock.alive && node.controller.leadership.holdsValidLease(),
    );
    if (leaders.length > 1) onTwoLeaders(world.time.now);
    world.time.after(WATCH_INTERVAL_MS, watch);
  };
  watch();
}
