import type { NodeId } from '@spurbridge/wire';

/** A node that may lead, as it says itself. */
export interface LeaderCandidate {
  readonly node: NodeId;
  /** What speaks against it: begun lately, behind its processor share, lost a lease lately; 0: nothing. */
  readonly penalty: number;
}

/** A fitter node gets this long to lead first, and more for each step that it is fitter by. */
const FITTER_MS = 500;
const STEP_MS = 150;
/** Nodes that are alike campaign one after another: two at once end in a conflict, and neither leads for a while. */
const TURN_MS = 70;
const MOST_MS = 1200;

/**
 * How long a node that finds nobody leading waits before it campaigns. It only gives others the first turn: any node leads
 * after `MOST_MS` if no other does, whatever was said of them.
 */
export function campaignDelayMs(own: LeaderCandidate, others: readonly LeaderCandidate[]): number {
  let least = own.penalty;
  let before = 0;
  for (const o of others) {
    least = Math.min(least, o.penalty);
    if (o.penalty === own.penalty && o.node < own.node) before += 1;
  }
  const fitterMs = least < own.penalty ? FITTER_MS + STEP_MS * (own.penalty - least) : 0;
  return Math.min(MOST_MS, fitterMs + before * TURN_MS);
}
