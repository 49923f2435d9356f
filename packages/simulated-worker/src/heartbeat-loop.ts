/**
 * The heartbeats of a simulated worker: when they are sent, to which node, and what the responses change.
 *
 * @module
 */
import type { Heartbeat, WorkerCommand } from '@spurbridge/wire';
import type { AgentState } from './agent-state.js';
import type { HeartbeatResult, HeartbeatSender, WorkerHost } from './worker-host.js';

/** Heartbeats are this share of the interval apart at least, and up to `INTERVAL_SPREAD` hundredths more. */
const MIN_INTERVAL_SHARE = 0.75;
const INTERVAL_SPREAD = 50;
/** Changes are sent soon, but heartbeats are this far apart. */
const MIN_GAP_MS = 500;
/** Rounding of timers may bring a heartbeat this early. */
const TIMER_TOLERANCE_MS = 1;
/** A response that comes later than this is dropped. */
const RESPONSE_VALID_MS = 4000;
const NEXT_NODE_DELAY_MS = 1000;
/** Workers that were redirected together come at moments drawn up to this. */
const REDIRECT_SPREAD_MS = 500;

/** What the loop needs of its worker. */
export interface HeartbeatLoopOptions {
  readonly host: WorkerHost;
  readonly agent: AgentState;
  readonly sender: HeartbeatSender;
  readonly makeHeartbeat: () => Heartbeat;
  readonly execute: (commands: readonly WorkerCommand[]) => void;
}

/** Sends heartbeats at intervals and after changes; goes from node to node until one accepts them. */
export class HeartbeatLoop {
  /** Counts on with each node that was given up. */
  private node = 0;
  private isWaiting = false;
  private lastSentMs = -Infinity;

  constructor(private readonly options: HeartbeatLoopOptions) {}

  /** Index of the node that the heartbeats go to. */
  get nodeIndex(): number {
    return this.node % this.options.host.nodes.length;
  }

  /** Sends the first heartbeat now; the loop ends with the agent's life. */
  start(): void {
    const { agent, host } = this.options;
    if (!agent.alive) return;
    this.sendNow();
    const share = MIN_INTERVAL_SHARE + host.random(INTERVAL_SPREAD) / 100;
    host.time.after(host.heartbeatIntervalMs * share, () => {
      this.start();
    });
  }

  /** Something changed that the controllers should know. */
  sendSoon(): void {
    const { agent, host } = this.options;
    const waitMs = Math.max(0, this.lastSentMs + MIN_GAP_MS - host.time.now);
    host.time.after(waitMs, () => {
      const sinceMs = host.time.now - this.lastSentMs;
      if (agent.alive && sinceMs >= MIN_GAP_MS - TIMER_TOLERANCE_MS) this.sendNow();
    });
  }

  /** Takes a fencing token in; a new one is shown to the controllers soon. */
  observeToken(token: number): void {
    if (this.options.agent.observeToken(token)) this.sendSoon();
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
        // A response for an earlier epoch, or from a leader that has been replaced, is dropped.
        if (epoch !== agent.epoch || response.fencingToken < agent.fencingToken) return;
        agent.renewLease(sentAtMs);
        this.observeToken(response.fencingToken);
        execute(response.commands);
    }
  }

  private followRedirect(leader: string): void {
    const { host } = this.options;
    const named = host.nodes.indexOf(leader);
    if (named < 0 || named === this.nodeIndex) {
      this.tryNextNode();
      return;
    }
    this.node = named;
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
