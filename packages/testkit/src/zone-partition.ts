/**
 * Partitions a zone from everything else.
 *
 * @module
 */
import type { MachineId } from '@spurbridge/wire';
import { CLOUD_HOST, STORE_HOST } from './hosts.js';
import type { World } from './world.js';

/** Machines that come up during the partition are included within this time, in milliseconds. */
const NEW_MACHINES_INTERVAL_MS = 200;

/**
 * Partitions the machines of a zone, including those that come up meanwhile, and its nodes from everything
 * else.
 */
export function partitionZone(world: World, zone: string, fromMs: number, untilMs: number): void {
  const links = new Map<string, readonly [string, string]>();
  const partitionNewLinks = (): void => {
    const inside = new Set(hostsInZone(world, zone));
    for (const host of inside)
      for (const other of allHosts(world)) {
        const link = `${host} ${other}`;
        if (inside.has(other) || links.has(link)) continue;
        links.set(link, [host, other]);
        world.network.partition(host, other, 'hold');
      }
    if (world.time.now + NEW_MACHINES_INTERVAL_MS < untilMs)
      world.time.after(NEW_MACHINES_INTERVAL_MS, partitionNewLinks);
  };
  world.time.after(fromMs - world.time.now, partitionNewLinks);
  world.time.after(untilMs - world.time.now, () => {
    for (const [host, other] of links.values()) world.network.heal(host, other);
  });
}

/** Machines of a zone that are up. */
export function machinesInZone(world: World, zone: string): MachineId[] {
  return [...world.workers.values()]
    .filter((worker) => worker.alive && worker.zone === zone)
    .map((worker) => worker.id);
}

function hostsInZone(world: World, zone: string): string[] {
  const workers = [...world.workers.values()].filter((worker) => worker.zone === zone);
  const nodes = world.nodes.filter((node) => node.zone === zone);
  return [...workers.map((worker) => worker.id), ...nodes.map((node) => node.name)];
}

function allHosts(world: World): string[] {
  return [STORE_HOST, CLOUD_HOST, ...world.workers.keys(), ...world.nodes.map((node) => node.name)];
}
