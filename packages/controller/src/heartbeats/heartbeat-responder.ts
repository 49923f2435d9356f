/**
 * Decides how the leader responds to heartbeats, and thereby which leases it renews.
 *
 * @module
 */
import type { FencingToken, Heartbeat, WorkerCommand } from '@spurbridge/wire';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { Reconciliation } from '../reconciliation/reconciliation.js';
import { maxRenewalStalenessMs } from '../settings.js';
import type { CommandDispatcher } from './command-dispatcher.js';
import type { HeartbeatHandler } from './heartbeat-handler.js';

/** The renewal of a worker's lease, as the leader grants it. */
export interface HeartbeatRenewal {
  /** The token of the response. */
  readonly fencingToken: FencingToken;
  readonly commands: WorkerCommand[];
  /** Milliseconds for which the controller that forwarded the heartbeat may renew the lease without the leader. */
  readonly delegatedLeaseMs: number;
}

/** Reports how stale the leader's knowledge of confirmed cancellations is. */
export interface CancellationKnowledge {
  /** Staleness in milliseconds; Infinity while there is no knowledge of cancellations. */
  stalenessMs(): number;
}

/** Processes the heartbeats of one term and responds to them. */
export class HeartbeatResponder {
  private hasRecords = false;

  constructor(
    private readonly term: LeaderTerm,
    private readonly handler: HeartbeatHandler,
    private readonly commands: CommandDispatcher,
    private readonly reconciliation: Reconciliation,
    private readonly cancellations: CancellationKnowledge,
  ) {}

  /** Whether the records have been read. */
  get isReady(): boolean {
    return this.hasRecords;
  }

  /** Marks the records as read: from now on, heartbeats are reconciled with them. */
  markReady(): void {
    this.hasRecords = true;
  }

  /**
   * Processes a heartbeat, which the worker sent on its own schedule (`isRegular`) or in response to a direct call;
   * `ageMs` is the time since another controller received it.
   */
  receive(heartbeat: Heartbeat, isRegular: boolean, ageMs = 0): void {
    this.handler.receive(heartbeat, isRegular, ageMs);
    if (this.hasRecords) this.reconciliation.receive(heartbeat);
  }

  /**
   * Processes a heartbeat and returns the renewal to respond with, or null if no response may be sent. A response
   * renews the machine's lease, but all tasks whose cancellation may have been confirmed must end in time
   * (docs/design.md, "Renewals").
   *
   * `msSinceLeaseConfirmed` is the time since the leader's own lease was confirmed; `isForwarded` means that another
   * controller forwarded the heartbeat.
   */
  respondTo(
    heartbeat: Heartbeat,
    msSinceLeaseConfirmed: number,
    isForwarded: boolean,
  ): HeartbeatRenewal | null {
    const stalenessMs = this.cancellations.stalenessMs();
    const maxStalenessMs = maxRenewalStalenessMs(this.term.context.settings);
    if (stalenessMs > maxStalenessMs) return null;
    if (this.handler.hasRestarted(heartbeat)) {
      this.handler.recordRefusal(heartbeat);
      this.commands.announceToken(heartbeat);
      return null;
    }
    this.receive(heartbeat, true);
    if (this.handler.hasRestarted(heartbeat)) {
      this.handler.recordRefusal(heartbeat);
      return null;
    }
    const commands = this.hasRecords
      ? this.commands.commandsForResponse(heartbeat)
      : this.commands.stopsForCancelledTasks(heartbeat);
    if (commands === null) return null;
    const remainingMs = maxStalenessMs - Math.max(msSinceLeaseConfirmed, stalenessMs);
    const mayDelegate = isForwarded && this.mayDelegate(heartbeat, commands);
    const delegatedLeaseMs = mayDelegate ? Math.max(0, remainingMs) : 0;
    this.handler.recordResponse(heartbeat, delegatedLeaseMs);
    return { fencingToken: this.commands.tokenForResponse(heartbeat), commands, delegatedLeaseMs };
  }

  /**
   * Whether the lease extension may be delegated to the controller that forwarded the heartbeat. It may not while tasks
   * of cancelled jobs may be on the machine: the forwarding controller does not know their stops and the worker may not
   * receive them, so each heartbeat has to reach the leader. It may not before the leader has read the records either,
   * because the leader does not know yet which commands are in flight.
   */
  private mayDelegate(heartbeat: Heartbeat, commands: readonly WorkerCommand[]): boolean {
    return this.hasRecords && !this.commands.hasCancelledTasks(heartbeat.machine, commands);
  }
}
