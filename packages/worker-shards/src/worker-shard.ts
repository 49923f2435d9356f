import type { Clock, MonotonicMs } from '@spurbridge/net';
import { TransitionTable } from '@spurbridge/model';
import type { MachineId, FencingToken, Heartbeat } from '@spurbridge/wire';
import { LeaseDelegation } from './lease-delegation.js';

/**
 * `held`: its worker reports here. `moving`: it was sent to another node, and is not counted any more. `left`: not heard
 * here for long enough to have gone elsewhere, or nowhere.
 */
export type ShardMembership = 'held' | 'moving' | 'left';

const transitions = new TransitionTable<ShardMembership>('membership', {
  held: ['moving', 'left'],
  moving: ['held', 'left'],
  left: [],
});

interface Member {
  state: ShardMembership;
  report: Heartbeat;
  at: MonotonicMs;
  readonly grant: LeaseDelegation;
}

export interface LatestHeartbeat {
  readonly heartbeat: Heartbeat;
  /** How long ago it came, in milliseconds. */
  readonly ageMs: number;
}

/** The machines whose workers report to this node, with the last that each of them said. */
export class WorkerShard {
  private readonly members = new Map<MachineId, Member>();
  private held = 0;
  /** When any of them reported here, the last time. */
  lastAt: MonotonicMs | null = null;

  constructor(
    private readonly clock: Clock,
    /** A machine not heard for this long has left. */
    private readonly departedAfterMs: number,
  ) {}

  /** Machines held now. */
  get size(): number {
    return this.held;
  }

  /** The only function that changes a machine's membership. */
  private enter(m: Member, next: ShardMembership): void {
    if (m.state === next) return;
    transitions.assertAllowed(m.state, next);
    if (m.state === 'held') this.held -= 1;
    if (next === 'held') this.held += 1;
    m.state = next;
  }

  recordHeartbeat(report: Heartbeat): void {
    const m = this.members.get(report.machine);
    const at = this.clock.now();
    this.lastAt = at;
    if (m === undefined) {
      this.members.set(report.machine, { state: 'held', report, at, grant: new LeaseDelegation(this.clock) });
      this.held += 1;
      return;
    }
    // One that was held up on its way says nothing new, but its sender is here.
    const isLater =
      report.agentEpoch > m.report.agentEpoch ||
      (report.agentEpoch === m.report.agentEpoch && report.sequence > m.report.sequence);
    if (isLater) m.report = report;
    m.at = at;
    this.enter(m, 'held');
  }

  /**
   * The leader answered a report of this machine, asked at `askedAt`: so long this one may be answered without it. Of no
   * other machine, since the leader counts when each one's lease can end at the latest.
   */
  extendDelegation(machine: MachineId, token: FencingToken, askedAt: MonotonicMs, leftMs: number): void {
    this.members.get(machine)?.grant.extend(token, askedAt, leftMs);
  }

  /** The token under which this machine may be answered without the leader now, or null. */
  delegatedToken(machine: MachineId, highestKnown: FencingToken): FencingToken | null {
    return this.members.get(machine)?.grant.currentToken(highestKnown) ?? null;
  }

  /** Its worker was told to report elsewhere. */
  markMoving(machine: MachineId): void {
    const m = this.members.get(machine);
    if (m !== undefined) this.enter(m, 'moving');
  }

  /** Drops what was not heard for long; called once in a while. */
  removeDeparted(): void {
    const now = this.clock.now();
    for (const [id, m] of this.members) {
      if (now - m.at <= this.departedAfterMs) continue;
      this.enter(m, 'left');
      this.members.delete(id);
    }
  }

  /** The last report of every machine held here. */
  latestHeartbeats(): LatestHeartbeat[] {
    const now = this.clock.now();
    const all: LatestHeartbeat[] = [];
    for (const m of this.members.values())
      if (m.state === 'held') all.push({ heartbeat: m.report, ageMs: Math.max(0, now - m.at) });
    return all;
  }
}
