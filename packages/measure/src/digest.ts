/**
 * Digests of the scheduler's behaviour: one hash per simulated day, generated from a fixed seed, over all messages that
 * its programs send. A refactoring must not change any digest.
 *
 * @module
 */
import { existsSync, readFileSync } from 'node:fs';
import {
  ACCOMPANYING_FAULTS,
  DAY_LENGTH_MS,
  DATA_LOSSES,
  InMemorySnapshotDirectory,
  TrafficDigest,
  injectAccompanyingFault,
  injectCombinedFaults,
  startGeneratedJobs,
  injectDataLoss,
  nextChangeId,
  proposeChanges,
  smallWorld,
  injectRandomFault,
} from '@spurbridge/testkit';
import type { World, WorldOptions } from '@spurbridge/testkit';
import { runPartsInParallel } from './parallel.js';

/** File of the expected digests. */
export const EXPECTED_DIGESTS = 'docs/digest.json';
const LOSS_AT_MS = 60_000;
const SNAPSHOT_INTERVAL_MS = 10_000;
const MAX_COMBINED_FAULTS = 4;
const CONFIGURATION_CHANGES_AT_MS = [30_000, 50_000, 70_000] as const;

/** One simulated day: its kind of faults, and the seed from which everything else is generated. */
export interface DigestDay {
  readonly name: string;
  readonly kind: 'faults' | 'combined' | 'loss' | 'configuration';
  readonly seed: number;
}

const DAYS: readonly DigestDay[] = [
  { name: 'quiet', kind: 'faults', seed: 0 },
  ...[1, 2, 3, 4].map((seed) => ({ name: `faults ${seed}`, kind: 'faults' as const, seed })),
  ...[11, 12, 13, 14].map((seed) => ({ name: `combined faults ${seed}`, kind: 'combined' as const, seed })),
  ...[21, 22, 23, 24].map((seed) => ({ name: `store loses data ${seed}`, kind: 'loss' as const, seed })),
  ...[31, 32].map((seed) => ({
    name: `configuration changes ${seed}`,
    kind: 'configuration' as const,
    seed,
  })),
];

function prepare(world: World, { kind, seed }: DigestDay): void {
  startGeneratedJobs(world);
  switch (kind) {
    case 'faults':
      for (let n = 0; n < seed; n += 1) injectRandomFault(world);
      return;
    case 'combined':
      injectCombinedFaults(world, MAX_COMBINED_FAULTS);
      return;
    case 'loss': {
      const loss = DATA_LOSSES[seed % DATA_LOSSES.length] ?? 'emptied';
      injectDataLoss(world, loss, LOSS_AT_MS);
      injectAccompanyingFault(
        world,
        ACCOMPANYING_FAULTS[seed % ACCOMPANYING_FAULTS.length] ?? 'nothing',
        loss,
        LOSS_AT_MS,
      );
      return;
    }
    case 'configuration':
      injectRandomFault(world);
  }
}

async function changeConfiguration(world: World): Promise<void> {
  for (const [n, atMs] of CONFIGURATION_CHANGES_AT_MS.entries()) {
    await world.runUntil(atMs);
    const cpus = 16 + 2 * n;
    await proposeChanges(world, n, [{ team: 'red', cpus }], nextChangeId());
  }
}

/** Simulates one day and returns its digest. */
export async function digestPart(day: DigestDay): Promise<string> {
  const traffic = new TrafficDigest();
  const options: Partial<WorldOptions> =
    day.kind === 'loss'
      ? {
          traffic,
          snapshots: { directory: new InMemorySnapshotDirectory(), intervalMs: SNAPSHOT_INTERVAL_MS },
        }
      : { traffic };
  const world = smallWorld(day.seed, options);
  prepare(world, day);
  if (day.kind === 'configuration') await changeConfiguration(world);
  await world.runUntil(DAY_LENGTH_MS);
  return traffic.finish();
}

function readExpected(): Readonly<Record<string, string>> {
  if (!existsSync(EXPECTED_DIGESTS)) return {};
  return JSON.parse(readFileSync(EXPECTED_DIGESTS, 'utf8')) as Record<string, string>;
}

/** Simulates all days and prints those whose digest differs from the expected one. If any does, the process exits with 1. */
export async function measureDigest(printLine: (line: string) => void): Promise<Record<string, string>> {
  const digests = (await runPartsInParallel('digest', DAYS, () => undefined)) as string[];
  const found = Object.fromEntries(DAYS.map((day, n) => [day.name, digests[n] ?? '']));
  const expected = readExpected();
  const changed = DAYS.filter(({ name }) => found[name] !== expected[name]);
  for (const { name } of changed)
    printLine(`digest changed: ${name}: ${expected[name] ?? 'none'} -> ${found[name] ?? ''}`);
  printLine(`${DAYS.length - changed.length} of ${DAYS.length} digests as expected`);
  if (changed.length > 0) process.exitCode = 1;
  return found;
}
