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
  /** The leader also schedules, so its target size is smaller. */
  readonly isLeader: boolean;
}

/**
 * - `balanced`: only workers of other zones are redirected, to a controller of their own zone.
 * - `shedding`: workers are redirected to the controllers with the most spare capacity, until this shard is near its
 *   target size.
 */
type BalanceState = 'balanced' | 'shedding';

const balanceTransitions = new TransitionTable<BalanceState>('balance', {
  balanced: ['shedding'],
  shedding: ['balanced'],
});

/** The leader's target size, relative to that of any other controller. */
const LEADER_WEIGHT = 0.5;
/**
 * Shedding starts above this multiple of the target size and stops near the target size. The hysteresis keeps workers
 * from being redirected back and forth.
 */
const SHEDDING_START_RATIO = 1.25;
const SHEDDING_STOP_RATIO = 1.05;
/** Minimum excess of machines that justifies redirections. */
const MIN_EXCESS_MACHINES = 8;
/**
 * Redirections per second are limited, because each opens a new connection to another controller. The limit is the
 * greater of this number and a share of the shard's machines, so that a shard of any size is balanced within a few
 * minutes.
 */
const MIN_SHEDDING_RATE_PER_S = 25;
const SHEDDING_SHARE_PER_S = 0.02;
/**
 * A worker moves to a controller of its own zone, with which it shares network partitions, while that shard is below
 * this multiple of its target size. The ratio is lower than the one at which shedding starts, so that no worker is sent
 * back.
 */
const HOME_ZONE_RATIO = 1.1;
const HOME_MOVES_PER_S = 8;

/** Redirections to a node since it last announced its shard size. */
interface RecentRedirects {
  readonly announcedMachineCount: number;
  readonly count: number;
}

/** The target size of each shard. The sum equals the total number of machines. */
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

  /**
   * Workers of this controller's own zone are only redirected while the shard is far above its target size. Below that,
   * redirecting workers of other zones, which send heartbeats as often, is sufficient.
   */
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
      // A controller in the worker's zone is preferred to every other one that has spare capacity.
      const score = room <= 0 ? 0 : isInWorkerZone ? room + targetSize + own.machineCount : room;
      if (score > bestScore) {
        bestScore = score;
        best = owner;
      }
    }
    return best;
  }

  /**
   * Spare capacity of the shard in machines, less those redirected there that its announced size does not include yet.
   */
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
