/**
 * When a heartbeat counts as missing.
 *
 * @module
 */
import type { Settings } from '../settings.js';
import { maxHeartbeatIntervalMs } from '../settings.js';

/** Added to the longest interval between two heartbeats, for the way to the leader. */
const MARGIN_MS = 1000;

/** A machine is late that was not heard of for longer than this, in milliseconds. */
export function lateHeartbeatMs(settings: Settings): number {
  return maxHeartbeatIntervalMs(settings) + MARGIN_MS;
}
