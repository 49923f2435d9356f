import type { MachineId } from '@spurbridge/wire';

/** Every process has a loopback address of its own; regions differ in the second part. */
const FIRST_REGION = 20;
const HOSTS_A_NET = 250;
const FIRST_WORKER_NET = 16;
const WORKER_PORT = 9000;

function host(region: number, net: number, number: number): string {
  return `127.${FIRST_REGION + region}.${net}.${number}`;
}

export function stateAddress(region: number): string {
  return `${host(region, 1, 1)}:2379`;
}

export function cloudAddress(region: number): string {
  return `${host(region, 1, 2)}:8443`;
}

export function listenAddress(region: number, node: number): string {
  return `${host(region, 0, node + 1)}:8080`;
}

export function backAddress(region: number, node: number): string {
  return `${host(region, 0, node + 1)}:8081`;
}

/** The address at which a machine takes direct commands, by its number in the cloud. */
export function workerAddress(region: number, id: MachineId): string {
  const number = Number(id.slice('n-'.length));
  const net = FIRST_WORKER_NET + Math.floor(number / HOSTS_A_NET);
  return `${host(region, net, 1 + (number % HOSTS_A_NET))}:${WORKER_PORT}`;
}

export interface HostPort {
  readonly host: string;
  readonly port: number;
}

export function splitAddress(address: string): HostPort {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
