/**
 * The command `measure`: runs one measurement, or one part of it, and prints the result as one line of JSON.
 *
 * @module
 */
import { capacityCommand, scaleCommand } from '@spurbridge/scale';
import { Command } from 'commander';
import type { ConfigurationPart } from './configuration.js';
import { configurationPart, measureConfiguration } from './configuration.js';
import type { DigestDay } from './digest.js';
import { digestPart, measureDigest } from './digest.js';
import type { GraphsPart } from './graphs.js';
import { graphsPart, measureGraphs } from './graphs.js';
import type { PlansPart } from './plans.js';
import { measurePlans, plansPart } from './plans.js';
import type { LossPart } from './store-data-loss-part.js';
import { storeDataLossPart } from './store-data-loss-part.js';
import { measureStoreDataLoss } from './store-data-loss.js';
import type { WorkerShardsPart } from './worker-shards.js';
import { measureWorkerShards, workerShardsPart } from './worker-shards.js';
import { measureTariff, tariffPart } from './tariff.js';
import type { TariffPart } from './tariff.js';

const EXIT_UNKNOWN_NAME = 2;

interface Measurement {
  /** Shown in the help of the command. */
  readonly description: string;
  /** Runs all parts, each in its own process, and summarizes their results. */
  readonly all: (printLine: (line: string) => void) => Promise<unknown>;
  /** Runs one part in this process. */
  readonly part: (part: unknown) => Promise<unknown>;
}

const MEASUREMENTS: Readonly<Record<string, Measurement>> = {
  tariff: {
    description: 'simulated nights with and without deferral',
    all: measureTariff,
    part: (part) => tariffPart(part as TariffPart),
  },
  graphs: {
    description: 'task graphs: fairness, orders of cotasks, failovers, throughput and memory',
    all: measureGraphs,
    part: (part) => graphsPart(part as GraphsPart),
  },
  plans: {
    description: 'time of one scheduling plan by the size of the fleet',
    all: measurePlans,
    part: (part) => Promise.resolve(plansPart(part as PlansPart)),
  },
  configuration: {
    description: 'time until configuration changes are in force, with 2,700 simulated workers',
    all: measureConfiguration,
    part: (part) => configurationPart(part as ConfigurationPart),
  },
  shares: {
    description: 'crashes of controllers with and without worker shards',
    all: measureWorkerShards,
    part: (part) => workerShardsPart(part as WorkerShardsPart),
  },
  digest: {
    description: 'hashes over all messages sent on generated days, compared with the expected ones',
    all: measureDigest,
    part: (part) => digestPart(part as DigestDay),
  },
  'state-loss': {
    description: 'data losses of the state service: detection, recovery, lost work and cost',
    all: measureStoreDataLoss,
    part: (part) => storeDataLossPart(part as LossPart),
  },
};

/** Runs a measurement, or the part of it that is given as JSON, and prints the result. */
async function runMeasurement(name: string, options: { part?: string }, command: Command): Promise<void> {
  const measurement = MEASUREMENTS[name];
  if (measurement === undefined) {
    const names = Object.keys(MEASUREMENTS).join(', ');
    command.error(`measure: unknown measurement ${name}; expected one of ${names}`, {
      exitCode: EXIT_UNKNOWN_NAME,
    });
    return;
  }
  const result =
    options.part === undefined
      ? await measurement.all((line) => process.stderr.write(`${line}\n`))
      : await measurement.part(JSON.parse(options.part));
  process.stdout.write(`${JSON.stringify(result)}\n`);
}

new Command('measure')
  .description(
    'Runs one measurement. The last line of output is one JSON object; progress goes to standard error.',
  )
  .argument(
    '<name>',
    Object.entries(MEASUREMENTS)
      .map(([name, measurement]) => `${name}: ${measurement.description}`)
      .join('; '),
  )
  .option('--part <json>', 'run only this part, in the format in which the measurement starts its parts')
  .action(runMeasurement)
  .addCommand(scaleCommand())
  .addCommand(capacityCommand())
  .parseAsync()
  .catch((error: unknown) => {
    process.stderr.write(`${error instanceof Error ? (error.stack ?? error.message) : String(error)}\n`);
    process.exitCode = 1;
  });
