/**
 * Measures how long configuration changes take to be in force on all nodes of the simulated world.
 *
 * @module
 */
import type { JobId } from '@spurbridge/wire';
import {
  World,
  jobSpec,
  leaderIndex,
  machineType,
  proposeChanges,
  runUntilInForce,
} from '@spurbridge/testkit';
import { runPartsInParallel } from './parallel.js';

/** One run: the size of the fleet, and the rates of changes and crashes. */
export interface ConfigurationPart {
  readonly workers: number;
  readonly changesAnHour: number;
  /** Interval at which the leader crashes, in seconds; it restarts after 200 ms. 0 means never. */
  readonly endLeaderS: number;
  readonly seconds: number;
}

interface ConfigurationResult extends ConfigurationPart {
  readonly made: number;
  /** Number of retries because of a failover or another change. */
  readonly askedAgain: number;
  /** Simulated milliseconds from the first request until the change is in force on every node; null if none was. */
  readonly inForceMs: { readonly p50: number; readonly p99: number; readonly most: number } | null;
  readonly late: number;
  readonly brokenRules: number;
  readonly killedByLease: number;
}

const TEAMS = 350;
const NODES = 3;
const ZONES = ['a', 'b', 'c', 'd'];
const WARM_UP_MS = 30_000;
const MS_PER_HOUR = 3_600_000;
const RESTART_DELAY_MS = 200;
const MAX_WAIT_MS = 20_000;
const RETRY_DELAY_MS = 200;
const TYPE = { ...machineType('w20', 20), bootS: 4 };
const FULL_FLEET = { workers: 2700 };

function createWorld(part: ConfigurationPart): World {
  const cpus = part.workers * TYPE.cpus;
  const world = new World({
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
    nodes: NODES,
    capacity: Math.ceil(part.workers / ZONES.length / 2),
    leaseS: 22,
    cancelS: 42,
    storeLimits: { rps: 600, writeRps: 250, valueKb: 16, txnOps: 12 },
    taskRunMs: () => 10 * part.seconds * 1000,
  });
  for (let n = 0; n * 100 < part.workers; n += 1)
    world.startUser(
      jobSpec({
        id: `wk-${String(n).padStart(6, '0')}` as JobId,
        team: `team-${n % TEAMS}`,
        tasks: Math.min(100, part.workers - n * 100),
        cpus: 15,
        memoryGb: 30,
        estimateS: 600,
      }),
      null,
    );
  return world;
}

/** Proposes changes one after another and records how long each takes to be in force. */
class ChangeClient {
  readonly tookMs: number[] = [];
  retries = 0;
  late = 0;

  constructor(private readonly world: World) {}

  async change(index: number): Promise<void> {
    const { world } = this;
    const beganMs = world.time.now;
    const changes = [{ team: `team-${index % TEAMS}`, cpusMax: 1000 + (index % 50) }];
    let outcome = await proposeChanges(world, index % NODES, changes);
    while (outcome.outcome !== 'committed' && world.time.now - beganMs < MAX_WAIT_MS) {
      this.retries += 1;
      await world.runUntil(world.time.now + RETRY_DELAY_MS);
      outcome = await proposeChanges(world, (index + this.retries) % NODES, changes);
    }
    const waitedMs =
      outcome.outcome === 'committed' ? await runUntilInForce(world, outcome.version, MAX_WAIT_MS) : null;
    if (waitedMs === null) this.late += 1;
    else this.tookMs.push(world.time.now - beganMs);
  }
}

/** Median, 99th percentile and maximum; null without any values. */
function summarize(values: readonly number[]): ConfigurationResult['inForceMs'] {
  if (values.length === 0) return null;
  const sorted = [...values].sort((a, b) => a - b);
  const at = (share: number): number =>
    Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);
  return { p50: at(0.5), p99: at(0.99), most: at(1) };
}

/** Simulates one run. */
export async function configurationPart(part: ConfigurationPart): Promise<ConfigurationResult> {
  const world = createWorld(part);
  await world.runUntil(WARM_UP_MS);
  const client = new ChangeClient(world);
  const untilMs = world.time.now + part.seconds * 1000;
  const crashEveryMs = part.endLeaderS === 0 ? Infinity : part.endLeaderS * 1000;
  let crashAtMs = world.time.now + crashEveryMs;
  let dueAtMs = world.time.now;
  for (let index = 0; world.time.now < untilMs; index += 1) {
    dueAtMs += MS_PER_HOUR / part.changesAnHour;
    if (world.time.now < dueAtMs) await world.runUntil(dueAtMs);
    if (world.time.now >= crashAtMs) {
      world.crash(leaderIndex(world), RESTART_DELAY_MS);
      crashAtMs += crashEveryMs;
    }
    await client.change(index);
  }
  return {
    ...part,
    made: client.tookMs.length,
    askedAgain: client.retries,
    inForceMs: summarize(client.tookMs),
    late: client.late,
    brokenRules: world.checker.violations.length,
    killedByLease: world.checker.killedByLease,
  };
}

/** Measures configuration changes at the planned rate, at 20 times that rate, and with leader crashes every 30 s. */
export async function measureConfiguration(printLine: (line: string) => void): Promise<unknown> {
  const parts: ConfigurationPart[] = [
    { ...FULL_FLEET, changesAnHour: 54, endLeaderS: 0, seconds: 400 },
    { ...FULL_FLEET, changesAnHour: 1083, endLeaderS: 0, seconds: 120 },
    { ...FULL_FLEET, changesAnHour: 1083, endLeaderS: 30, seconds: 120 },
  ];
  return { simulated: true, results: await runPartsInParallel('configuration', parts, printLine) };
}
