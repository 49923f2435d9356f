/**
 * The fencing tokens that a leader gives to its machines.
 *
 * @module
 */
import type { Machine } from '@spurbridge/model';
import type { FencingToken, Heartbeat } from '@spurbridge/wire';
import type { LeaderTerm } from '../leadership/leader-term.js';

/**
 * Chooses the token of each message to a machine. It begins with that of the leader's election, and is raised in order
 * to void the direct commands that were sent to the machine before (docs/design.md, "Leader").
 */
export class MachineTokens {
  constructor(private readonly term: LeaderTerm) {}

  /** The token of messages to a machine; the machine rejects one that is lower than it has seen. */
  tokenFor({ fencingToken, issuedToken }: Machine): FencingToken {
    return Math.max(this.term.context.leadership.fencingToken, fencingToken, issuedToken) as FencingToken;
  }

  /** The token of the response to a heartbeat; `machine` is undefined if the heartbeat's machine is not known. */
  tokenForResponse(heartbeat: Heartbeat, machine: Machine | undefined): FencingToken {
    const token = machine === undefined ? this.term.context.leadership.fencingToken : this.tokenFor(machine);
    return Math.max(token, heartbeat.fencingToken) as FencingToken;
  }

  /** Gives the machine the highest token of this term that may be issued, unless it has that already. */
  raise(machine: Machine): void {
    const { leadership, storeIntegrity, log } = this.term.context;
    const current = this.tokenFor(machine);
    const raised = leadership.issuableToken;
    if (raised <= current) return;
    machine.issuedToken = raised;
    storeIntegrity.recordIssuedToken(raised);
    log.debug({ machine: machine.id, from: current, to: raised }, 'fencing token of a machine raised');
  }
}
