/**
 * Replays copies of heartbeats late, as if they had been delayed by the network.
 *
 * @module
 */
import type { Heartbeat } from '@spurbridge/wire';
import type { SimTime } from './clock.js';
import type { SimNetwork } from './network.js';
import type { NodeDirectory } from './sim-node.js';

/** Maximum number of copies kept for the next leader. */
const MAX_KEPT_COPIES = 400;
const LEADER_CHECK_MS = 5;

/** Delivers copies of heartbeats; responses to copies are ignored. */
export class HeartbeatReplay {
  private readonly keptCopies: Heartbeat[] = [];

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

  /** Keeps a copy until a node becomes leader; all copies are then sent to all nodes at once. */
  keepForNextLeader(heartbeat: Heartbeat): void {
    this.keptCopies.push(heartbeat);
    if (this.keptCopies.length > MAX_KEPT_COPIES) this.keptCopies.shift();
    if (this.keptCopies.length === 1) this.awaitLeaderAfter(this.directory.highestLeadingToken());
  }

  private awaitLeaderAfter(token: number): void {
    const current = this.directory.highestLeadingToken();
    if (current > token && token > 0) {
      for (const heartbeat of this.keptCopies.splice(0))
        for (const node of this.directory.nodes) this.deliverCopy(node.name, heartbeat);
      return;
    }
    this.time.after(LEADER_CHECK_MS, () => {
      this.awaitLeaderAfter(Math.max(current, token));
    });
  }
}
