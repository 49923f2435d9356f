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
import type { WorkerShardsPart } from './worker-shards.js';
import { measureWorkerShards, workerShardsPart } from './worker-shards.js';
import type { LossPart } from './store-data-loss.js';
import { measureStoreDataLoss, storeDataLossPart } from './store-data-loss.js';
import { measureTariff, tariffPart } from './tariff.js';
import type { Pair } from './tariff.js';

interface Measurement {
  readonly what: string;
  readonly all: (say: (line: string) => void) => Promise<unknown>;
  readonly part: (part: unknown) => Promise<unknown>;
}

const MEASUREMENTS: Readonly<Record<string, Measurement>> = {
  tariff: {
    what: 'nights with and without deferral in the simulated world',
    all: measureTariff,
    part: (p) => tariffPart(p as Pair),
  },
  graphs: {
    what: 'task graphs: fairness, orders, takeovers, scale',
    all: measureGraphs,
    part: (p) => graphsPart(p as GraphsPart),
  },
  plans: {
    what: 'what one plan costs by the size of the fleet',
    all: measurePlans,
    part: (p) => Promise.resolve(plansPart(p as PlansPart)),
  },
  configuration: {
    what: 'changes of configuration until they are in force, at 2,700 simulated workers',
    all: measureConfiguration,
    part: (p) => configurationPart(p as ConfigurationPart),
  },
  shares: {
    what: 'workers held by every node: ends of nodes with and without shares',
    all: measureWorkerShards,
    part: (p) => workerShardsPart(p as WorkerShardsPart),
  },
  digest: {
    what: 'whether the programs behave as before: a hash over all that they send on generated days',
    all: measureDigest,
    part: (p) => digestPart(p as DigestDay),
  },
  'state-loss': {
    what: 'losses of the state service: noticing, rebuilding, what is lost, what it costs',
    all: measureStoreDataLoss,
    part: (p) => storeDataLossPart(p as LossPart),
  },
};

new Command('measure')
  .description('Measures one thing; the last line is one JSON object. Progress goes to standard error.')
  .argument(
    '<name>',
    Object.entries(MEASUREMENTS)
      .map(([name, m]) => `${name}: ${m.what}`)
      .join('; '),
  )
  .option('--part <json>', 'one part of it, as the measurement itself calls it')
  .action(async (name: string, options: { part?: string }, command: Command) => {
    const m = MEASUREMENTS[name];
    if (m === undefined) {
      command.error(
        `measure: no measurement is called ${name}; there are: ${Object.keys(MEASUREMENTS).join(', ')}`,
        {
          exitCode: 2,
        },
      );
      return;
    }
    const result =
      options.part === undefined
        ? await m.all((line) => process.stderr.write(`${line}\n`))
        : await m.part(JSON.parse(options.part));
    process.stdout.write(`${JSON.stringify(result)}\n`);
  })
  .addCommand(scaleCommand())
  .addCommand(capacityCommand())
  .parseAsync()
  .catch((e: unknown) => {
    process.stderr.write(`${e instanceof Error ? (e.stack ?? e.message) : String(e)}\n`);
    process.exitCode = 1;
  });
