import type { Machine } from '@spurbridge/model';
import { TransitionTable } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import { FAILOVER_DISCOVERY_MS } from '../settings.js';

/**
 * `whole`: heard as usual. `away`: as good as none of its many machines is heard, while others are: cut off, more likely than dead at
 * the same instant. `returning`: heard again, not by all yet.
 */
export type ZoneReachabilityState = 'whole' | 'away' | 'returning';

const transitions = new TransitionTable<ZoneReachabilityState>('zone', {
  whole: ['away'],
  away: ['returning'],
  returning: ['whole', 'away'],
});

/** Of fewer machines nothing is concluded. */
const LEAST = 10;
/** Lately: this long, and as long as so many reports of the zone usually take. */
const QUIET_MS = 2000;
const QUIET_REPORTS = 12;
/** Of a zone's machines so many heard lately: it is not heard, but for single ones that have just come up; and it is. */
const UNHEARD = 0.05;
const HEARD = 0.2;
/** Machines of a zone that has been away for longer are given back like any other. */
const MOST_AWAY_MS = 90_000;

interface Zone {
  state: ZoneReachabilityState;
  since: MonotonicMs;
}

/** Tells a zone that is cut off from machines that died: what runs in it is left to run, as long as its leases may last. */
export class ZoneReachability {
  private readonly zones = new Map<string, Zone>();

  constructor(
    private readonly longestReportMs: number,
    private readonly say: (fields: object) => void,
  ) {}

  /** The only function that changes a zone's state. */
  private enter(name: string, z: Zone, next: ZoneReachabilityState, now: MonotonicMs): void {
    transitions.assertAllowed(z.state, next);
    this.say({ zone: name, from: z.state, to: next, afterMs: Math.round(now - z.since) });
    z.state = next;
    z.since = now;
  }

  /**
   * Looks at all machines. One that was not heard by this leader counts where it was up before, as `isUp` says: in a
   * takeover workers have `FIND_MS` more to be heard, from the leader's election on.
   */
  update(
    machines: Iterable<Machine>,
    now: MonotonicMs,
    electedAt: MonotonicMs,
    isUp: (m: Machine) => boolean,
  ): void {
    const heard = new Map<string, { count: number; times: number[] }>();
    for (const m of machines) {
      if (m.zone === '' || m.state === 'gone' || m.state === 'releasing') continue;
      if (m.lastHeartbeatAt === null && !isUp(m)) continue;
      const z = heard.get(m.zone) ?? { count: 0, times: [] };
      heard.set(m.zone, z);
      z.count += 1;
      z.times.push(m.lastHeartbeatAt ?? addMs(electedAt, this.longestReportMs + FAILOVER_DISCOVERY_MS));
    }
    const shares = new Map<string, number>();
    for (const [name, { count, times }] of heard) {
      const quietMs = Math.max(QUIET_MS, (this.longestReportMs / count) * QUIET_REPORTS);
      shares.set(name, times.filter((at) => now - at < quietMs).length / count);
    }
    for (const [name, share] of shares) {
      const z = this.zones.get(name) ?? { state: 'whole' as const, since: now };
      this.zones.set(name, z);
      const isLarge = (heard.get(name)?.count ?? 0) >= LEAST;
      const othersHeard = [...shares].some(([other, s]) => other !== name && s >= HEARD);
      if (z.state !== 'away' && isLarge && share <= UNHEARD && othersHeard) this.enter(name, z, 'away', now);
      else if (z.state === 'away' && share >= HEARD) this.enter(name, z, 'returning', now);
      // Workers that tried other nodes meanwhile need up to two reports to be heard again.
      else if (z.state === 'returning' && now > addMs(z.since, 2 * this.longestReportMs))
        this.enter(name, z, 'whole', now);
    }
  }

  /** Whether the machine's silence is its zone's, and says nothing of itself. */
  explainsSilenceOf(m: Machine, now: MonotonicMs): boolean {
    const z = this.zones.get(m.zone);
    if (z === undefined || z.state === 'whole') return false;
    return z.state === 'returning' || now < addMs(z.since, MOST_AWAY_MS);
  }
}
