/**
 * Third phase of a recovery: the initiator waits until enough controllers have written their markers.
 *
 * @module
 */
import { LEASE_TTL_MS } from '@spurbridge/store';
import type { NodeId } from '@spurbridge/wire';
import type { Epoch } from '../epoch/epoch-record.js';
import { CONTROL_PRIORITY } from '../request-priorities.js';
import { decodeContributions } from './contributed-replicas.js';
import type { ContributionMarker } from './contribution-codec.js';
import { epochContributionPrefix } from './contribution-codec.js';
import type { FenceMover } from './move-fence.js';
import type { StoreRecoveryDependencies } from './recovery-dependencies.js';
import { POLL_INTERVAL_MS, STALL_TIMEOUT_MS } from './recovery-dependencies.js';

/** Largest deviation of a controller's clock rate. */
const CLOCK_DRIFT = 0.002;
const LEASE_MARGIN_MS = 200;
/** After this time, even an earlier leader that has not detected the loss no longer relies on its lease. */
const LEASE_EXPIRY_MS = LEASE_TTL_MS * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS;
/** Maximum time to wait for controllers that are reachable but do not write a marker. */
const MARKER_TIMEOUT_MS = 5000;
/** Maximum number of leases that are requested to exceed the ids from before the loss. */
const MAX_REQUESTED_LEASES = 200;
const REQUESTED_LEASE_TTL_MS = 100;

/** The markers of a recovery, by controller. */
export type Markers = ReadonlyMap<NodeId, ContributionMarker>;

/**
 * Waits for markers: of all controllers or, once every earlier lease has expired, of all that are reachable. Returns
 * null if the recovery has to restart.
 */
export async function collectMarkers(
  dependencies: StoreRecoveryDependencies,
  fenceMover: FenceMover,
  epoch: Epoch,
): Promise<Markers | null> {
  const { underlyingStore, clock, node, log } = dependencies;
  for (;;) {
    const elapsedMs = fenceMover.msSinceInitiated(epoch);
    const listed = await underlyingStore.list(epochContributionPrefix(epoch.id), CONTROL_PRIORITY);
    if (listed.outcome === 'listed') {
      const contributions = decodeContributions(listed.items, log);
      const markers = new Map(contributions.map((contribution) => [contribution.node, contribution.marker]));
      if (!markers.has(node)) return null;
      if (isQuorum(dependencies, markers, elapsedMs)) return markers;
    } else if (elapsedMs > STALL_TIMEOUT_MS) return null;
    await clock.sleep(POLL_INTERVAL_MS);
  }
}

function isQuorum(
  { nodes, reachablePeers }: StoreRecoveryDependencies,
  markers: Markers,
  elapsedMs: number,
): boolean {
  if (markers.size >= nodes) return true;
  const missing = reachablePeers().peers.filter((peer) => !markers.has(peer));
  return elapsedMs > LEASE_EXPIRY_MS && (missing.length === 0 || elapsedMs > MARKER_TIMEOUT_MS);
}

/**
 * Requests leases until their ids exceed all that were granted before the loss, so that a late revocation of an earlier
 * lease cannot end a new one. Returns false if the store does not grant a lease.
 */
export async function skipEarlierLeaseIds(
  { underlyingStore, log }: StoreRecoveryDependencies,
  markers: Markers,
): Promise<boolean> {
  const highestEarlierId = Math.max(0, ...[...markers.values()].map((marker) => marker.highestLeaseId));
  for (let count = 0; count < MAX_REQUESTED_LEASES; count += 1) {
    const granted = await underlyingStore.grantLease(REQUESTED_LEASE_TTL_MS);
    if (granted.outcome !== 'granted') return false;
    if (granted.lease > highestEarlierId) return true;
  }
  log.info(
    { past: highestEarlierId },
    'recovery continues although new lease ids do not exceed those granted before the data loss',
  );
  return true;
}

/**
 * Returns whether the merged replicas contain every intended placement: they include the last leader's replica, which
 * is continuous, and no other controller has added records that it does not know to be the latest.
 */
export function isContinuous(markers: Markers): boolean {
  const all = [...markers.values()];
  const highestSeenToken = Math.max(...all.map((marker) => marker.highestSeenToken));
  const lastLeader = all.find((marker) => marker.lastLedToken === highestSeenToken);
  return (
    lastLeader?.continuous === true && all.every((marker) => marker.continuous || marker.pageCount === 0)
  );
}
