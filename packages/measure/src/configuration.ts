import type { JobId } from '@spurbridge/wire';
import {
  World,
  jobSpec,
  leaderIndex,
  machineType,
  proposeChanges,
  runUntilInForce,
} from '@spurbridge/testkit';
import { parallel } from './parallel.js';

export interface ConfigurationPart {
  readonly workers: number;
  readonly changesAnHour: number;
  /** The leader ends this often, in seconds, and is back at once; 0: never. */
  readonly endLeaderS: number;
  readonly seconds: number;
}

interface ConfigurationResult extends ConfigurationPart {
  readonly made: number;
  /** Asked again because of a takeover or of another change. */
  readonly askedAgain: number;
  /** From the first request to being in force on every node, in simulated milliseconds; null: none was. */
  readonly inForceMs: { readonly p50: number; readonly p99: number; readonly most: number } | null;
  readonly late: number;
  readonly brokenRules: number;
  readonly killedByLease: number;
}

const TEAMS = 350;
const ZONES = ['a', 'b', 'c', 'd'];
const UP_MS = 30_000;
const HOUR_MS = 3_600_000;
const BACK_MS = 200;
const MOST_WAIT_MS = 20_000;
const RETRY_MS = 200;
const TYPE = { ...machineType('w20', 20), bootS: 4 };
const FULL = { workers: 2700 };

function world(p: ConfigurationPart): World {
  const cpus = p.workers * TYPE.cpus;
  const w = new World({
    seed: 17,
    teams: Array.from({ length: TEAMS }, (_, n) => ({
      name: `team-${n}`,
      cpus: cpus / TEAMS / 2,
      cpusMax: cpus / 4,
      gpus: 0,
      gpusMax: Infinity,
    })),
    types: [TYPE],
    zones: ZONES,
    nodes: 3,
    capacity: Math.ceil(p.workers / ZONES.length / 2),
    leaseS: 22,
    cancelS: 42,
    storeLimits: { rps: 600, writeRps: 250, valueKb: 16, txnOps: 12 },
    taskRunMs: () => 10 * p.seconds * 1000,
  });
  for (let n = 0; n * 100 < p.workers; n += 1)
    w.startUser(
      jobSpec({
        id: `wk-${String(n).padStart(6, '0')}` as JobId,
        team: `team-${n % TEAMS}`,
        tasks: Math.min(100, p.workers - n * 100),
        cpus: 15,
        memoryGb: 30,
        estimateS: 600,
      }),
      null,
    );
  return w;
}

export async function configurationPart(p: ConfigurationPart): Promise<ConfigurationResult> {
  const w = world(p);
  await w.runUntil(UP_MS);
  const took: number[] = [];
  let askedAgain = 0;
  let late = 0;
  const until = w.time.now + p.seconds * 1000;
  let endsAt = p.endLeaderS === 0 ? Infinity : w.time.now + p.endLeaderS * 1000;
  for (let n = 0, dueAt = w.time.now; w.time.now < until; n += 1) {
    dueAt += HOUR_MS / p.changesAnHour;
    if (w.time.now < dueAt) await w.runUntil(dueAt);
    if (w.time.now >= endsAt) {
      w.crash(leaderIndex(w), BACK_MS);
      endsAt += p.endLeaderS * 1000;
    }
    const began = w.time.now;
    const changes = [{ team: `team-${n % TEAMS}`, cpusMax: 1000 + (n % 50) }];
    let outcome = await proposeChanges(w, n % 3, changes);
    while (outcome.outcome !== 'committed' && w.time.now - began < MOST_WAIT_MS) {
      askedAgain += 1;
      await w.runUntil(w.time.now + RETRY_MS);
      outcome = await proposeChanges(w, (n + askedAgain) % 3, changes);
    }
    const waitedMs =
      outcome.outcome === 'committed' ? await runUntilInForce(w, outcome.version, MOST_WAIT_MS) : null;
    if (waitedMs === null) late += 1;
    else took.push(w.time.now - began);
  }
  took.sort((a, b) => a - b);
  const at = (share: number): number =>
    Math.round(took[Math.min(took.length - 1, Math.floor(took.length * share))] ?? 0);
  return {
    ...p,
    made: took.length,
    askedAgain,
    inForceMs: took.length === 0 ? null : { p50: at(0.5), p99: at(0.99), most: at(1) },
    late,
    brokenRules: w.checker.violations.length,
    killedByLease: w.checker.killedByLease,
  };
}

/** Changes of configuration at the planned rate, at 20 times it, and with the leader ended every 30 s; simulated. */
export async function measureConfiguration(say: (line: string) => void): Promise<unknown> {
  const parts: ConfigurationPart[] = [
    { ...FULL, changesAnHour: 54, endLeaderS: 0, seconds: 400 },
    { ...FULL, changesAnHour: 1083, endLeaderS: 0, seconds: 120 },
    { ...FULL, changesAnHour: 1083, endLeaderS: 30, seconds: 120 },
  ];
  return { simulated: true, results: await parallel('configuration', parts, say) };
}
