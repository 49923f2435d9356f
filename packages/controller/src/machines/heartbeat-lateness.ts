/**
 * The time after which a heartbeat counts as missing.
 *
 * @module
 */
import type { Settings } from '../settings.js';
import { maxHeartbeatIntervalMs } from '../settings.js';

/** Added to the longest interval between two heartbeats, for their transmission to the leader. */
const TRANSMISSION_MARGIN_MS = 1000;

/** Time without a heartbeat after which a machine counts as late, in milliseconds. */
export function lateHeartbeatMs(settings: Settings): number {
  return maxHeartbeatIntervalMs(settings) + TRANSMISSION_MARGIN_MS;
}
