/**
 * The machines whose workers send their heartbeats to this controller.
 *
 * @module
 */
import type { Clock, MonotonicMs } from '@spurbridge/net';
import { TransitionTable } from '@spurbridge/model';
import type { MachineId, FencingToken, Heartbeat } from '@spurbridge/wire';
import { LeaseDelegation } from './lease-delegation.js';

/**
 * The membership of a machine in the shard.
 *
 * - `attached`: its worker sends heartbeats to this controller.
 * - `moving`: its worker was redirected to another controller; it is no longer counted.
 * - `departed`: no heartbeat was received for so long that the worker must be using another controller, or none.
 */
export type ShardMembership = 'attached' | 'moving' | 'departed';

const membershipTransitions = new TransitionTable<ShardMembership>('membership', {
  attached: ['moving', 'departed'],
  moving: ['attached', 'departed'],
  departed: [],
});

interface ShardMember {
  membership: ShardMembership;
  heartbeat: Heartbeat;
  receivedAt: MonotonicMs;
  readonly delegation: LeaseDelegation;
}

/** The latest heartbeat of one machine. */
export interface LatestHeartbeat {
  readonly heartbeat: Heartbeat;
  /** Milliseconds since any heartbeat of the machine was received. */
  readonly ageMs: number;
}

/** The shard: its machines with the latest heartbeat and the delegated lease of each. */
export class WorkerShard {
  private readonly members = new Map<MachineId, ShardMember>();
  private attachedCount = 0;
  /** When the latest heartbeat of any machine was received; null before the first one. */
  lastHeartbeatAt: MonotonicMs | null = null;

  constructor(
    private readonly clock: Clock,
    /** Milliseconds without a heartbeat after which a machine counts as departed. */
    private readonly departedAfterMs: number,
  ) {}

  /** The number of attached machines. */
  get size(): number {
    return this.attachedCount;
  }

  /** Records a heartbeat that a worker sent to this controller. */
  recordHeartbeat(heartbeat: Heartbeat): void {
    const member = this.members.get(heartbeat.machine);
    const receivedAt = this.clock.now();
    this.lastHeartbeatAt = receivedAt;
    if (member === undefined) {
      this.members.set(heartbeat.machine, {
        membership: 'attached',
        heartbeat,
        receivedAt,
        delegation: new LeaseDelegation(this.clock),
      });
      this.attachedCount += 1;
      return;
    }
    // A delayed heartbeat is outdated, but still shows that its worker uses this controller.
    if (isNewer(heartbeat, member.heartbeat)) member.heartbeat = heartbeat;
    member.receivedAt = receivedAt;
    this.transitionTo(member, 'attached');
  }

  /**
   * Extends the delegated lease of one machine after the leader has responded to a forwarded heartbeat of it that was
   * sent at `requestedAt`. No other machine is affected, because the leader tracks the latest possible end of each
   * lease separately.
   */
  extendDelegation(
    machine: MachineId,
    fencingToken: FencingToken,
    requestedAt: MonotonicMs,
    remainingMs: number,
  ): void {
    this.members.get(machine)?.delegation.extend(fencingToken, requestedAt, remainingMs);
  }

  /** The fencing token to use in a response to this machine without the leader now; null if no delegation is valid. */
  delegatedToken(machine: MachineId, highestKnownToken: FencingToken): FencingToken | null {
    return this.members.get(machine)?.delegation.currentToken(highestKnownToken) ?? null;
  }

  /** Records that the worker of this machine was redirected to another controller. */
  markMoving(machine: MachineId): void {
    const member = this.members.get(machine);
    if (member !== undefined) this.transitionTo(member, 'moving');
  }

  /** Removes the machines that have departed; to be called periodically. */
  removeDeparted(): void {
    const now = this.clock.now();
    for (const [machine, member] of this.members) {
      if (now - member.receivedAt <= this.departedAfterMs) continue;
      this.transitionTo(member, 'departed');
      this.members.delete(machine);
    }
  }

  /** The latest heartbeat of each attached machine. */
  latestHeartbeats(): LatestHeartbeat[] {
    const now = this.clock.now();
    const latest: LatestHeartbeat[] = [];
    for (const { membership, heartbeat, receivedAt } of this.members.values())
      if (membership === 'attached') latest.push({ heartbeat, ageMs: Math.max(0, now - receivedAt) });
    return latest;
  }

  /** The only function that changes a machine's membership. */
  private transitionTo(member: ShardMember, next: ShardMembership): void {
    if (member.membership === next) return;
    membershipTransitions.assertAllowed(member.membership, next);
    if (member.membership === 'attached') this.attachedCount -= 1;
    if (next === 'attached') this.attachedCount += 1;
    member.membership = next;
  }
}

/** Whether a heartbeat was created after another one of the same machine. */
function isNewer(heartbeat: Heartbeat, other: Heartbeat): boolean {
  if (heartbeat.agentEpoch !== other.agentEpoch) return heartbeat.agentEpoch > other.agentEpoch;
  return heartbeat.sequence > other.sequence;
}
