/**
 * How long a node that finds no leader waits before it campaigns, so that the most suitable node leads.
 *
 * @module
 */
import type { NodeId } from '@spurbridge/wire';

/** A node that may lead, as it describes itself. */
export interface LeaderCandidate {
  readonly node: NodeId;
  /**
   * Number of reasons against electing it: recently started, short of processor time, recently lost a lease. 0 means
   * none.
   */
  readonly penalty: number;
}

/** Delay of a node while another node has a lower penalty, in milliseconds. */
const LOWER_PENALTY_DELAY_MS = 500;
/** Additional delay for each point by which the lowest penalty is below the node's own, in milliseconds. */
const PENALTY_STEP_DELAY_MS = 150;
/**
 * Stagger between nodes of equal penalty, in milliseconds: concurrent campaigns conflict, which delays the election.
 */
const TURN_DELAY_MS = 70;
const MAX_DELAY_MS = 1200;

/**
 * How long the node `own` waits before it campaigns, in milliseconds. The delay only gives better candidates a head
 * start: if no other node becomes leader, every node campaigns within 1.2 seconds.
 */
export function campaignDelayMs(own: LeaderCandidate, others: readonly LeaderCandidate[]): number {
  const equals = others.filter((other) => other.penalty === own.penalty);
  const turn = equals.filter((other) => other.node < own.node).length;
  return Math.min(MAX_DELAY_MS, lowerPenaltyDelayMs(own, others) + turn * TURN_DELAY_MS);
}

function lowerPenaltyDelayMs(own: LeaderCandidate, others: readonly LeaderCandidate[]): number {
  const lowest = Math.min(own.penalty, ...others.map((other) => other.penalty));
  if (lowest >= own.penalty) return 0;
  return LOWER_PENALTY_DELAY_MS + PENALTY_STEP_DELAY_MS * (own.penalty - lowest);
}
