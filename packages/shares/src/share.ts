import type { Clock, Ms } from '@spurbridge/net';
import { Transitions } from '@spurbridge/model';
import type { MachineId, Token, WorkerReport } from '@spurbridge/wire';
import { Grant } from './grant.js';

/**
 * `held`: its worker reports here. `moving`: it was sent to another node, and is not counted any more. `left`: not heard
 * here for long enough to have gone elsewhere, or nowhere.
 */
export type Membership = 'held' | 'moving' | 'left';

const transitions = new Transitions<Membership>('membership', {
  held: ['moving', 'left'],
  moving: ['held', 'left'],
  left: [],
});

interface Member {
  state: Membership;
  report: WorkerReport;
  at: Ms;
  readonly grant: Grant;
}

export interface Known {
  readonly report: WorkerReport;
  /** How long ago it came, in milliseconds. */
  readonly ageMs: number;
}

/** The machines whose workers report to this node, with the last that each of them said. */
export class Share {
  private readonly members = new Map<MachineId, Member>();
  private held = 0;
  /** When any of them reported here, the last time. */
  lastAt: Ms | null = null;

  constructor(
    private readonly clock: Clock,
    /** A machine not heard for this long has left. */
    private readonly awayMs: number,
  ) {}

  /** Machines held now. */
  get size(): number {
    return this.held;
  }

  /** The only function that changes a machine's membership. */
  private enter(m: Member, next: Membership): void {
    if (m.state === next) return;
    transitions.check(m.state, next);
    if (m.state === 'held') this.held -= 1;
    if (next === 'held') this.held += 1;
    m.state = next;
  }

  reported(report: WorkerReport): void {
    const m = this.members.get(report.machine);
    const at = this.clock.now();
    this.lastAt = at;
    if (m === undefined) {
      this.members.set(report.machine, { state: 'held', report, at, grant: new Grant(this.clock) });
      this.held += 1;
      return;
    }
    // One that was held up on its way says nothing new, but its sender is here.
    const isLater =
      report.session > m.report.session || (report.session === m.report.session && report.seq > m.report.seq);
    if (isLater) m.report = report;
    m.at = at;
    this.enter(m, 'held');
  }

  /**
   * The leader answered a report of this machine, asked at `askedAt`: so long this one may be answered without it. Of no
   * other machine, since the leader counts when each one's lease can end at the latest.
   */
  extend(machine: MachineId, token: Token, askedAt: Ms, leftMs: number): void {
    this.members.get(machine)?.grant.extend(token, askedAt, leftMs);
  }

  /** The token under which this machine may be answered without the leader now, or null. */
  granted(machine: MachineId, highestKnown: Token): Token | null {
    return this.members.get(machine)?.grant.token(highestKnown) ?? null;
  }

  /** Its worker was told to report elsewhere. */
  moved(machine: MachineId): void {
    const m = this.members.get(machine);
    if (m !== undefined) this.enter(m, 'moving');
  }

  /** Drops what was not heard for long; called once in a while. */
  sweep(): void {
    const now = this.clock.now();
    for (const [id, m] of this.members) {
      if (now - m.at <= this.awayMs) continue;
      this.enter(m, 'left');
      this.members.delete(id);
    }
  }

  /** The last report of every machine held here. */
  known(): Known[] {
    const now = this.clock.now();
    const all: Known[] = [];
    for (const m of this.members.values())
      if (m.state === 'held') all.push({ report: m.report, ageMs: Math.max(0, now - m.at) });
    return all;
  }
}
