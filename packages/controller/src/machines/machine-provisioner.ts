/**
 * Requests machines from the cloud.
 *
 * @module
 */
import { MAX_MACHINES_PER_RENTAL } from '@spurbridge/cloud';
import type { MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { ScaleOutRequest } from '@spurbridge/planner';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

/** Delay before a machine type that the cloud has refused in a zone is requested there again. */
const NO_CAPACITY_BACKOFF_MS = 15_000;
const MAX_ATTEMPTS = 3;
const RETRY_DELAY_MS = 700;

/** Carries out the scale-out requests of fleet plans. */
export class MachineProvisioner {
  private readonly refusedUntil = new Map<string, MonotonicMs>();
  private requestCount = 0;

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
  ) {}

  /** Whether the cloud may have such machines, because it has not refused them recently. */
  mayHaveCapacity(type: string, zone: string, spot: boolean, now: MonotonicMs): boolean {
    return now >= (this.refusedUntil.get(capacityKey(type, zone, spot)) ?? 0);
  }

  /** Requests machines, retrying the request while its outcome is unknown. */
  async scaleOut(wanted: ScaleOutRequest): Promise<void> {
    const { cloud, leadership, clock, log } = this.term.context;
    const { type, zone, spot } = wanted;
    this.requestCount += 1;
    const request = {
      // Globally unique: no fencing token is issued twice, and no number is used twice under one token.
      request: `r-${leadership.fencingToken}-${this.requestCount}`,
      type,
      zone,
      spot,
      count: Math.min(wanted.count, MAX_MACHINES_PER_RENTAL),
    };
    for (let attempt = 0; attempt < MAX_ATTEMPTS && this.term.isActive; attempt += 1) {
      const outcome = await cloud.rent(request);
      if (!this.term.isActive) return;
      if (outcome.outcome === 'rented') {
        for (const id of outcome.machines) this.cluster.registerMachine(id, type, zone, spot);
        log.info({ ...request, got: outcome.machines.length }, 'machines rented');
        if (outcome.machines.length < request.count) this.backOff(wanted);
        return;
      }
      if (outcome.outcome === 'no_capacity') {
        log.debug({ ...request }, 'no capacity');
        this.backOff(wanted);
        return;
      }
      // The request can be retried safely: the cloud executes a request name only once.
      await clock.sleep(RETRY_DELAY_MS);
    }
  }

  private backOff({ type, zone, spot }: ScaleOutRequest): void {
    const until = addMs(this.term.context.clock.now(), NO_CAPACITY_BACKOFF_MS);
    this.refusedUntil.set(capacityKey(type, zone, spot), until);
  }
}

function capacityKey(type: string, zone: string, spot: boolean): string {
  return `${type}/${zone}/${spot}`;
}
