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
  /** A task ran for too long after its job was reported to the user as cancelled. */
  | 'ran_cancelled'
  /** A gang completed while only some of its tasks were on machines. */
  | 'gang_split'
  /** An accepted job was unknown to a controller, or got no response for too long. */
  | 'forgotten'
  /** A controller reported a status for a job that nobody submitted. */
  | 'invented'
  /** A job was reported as done before all of its tasks were done. */
  | 'not_done'
  /** A response contradicted an earlier response about the same job. */
  | 'went_back'
  /** A job waited for too long although it could start. */
  | 'left_waiting'
  /** A submission that can never run, or that lacks a field, was accepted. */
  | 'accepted_wrongly';

/** A violated rule, with the time in milliseconds and a description of the violation. */
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
