/**
 * The rules of the protocol that are checked in a simulated environment, and their violations.
 *
 * @module
 */

/** Names of the rules. */
export type RuleName =
  /** A task ran on two machines at once. */
  | 'ran_twice'
  /** A task ran on a machine that its job does not allow. */
  | 'wrong_place'
  /** A team used more than its limit. */
  | 'quota'
  /** A task ran too long after its user was told that the job is cancelled. */
  | 'ran_cancelled'
  /** A gang completed with only some of its tasks. */
  | 'gang_split'
  /** An accepted job was unknown to a controller, or got no response for too long. */
  | 'forgotten'
  /** A controller answered for a job that nobody submitted. */
  | 'invented'
  /** A user was told that a job is done before all of its tasks were. */
  | 'not_done'
  /** A user was told something that contradicts an earlier response. */
  | 'went_back'
  /** A job that could run did not begin for too long. */
  | 'left_waiting'
  /** A submission that can never run, or that lacks a field, was accepted. */
  | 'accepted_wrongly';

/** A violated rule, with the time (in milliseconds) and the cause. */
export interface RuleViolation {
  readonly rule: RuleName;
  readonly atMs: number;
  readonly what: string;
}

/** All violations, in the order of their detection. */
export class RuleViolations {
  readonly all: RuleViolation[] = [];

  constructor(private readonly now: () => number) {}

  /** Records a violation at the present time. */
  report(rule: RuleName, what: string): void {
    this.all.push({ rule, atMs: Math.round(this.now()), what });
  }
}
