/**
 * Loopback addresses of the processes of a run. Every process has one of its own, as on separate machines.
 *
 * @module
 */
import type { MachineId } from '@spurbridge/wire';

/** Second byte of the addresses of region 0; each region has a second byte of its own. */
const FIRST_REGION = 20;
const HOSTS_PER_NET = 250;
const FIRST_WORKER_NET = 16;
const WORKER_PORT = 9000;

function host(region: number, net: number, number: number): string {
  return `127.${FIRST_REGION + region}.${net}.${number}`;
}

/** Where the key-value store of a region listens. */
export function storeAddress(region: number): string {
  return `${host(region, 1, 1)}:2379`;
}

/** Where the cloud provider of a region listens. */
export function cloudAddress(region: number): string {
  return `${host(region, 1, 2)}:8443`;
}

/** Where a controller node takes requests of workers and users. */
export function listenAddress(region: number, node: number): string {
  return `${host(region, 0, node + 1)}:8080`;
}

/** Where a controller node takes requests of the other controller nodes. */
export function peerAddress(region: number, node: number): string {
  return `${host(region, 0, node + 1)}:8081`;
}

/** Where a machine takes direct commands, derived from the number in its id. */
export function workerAddress(region: number, id: MachineId): string {
  const number = Number(id.slice('n-'.length));
  const net = FIRST_WORKER_NET + Math.floor(number / HOSTS_PER_NET);
  return `${host(region, net, 1 + (number % HOSTS_PER_NET))}:${WORKER_PORT}`;
}
