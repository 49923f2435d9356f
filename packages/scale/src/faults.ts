import type { Region } from './region.js';

/** Something that goes wrong in one region while the run goes on. */
export interface Fault {
  readonly name: string;
  /** How long the run is watched after it was played, in seconds. */
  readonly watchS: number;
  readonly inject: (region: Region, sleep: (seconds: number) => Promise<void>) => Promise<void>;
}

/** A process may be back within a fraction of a second. */
export const QUICK_RESTART_S = 0.2;
const RACK_MACHINES = 40;
const ZONE_STOP_S = 40;
const RESTARTS = 2;

/** Ends the leader's process; it is started again after so many seconds. */
export async function endLeader(
  region: Region,
  backS: number,
  sleep: (seconds: number) => Promise<void>,
): Promise<void> {
  const leader = region.leader;
  const process = leader === null ? undefined : region.controllers[leader];
  if (leader === null || process === undefined) return;
  await process.end();
  await sleep(backS);
  region.startController(leader);
}

/** Troubles of the letter that one region's part can be given. */
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
      region.failMachines(region.machinesIn(zone).slice(0, RESTARTS));
      return Promise.resolve();
    },
  },
];
