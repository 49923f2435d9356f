/**
 * Distinguishes zones that are unreachable from machines that have failed.
 *
 * @module
 */
import type { Machine } from '@spurbridge/model';
import { TransitionTable } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import { FAILOVER_DISCOVERY_MS } from '../settings.js';

/**
 * - `whole`: heartbeats arrive as usual.
 * - `away`: almost none of the zone's many machines sends heartbeats, while those of other zones do. It is more likely
 *   that the zone is unreachable than that all its machines failed at once.
 * - `returning`: heartbeats arrive again, but not from all machines yet.
 */
export type ZoneReachabilityState = 'whole' | 'away' | 'returning';

const transitions = new TransitionTable<ZoneReachabilityState>('zone', {
  whole: ['away'],
  away: ['returning'],
  returning: ['whole', 'away'],
});

/** Minimum number of machines in a zone for conclusions about its reachability. */
const MIN_MACHINES = 10;
/**
 * A heartbeat counts as recent for this time, and for this many average intervals between any two heartbeats of the
 * zone.
 */
const RECENT_MS = 2000;
const RECENT_INTERVALS = 12;
/**
 * Maximum share of machines with recent heartbeats in an unreachable zone. It is not zero, because single machines may
 * have just come up.
 */
const MAX_CUT_OFF_SHARE = 0.05;
/** Share of machines with recent heartbeats from which a zone counts as reachable. */
const MIN_REACHABLE_SHARE = 0.2;
/** After this time, the machines of an unreachable zone are released like any others. */
const MAX_AWAY_MS = 90_000;

/** A change of a zone's state, as it is logged. */
export interface ZoneTransition {
  readonly zone: string;
  readonly from: ZoneReachabilityState;
  readonly to: ZoneReachabilityState;
  /** How long the zone was in the state before, in milliseconds. */
  readonly afterMs: number;
}

interface Zone {
  readonly name: string;
  state: ZoneReachabilityState;
  since: MonotonicMs;
}

/** Heartbeats of a zone's machines at one time. */
interface ZoneSample {
  readonly machineCount: number;
  /** Share of the machines whose last heartbeat is recent. */
  readonly reachableShare: number;
}

/**
 * Tracks the reachability of each zone. The tasks of an unreachable zone continue while their machines' leases may
 * be valid.
 */
export class ZoneReachability {
  private readonly zones = new Map<string, Zone>();

  constructor(
    /** The longest interval between two heartbeats of a machine, in milliseconds. */
    private readonly heartbeatIntervalMs: number,
    private readonly onTransition: (transition: ZoneTransition) => void,
  ) {}

  /**
   * Updates the states of all zones.
   *
   * @param electedAt when the leader was elected. Workers have another `FAILOVER_DISCOVERY_MS` to discover it
   * @param isKnownToHaveRun whether a machine that has not sent a heartbeat to this leader was up before
   */
  update(
    machines: Iterable<Machine>,
    now: MonotonicMs,
    electedAt: MonotonicMs,
    isKnownToHaveRun: (machine: Machine) => boolean,
  ): void {
    const discoveredBy = addMs(electedAt, this.heartbeatIntervalMs + FAILOVER_DISCOVERY_MS);
    const heartbeats = new Map<string, MonotonicMs[]>();
    for (const machine of machines) {
      if (machine.zone === '' || machine.state === 'gone' || machine.state === 'releasing') continue;
      if (machine.lastHeartbeatAt === null && !isKnownToHaveRun(machine)) continue;
      const times = heartbeats.get(machine.zone) ?? [];
      heartbeats.set(machine.zone, times);
      times.push(machine.lastHeartbeatAt ?? discoveredBy);
    }
    const samples = new Map([...heartbeats].map(([name, times]) => [name, this.sample(times, now)]));
    for (const [name, sample] of samples) {
      const isAnotherZoneReachable = [...samples].some(
        ([other, { reachableShare }]) => other !== name && reachableShare >= MIN_REACHABLE_SHARE,
      );
      this.updateZone(this.zoneNamed(name, now), sample, isAnotherZoneReachable, now);
    }
  }

  private sample(heartbeats: readonly MonotonicMs[], now: MonotonicMs): ZoneSample {
    const machineCount = heartbeats.length;
    const recentMs = Math.max(RECENT_MS, (this.heartbeatIntervalMs / machineCount) * RECENT_INTERVALS);
    const recent = heartbeats.filter((at) => now - at < recentMs);
    return { machineCount, reachableShare: recent.length / machineCount };
  }

  private zoneNamed(name: string, now: MonotonicMs): Zone {
    let zone = this.zones.get(name);
    if (zone === undefined) {
      zone = { name, state: 'whole', since: now };
      this.zones.set(name, zone);
    }
    return zone;
  }

  private updateZone(
    zone: Zone,
    sample: ZoneSample,
    isAnotherZoneReachable: boolean,
    now: MonotonicMs,
  ): void {
    const { machineCount, reachableShare } = sample;
    const isCutOff =
      machineCount >= MIN_MACHINES && reachableShare <= MAX_CUT_OFF_SHARE && isAnotherZoneReachable;
    if (zone.state !== 'away' && isCutOff) this.transitionTo(zone, 'away', now);
    else if (zone.state === 'away' && reachableShare >= MIN_REACHABLE_SHARE)
      this.transitionTo(zone, 'returning', now);
    // Workers that have tried other nodes meanwhile may take up to two intervals to send a heartbeat here again.
    else if (zone.state === 'returning' && now > addMs(zone.since, 2 * this.heartbeatIntervalMs))
      this.transitionTo(zone, 'whole', now);
  }

  /** The only function that changes a zone's state. */
  private transitionTo(zone: Zone, next: ZoneReachabilityState, now: MonotonicMs): void {
    transitions.assertAllowed(zone.state, next);
    this.onTransition({
      zone: zone.name,
      from: zone.state,
      to: next,
      afterMs: Math.round(now - zone.since),
    });
    zone.state = next;
    zone.since = now;
  }

  /** Whether the machine is silent because its zone is unreachable, so that its silence is no evidence of a failure. */
  explainsSilenceOf(machine: Machine, now: MonotonicMs): boolean {
    const zone = this.zones.get(machine.zone);
    if (zone === undefined || zone.state === 'whole') return false;
    return zone.state === 'returning' || now < addMs(zone.since, MAX_AWAY_MS);
  }
}
