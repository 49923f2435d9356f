/**
 * Faults that are injected while a run goes on.
 *
 * @module
 */
import type { Region } from './region.js';

/** A fault of one region that is injected while the run goes on. */
export interface Fault {
  readonly name: string;
  /** How long the run is observed after the injection, in seconds. */
  readonly watchS: number;
  readonly inject: (region: Region, sleep: (seconds: number) => Promise<void>) => Promise<void>;
}

/** Delay before a process that ended is started again, in seconds, where its supervisor restarts it at once. */
export const QUICK_RESTART_S = 0.2;
const RACK_MACHINES = 40;
const ZONE_STOP_S = 40;
const REPLACED_MACHINES = 2;

/** Ends the leader's process and starts it again after a delay in seconds. */
export async function endLeader(
  region: Region,
  restartDelayS: number,
  sleep: (seconds: number) => Promise<void>,
): Promise<void> {
  const leader = region.leader;
  const process = leader === null ? undefined : region.controllers[leader];
  if (leader === null || process === undefined) return;
  await process.end();
  await sleep(restartDelayS);
  region.startController(leader);
}

/** The faults injected into a step that runs one region's whole part. */
export const FAULTS: readonly Fault[] = [
  {
    name: 'leader ended, back after 0.2 s',
    watchS: 30,
    inject: (region, sleep) => endLeader(region, QUICK_RESTART_S, sleep),
  },
  {
    name: 'leader ended, back after 8 s',
    watchS: 30,
    inject: (region, sleep) => endLeader(region, 8, sleep),
  },
  {
    name: 'a rack of 40 machines fails',
    watchS: 40,
    inject: (region) => {
      const zone = region.shape.zones[0] as string;
      region.failMachines(region.machinesIn(zone).slice(0, RACK_MACHINES));
      return Promise.resolve();
    },
  },
  {
    name: 'a zone stands still for 40 s',
    watchS: 40,
    inject: async (region, sleep) => {
      const host = region.hosts.get(region.shape.zones.at(-1) as string);
      host?.signal('SIGSTOP');
      await sleep(ZONE_STOP_S);
      host?.signal('SIGCONT');
    },
  },
  {
    name: 'two machines replaced in a minute',
    watchS: 60,
    inject: (region) => {
      const zone = region.shape.zones[0] as string;
      region.failMachines(region.machinesIn(zone).slice(0, REPLACED_MACHINES));
      return Promise.resolve();
    },
  },
];
