/**
 * Copies of heartbeats that are kept and delivered late, as if they had been under way all the time.
 *
 * @module
 */
import type { Heartbeat } from '@spurbridge/wire';
import type { SimTime } from './clock.js';
import type { SimNetwork } from './network.js';
import type { NodeDirectory } from './sim-node.js';

/** Copies that are kept for the next leader. */
const MAX_KEPT = 400;
const LEADER_CHECK_MS = 5;

/** Delivers copies of heartbeats; the response to a copy finds nobody who waits for it. */
export class HeartbeatReplay {
  private readonly kept: Heartbeat[] = [];

  constructor(
    private readonly time: SimTime,
    private readonly network: SimNetwork,
    private readonly directory: NodeDirectory,
  ) {}

  /** Sends a copy to a node now. */
  deliverCopy(node: string, heartbeat: Heartbeat): void {
    this.network.send(
      heartbeat.machine,
      node,
      () => void this.directory.findRunning(node)?.controller.handleHeartbeat(heartbeat),
    );
  }

  /** Keeps a copy until a node begins to lead; all copies then reach all nodes at once. */
  keepForNextLeader(heartbeat: Heartbeat): void {
    this.kept.push(heartbeat);
    if (this.kept.length > MAX_KEPT) this.kept.shift();
    if (this.kept.length === 1) this.awaitLeaderAfter(this.directory.highestLeadingToken());
  }

  private awaitLeaderAfter(token: number): void {
    const current = this.directory.highestLeadingToken();
    if (current > token && token > 0) {
      for (const heartbeat of this.kept.splice(0))
        for (const node of this.directory.nodes) this.deliverCopy(node.name, heartbeat);
      return;
    }
    this.time.after(LEADER_CHECK_MS, () => {
      this.awaitLeaderAfter(Math.max(current, token));
    });
  }
}
