/**
 * Balances the shards of all controllers: each controller decides by itself which of its workers it redirects.
 *
 * @module
 */
import type { Clock, MonotonicMs } from '@spurbridge/net';
import { TransitionTable } from '@spurbridge/model';
import type { NodeId } from '@spurbridge/wire';

/** A controller that can serve workers, as described by its own status. */
export interface ShardOwner {
  readonly node: NodeId;
  /** The size of its shard. */
  readonly machineCount: number;
  readonly zone: string;
  /** The leader also schedules, so that its target size is smaller. */
  readonly isLeader: boolean;
}

/**
 * - `balanced`: only workers of other zones are redirected, to a controller of their own zone.
 * - `shedding`: workers are redirected to the controllers with most room, until this shard is near its target size.
 */
type BalanceState = 'balanced' | 'shedding';

const balanceTransitions = new TransitionTable<BalanceState>('balance', {
  balanced: ['shedding'],
  shedding: ['balanced'],
});

/** The leader's target size, relative to that of any other controller. */
const LEADER_WEIGHT = 0.5;
/**
 * Shedding starts above this multiple of the target size and stops near the target: what one controller gives away another
 * does not give back.
 */
const SHEDDING_START_RATIO = 1.25;
const SHEDDING_STOP_RATIO = 1.05;
/** An excess of fewer machines is not worth redirections. */
const MIN_EXCESS_MACHINES = 8;
/**
 * Redirections a second at most, because each opens a new connection at the other end. A large shard moves a fiftieth of its
 * machines, so that a shard of any size is balanced within some minutes.
 */
const MIN_SHEDDING_RATE_PER_S = 25;
const SHEDDING_SHARE_PER_S = 0.02;
/**
 * A worker moves to a controller of its own zone, with which it shares network partitions, while that shard is below this
 * multiple of its target size. The ratio is lower than the one at which shedding starts, so that no worker comes back.
 */
const HOME_ZONE_RATIO = 1.1;
const HOME_MOVES_PER_S = 8;

/** Redirections to a node since it last announced its shard size. */
interface RecentRedirects {
  readonly announcedMachineCount: number;
  readonly count: number;
}

/** The size that each shard should have; the sum is the number of machines in all of them. */
export function targetShardSizes(owners: readonly ShardOwner[]): Map<NodeId, number> {
  const weightOf = (owner: ShardOwner): number => (owner.isLeader ? LEADER_WEIGHT : 1);
  const totalMachines = owners.reduce((sum, owner) => sum + owner.machineCount, 0);
  const totalWeight = owners.reduce((sum, owner) => sum + weightOf(owner), 0);
  return new Map(
    owners.map((owner) => [
      owner.node,
      totalWeight === 0 ? 0 : (totalMachines * weightOf(owner)) / totalWeight,
    ]),
  );
}

/** Decides for one controller, at each heartbeat, whether the worker is redirected to another controller. */
export class ShardBalancer {
  private state: BalanceState = 'balanced';
  private nextRedirectAt = 0 as MonotonicMs;
  private readonly recentRedirects = new Map<NodeId, RecentRedirects>();

  constructor(
    private readonly clock: Clock,
    private readonly self: NodeId,
  ) {}

  /** The controller to which the worker of this zone is redirected now, or null if it stays. */
  selectTarget(own: ShardOwner, others: readonly ShardOwner[], workerZone: string): NodeId | null {
    const now = this.clock.now();
    if (now < this.nextRedirectAt) return null;
    const targetSizes = targetShardSizes([own, ...others]);
    const ownTargetSize = targetSizes.get(this.self) ?? 0;
    this.updateState(own.machineCount, ownTargetSize);
    if (!this.mayRedirect(own, ownTargetSize, workerZone)) return null;
    const target = this.selectOwner(own, others, targetSizes, workerZone);
    if (target === null) return null;
    this.recordRedirect(target);
    this.nextRedirectAt = (now + 1000 / this.redirectsPerS(own.machineCount)) as MonotonicMs;
    return target.node;
  }

  private updateState(machineCount: number, targetSize: number): void {
    if (this.state === 'balanced' && machineCount > targetSize * SHEDDING_START_RATIO + MIN_EXCESS_MACHINES)
      this.transitionTo('shedding');
    if (this.state === 'shedding' && machineCount <= targetSize * SHEDDING_STOP_RATIO)
      this.transitionTo('balanced');
  }

  /** A worker of this controller's own zone is redirected last: while there are others, they send heartbeats as often. */
  private mayRedirect(own: ShardOwner, targetSize: number, workerZone: string): boolean {
    if (workerZone !== own.zone) return true;
    return this.state === 'shedding' && own.machineCount > targetSize * SHEDDING_START_RATIO;
  }

  private selectOwner(
    own: ShardOwner,
    others: readonly ShardOwner[],
    targetSizes: ReadonlyMap<NodeId, number>,
    workerZone: string,
  ): ShardOwner | null {
    let best: ShardOwner | null = null;
    let bestScore = 0;
    for (const owner of others) {
      const targetSize = targetSizes.get(owner.node) ?? 0;
      const isInWorkerZone = owner.zone === workerZone;
      if (this.state !== 'shedding' && !isInWorkerZone) continue;
      const room = this.remainingRoom(owner, isInWorkerZone ? targetSize * HOME_ZONE_RATIO : targetSize);
      // A controller of the worker's zone is preferred to every other one that has room.
      const score = room <= 0 ? 0 : isInWorkerZone ? room + targetSize + own.machineCount : room;
      if (score > bestScore) {
        bestScore = score;
        best = owner;
      }
    }
    return best;
  }

  /** How many machines the shard can take, less those that were redirected and are not counted in its announced size yet. */
  private remainingRoom(owner: ShardOwner, targetSize: number): number {
    return targetSize - owner.machineCount - this.uncountedRedirects(owner);
  }

  private uncountedRedirects(owner: ShardOwner): number {
    const recent = this.recentRedirects.get(owner.node);
    return recent !== undefined && recent.announcedMachineCount === owner.machineCount ? recent.count : 0;
  }

  private recordRedirect(owner: ShardOwner): void {
    this.recentRedirects.set(owner.node, {
      announcedMachineCount: owner.machineCount,
      count: this.uncountedRedirects(owner) + 1,
    });
  }

  private redirectsPerS(machineCount: number): number {
    if (this.state !== 'shedding') return HOME_MOVES_PER_S;
    return Math.max(MIN_SHEDDING_RATE_PER_S, machineCount * SHEDDING_SHARE_PER_S);
  }

  /** The only function that changes the state. */
  private transitionTo(next: BalanceState): void {
    if (next === this.state) return;
    balanceTransitions.assertAllowed(this.state, next);
    this.state = next;
  }
}
