/**
 * Faults that are injected during a run.
 *
 * @module
 */
import type { Region } from './region.js';

/** A fault that is injected into one region during a run. */
export interface Fault {
  readonly name: string;
  /** How long the run is observed after the injection, in seconds. */
  readonly watchS: number;
  readonly inject: (region: Region, sleep: (seconds: number) => Promise<void>) => Promise<void>;
}

/** Delay of a restart by a supervisor that restarts a process at once, in seconds. */
export const QUICK_RESTART_S = 0.2;
const RACK_MACHINES = 40;
const ZONE_STOP_S = 40;
const REPLACED_MACHINES = 2;

/** Kills the leader's process and restarts it after a delay in seconds. */
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

/** The faults injected into a step that runs one whole region. */
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
