/**
 * Loopback addresses of the processes of a run. Every process has its own address, as on separate machines.
 *
 * @module
 */
import type { MachineId } from '@spurbridge/wire';

/** Second byte of the addresses of region 0; the following regions have the following numbers. */
const FIRST_REGION = 20;
const HOSTS_PER_NET = 250;
const FIRST_WORKER_NET = 16;
const WORKER_PORT = 9000;

function host(region: number, net: number, number: number): string {
  return `127.${FIRST_REGION + region}.${net}.${number}`;
}

/** Address of the key-value store of a region. */
export function storeAddress(region: number): string {
  return `${host(region, 1, 1)}:2379`;
}

/** Address of the cloud provider of a region. */
export function cloudAddress(region: number): string {
  return `${host(region, 1, 2)}:8443`;
}

/** Address at which a controller node accepts requests of workers and users. */
export function listenAddress(region: number, node: number): string {
  return `${host(region, 0, node + 1)}:8080`;
}

/** Address at which a controller node accepts connections of the other controller nodes. */
export function peerAddress(region: number, node: number): string {
  return `${host(region, 0, node + 1)}:8081`;
}

/** Address at which a machine accepts direct commands, derived from the number in its id. */
export function workerAddress(region: number, id: MachineId): string {
  const number = Number(id.slice('n-'.length));
  const net = FIRST_WORKER_NET + Math.floor(number / HOSTS_PER_NET);
  return `${host(region, net, 1 + (number % HOSTS_PER_NET))}:${WORKER_PORT}`;
}
