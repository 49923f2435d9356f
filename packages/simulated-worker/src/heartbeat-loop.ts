/**
 * The heartbeats of a simulated worker: when and to which node they are sent, and how responses are applied.
 *
 * @module
 */
import type { Heartbeat, WorkerCommand } from '@spurbridge/wire';
import type { AgentState } from './agent-state.js';
import type { HeartbeatResult, HeartbeatSender, WorkerHost } from './worker-host.js';

/** Minimum time between heartbeats as a share of the interval; up to `INTERVAL_SPREAD` hundredths are added. */
const MIN_INTERVAL_SHARE = 0.75;
const INTERVAL_SPREAD = 50;
/** Minimum time between a heartbeat and the next one that is sent early because of a change. */
const MIN_GAP_MS = 500;
/** Timers are rounded, so a heartbeat may be early by this much. */
const TIMER_TOLERANCE_MS = 1;
/** A response that arrives later than this after its request is ignored. */
const RESPONSE_VALID_MS = 4000;
const NEXT_NODE_DELAY_MS = 1000;
/** Minimum time between two heartbeats that are sent early because of a higher fencing token, in leases. */
const TOKEN_REPORT_LEASE_SHARE = 0.5;
/** Upper bound of the random delay after a redirect, which spreads the requests of workers redirected together. */
const REDIRECT_SPREAD_MS = 500;

/** Dependencies of the heartbeat loop. */
export interface HeartbeatLoopOptions {
  readonly host: WorkerHost;
  readonly agent: AgentState;
  readonly sender: HeartbeatSender;
  readonly makeHeartbeat: () => Heartbeat;
  readonly execute: (commands: readonly WorkerCommand[]) => void;
}

/** Sends heartbeats at intervals and after changes; tries one node after another until one accepts them. */
export class HeartbeatLoop {
  /** Index of the current node; may exceed the number of nodes, because it is incremented to try the next one. */
  private node = 0;
  private isWaiting = false;
  private lastSentMs = -Infinity;
  private lastTokenReportMs = -Infinity;

  constructor(private readonly options: HeartbeatLoopOptions) {}

  /** Index of the node that receives the heartbeats. */
  get nodeIndex(): number {
    return this.node % this.options.host.nodes.length;
  }

  /** Sends a heartbeat now and then at intervals, until the agent is dead. */
  start(): void {
    const { agent, host } = this.options;
    if (!agent.alive) return;
    this.sendNow();
    const share = MIN_INTERVAL_SHARE + host.random(INTERVAL_SPREAD) / 100;
    host.time.after(host.heartbeatIntervalMs * share, () => {
      this.start();
    });
  }

  /** Sends a heartbeat as soon as the minimum gap allows, because of a change that the controllers should learn. */
  sendSoon(): void {
    const { agent, host } = this.options;
    const waitMs = Math.max(0, this.lastSentMs + MIN_GAP_MS - host.time.now);
    host.time.after(waitMs, () => {
      const sinceMs = host.time.now - this.lastSentMs;
      if (agent.alive && sinceMs >= MIN_GAP_MS - TIMER_TOLERANCE_MS) this.sendNow();
    });
  }

  /** Records a fencing token; a higher one is reported soon, at most once in half of a lease. */
  observeToken(token: number): void {
    const { agent, host } = this.options;
    if (!agent.observeToken(token)) return;
    if (host.time.now - this.lastTokenReportMs < host.leaseMs * TOKEN_REPORT_LEASE_SHARE) return;
    this.lastTokenReportMs = host.time.now;
    this.sendSoon();
  }

  private sendNow(): void {
    const { agent, host, sender, makeHeartbeat } = this.options;
    if (this.isWaiting || agent.isHanging || !agent.alive) return;
    this.isWaiting = true;
    const sentAtMs = host.time.now;
    this.lastSentMs = sentAtMs;
    const { epoch } = agent;
    const node = host.nodes[this.nodeIndex] as string;
    void host.sendHeartbeat(sender, node, makeHeartbeat()).then((response) => {
      agent.act(() => {
        this.isWaiting = false;
        if (response === null || host.time.now - sentAtMs > RESPONSE_VALID_MS) this.tryNextNode();
        else this.receive(response, epoch, sentAtMs);
      });
    });
  }

  private receive(response: HeartbeatResult, epoch: number, sentAtMs: number): void {
    const { agent, execute } = this.options;
    switch (response.code) {
      case 421:
        this.followRedirect(response.leader);
        return;
      case 503:
        this.tryNextNode();
        return;
      case 200:
        // Ignore a response for an earlier epoch, or from a leader that has been replaced.
        if (epoch !== agent.epoch || response.fencingToken < agent.fencingToken) return;
        agent.renewLease(sentAtMs);
        this.observeToken(response.fencingToken);
        execute(response.commands);
    }
  }

  private followRedirect(leader: string): void {
    const { host } = this.options;
    const leaderIndex = host.nodes.indexOf(leader);
    if (leaderIndex < 0 || leaderIndex === this.nodeIndex) {
      this.tryNextNode();
      return;
    }
    this.node = leaderIndex;
    host.time.after(host.random(REDIRECT_SPREAD_MS), () => {
      this.sendNow();
    });
  }

  private tryNextNode(): void {
    this.node += 1;
    this.options.host.time.after(NEXT_NODE_DELAY_MS, () => {
      this.sendNow();
    });
  }
}
