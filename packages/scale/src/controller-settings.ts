/**
 * The settings files of the controller nodes of a run.
 *
 * @module
 */
import { stringify } from 'smol-toml';
import { peerAddress, cloudAddress, listenAddress, storeAddress } from './addresses.js';
import { MACHINE_CPUS } from './cloud-server.js';

/** Size of one region of a step. */
export interface RegionShape {
  readonly region: number;
  readonly zones: readonly string[];
  readonly nodes: number;
  readonly workers: number;
  readonly teams: number;
}

/** Durations and limits of a run, named as in the platform's settings file (docs/CAPACITY.md). */
export const RUN_SETTINGS = {
  workers: { report_s: 4.0, lease_s: 22.0, gang_wait_s: 50.0, gang_peer_s: 8.0, cancel_s: 42.0 },
  state: { rps: 600.0, write_rps: 250.0, value_kb: 16.0, txn_ops: 12 },
  cloud: { rps: 7.0, list_lag_s: 5.0 },
  resources: { cpu: 1.0, mem_mb: 1024.0, sockets: 4000 },
  urgentWithinS: 3.7,
} as const;

/** Each team is guaranteed half of an equal share of the region's CPUs, and limited to a quarter of the region's CPUs. */
const GUARANTEED_SHARE = 0.5;
const LIMIT_SHARE = 0.25;

/** The CPU limit of one team in a region with this number of CPUs. */
export function teamCpuLimit(cpus: number): number {
  return cpus * LIMIT_SHARE;
}

function teamsOf(shape: RegionShape): object[] {
  const cpus = shape.workers * MACHINE_CPUS;
  return Array.from({ length: shape.teams }, (_, n) => ({
    name: `team-${n}`,
    cpus: (cpus * GUARANTEED_SHARE) / shape.teams,
    cpus_max: teamCpuLimit(cpus),
    gpus: 0.0,
    gpus_max: 0.0,
  }));
}

/** Name of a controller node, unique in the whole run. */
export function nodeName(region: number, node: number): string {
  return `spur-${region}-${node}`;
}

/** Text of the settings file of one controller node, in the form that the platform writes. */
export function settingsFile(shape: RegionShape, node: number): string {
  const { region, zones, nodes } = shape;
  const zoneOf = (n: number): string => zones[n % zones.length] as string;
  const peers = Array.from({ length: nodes }, (_, n) => n)
    .filter((n) => n !== node)
    .map((n) => ({ label: nodeName(region, n), domain: zoneOf(n), address: peerAddress(region, n) }));
  return stringify({
    label: nodeName(region, node),
    domain: zoneOf(node),
    listen: listenAddress(region, node),
    back: peerAddress(region, node),
    peers,
    services: { cloud: cloudAddress(region), state: storeAddress(region) },
    cluster: {
      nodes,
      zones,
      clock_error_ms: 25.0,
      teams: teamsOf(shape),
      objectives: [
        { kind: 'wait', class: 'urgent', within_s: RUN_SETTINGS.urgentWithinS, share: 0.99 },
        { kind: 'guarantee', within_s: 10.0, share: 0.95 },
      ],
      workers: RUN_SETTINGS.workers,
      state: RUN_SETTINGS.state,
      cloud: RUN_SETTINGS.cloud,
      resources: RUN_SETTINGS.resources,
    },
  });
}
