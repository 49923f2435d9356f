import type { Clock, MonotonicMs } from '@spurbridge/net';
import { TransitionTable } from '@spurbridge/model';
import type { NodeId } from '@spurbridge/wire';

/** A node that could hold machines, as it said itself. */
export interface ShardOwner {
  readonly node: NodeId;
  readonly machineCount: number;
  readonly zone: string;
  /** The leader has plans to make beside: its part is smaller. */
  readonly isLeader: boolean;
}

/** `even`: nothing is moved. `shedding`: machines go to whoever has least, until this node is near its part. */
type BalanceState = 'even' | 'shedding';

const transitions = new TransitionTable<BalanceState>('balance', { even: ['shedding'], shedding: ['even'] });

const LEADER_PART = 0.5;
/** Shedding begins this far over the part, and ends near it: what one node gives away another does not give back. */
const BEGIN = 1.25;
const END = 1.05;
/** Fewer than this are not worth a move. */
const LEAST = 8;
/**
 * Moves a second at most: each is a new connection at the other end. A node that holds thousands moves a fiftieth of them, so
 * that a share of any size is even within some minutes.
 */
const MOVES_PER_S = 25;
const MOVED_SHARE = 0.02;
/**
 * A machine goes to a node of its own zone, which a cut leaves together, as long as that node has no more than this much of
 * its part: less than where shedding begins, so that none comes back.
 */
const HOME = 1.1;
const HOME_MOVES_PER_S = 8;

/** Machines that each node should hold; their sum is what is held altogether. */
export function targetShardSizes(holders: readonly ShardOwner[]): Map<NodeId, number> {
  const weight = (h: ShardOwner): number => (h.isLeader ? LEADER_PART : 1);
  const all = holders.reduce((sum, h) => sum + h.machineCount, 0);
  const weights = holders.reduce((sum, h) => sum + weight(h), 0);
  return new Map(holders.map((h) => [h.node, weights === 0 ? 0 : (all * weight(h)) / weights]));
}

/** Decides for one node, at each report, whether its worker goes elsewhere. */
export class ShardBalancer {
  private current: BalanceState = 'even';
  private nextAt = 0 as MonotonicMs;
  /** Sent there since the node last said how many it holds. */
  private readonly sent = new Map<NodeId, { readonly said: number; count: number }>();

  constructor(
    private readonly clock: Clock,
    private readonly self: NodeId,
  ) {}

  get state(): BalanceState {
    return this.current;
  }

  /** The only function that changes the state. */
  private enter(next: BalanceState): void {
    if (next === this.current) return;
    transitions.assertAllowed(this.current, next);
    this.current = next;
  }

  private room(h: ShardOwner, part: number): number {
    const sent = this.sent.get(h.node);
    const underWay = sent !== undefined && sent.said === h.machineCount ? sent.count : 0;
    return part - h.machineCount - underWay;
  }

  /** Where the worker of this zone that reports now should go, or null: it stays. */
  selectTarget(own: ShardOwner, others: readonly ShardOwner[], zone: string): NodeId | null {
    const now = this.clock.now();
    if (now < this.nextAt) return null;
    const part = targetShardSizes([own, ...others]);
    const mine = part.get(this.self) ?? 0;
    if (this.current === 'even' && own.machineCount > mine * BEGIN + LEAST) this.enter('shedding');
    if (this.current === 'shedding' && own.machineCount <= mine * END) this.enter('even');
    const isShedding = this.current === 'shedding';
    // One that is at home goes last: while there are strangers they report as often.
    if (isShedding && zone === own.zone && own.machineCount <= mine * BEGIN) return null;
    if (!isShedding && zone === own.zone) return null;
    let best: ShardOwner | null = null;
    let most = 0;
    for (const h of others) {
      const whole = part.get(h.node) ?? 0;
      const isHome = h.zone === zone;
      if (!isShedding && !isHome) continue;
      const room = this.room(h, isHome ? whole * HOME : whole);
      // A node of its zone is preferred to any other that has room.
      const worth = room <= 0 ? 0 : isHome ? room + whole + own.machineCount : room;
      if (worth > most) {
        most = worth;
        best = h;
      }
    }
    if (best === null) return null;
    const before = this.sent.get(best.node);
    const count = before !== undefined && before.said === best.machineCount ? before.count + 1 : 1;
    this.sent.set(best.node, { said: best.machineCount, count });
    const perS = isShedding ? Math.max(MOVES_PER_S, own.machineCount * MOVED_SHARE) : HOME_MOVES_PER_S;
    this.nextAt = (now + 1000 / perS) as MonotonicMs;
    return best.node;
  }
}
