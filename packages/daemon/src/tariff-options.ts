/**
 * The flags of the program that defers work by a tariff.
 *
 * @module
 */
import { randomInt } from 'node:crypto';
import { readFileSync } from 'node:fs';
import type { TariffOptions } from '@spurbridge/tariff';
import { DEFAULT_TARIFF_OPTIONS, HttpTariffFeed, validateCalendar } from '@spurbridge/tariff';
import type { TariffDocument } from '@spurbridge/wire';
import { parseTariff } from '@spurbridge/wire';
import type { Command } from 'commander';
import { Option } from 'commander';
import { parse } from 'smol-toml';
import { SettingsError, firstLineOf } from './errors.js';
import { numberOption } from './number-option.js';

const S_PER_HOUR = 3600;
const DEFAULT_FEED_SILENCE_S = 3600;
const MAX_FEED_SILENCE_S = 604_800;
const MAX_PATTERN_HOURS = 720;
const MAX_PROBABILITY = 0.9999;
const MAX_SPARE_RUNS = 10;
/** Exclusive upper bound of the random seed that spreads the nodes' requests to the feed over time. */
const FEED_SEED_RANGE = 2 ** 31;
const FEED_PROTOCOLS: readonly string[] = ['http:', 'https:'];

/** Values of the flags, as commander names them. */
export interface TariffFlags {
  readonly tariff?: string;
  readonly tariffFeed?: string;
  readonly tariffCarbon: number;
  readonly tariffPatternH: number;
  readonly tariffSilentS: number;
  readonly tariffSaving: number;
  readonly tariffProbability: number;
  readonly tariffSpareRuns: number;
  readonly tariffClasses?: string;
}

function sourceOptions(): Option[] {
  return [
    new Option('--tariff <file>', 'the tariff file (TOML)').env('SPURBRIDGE_TARIFF'),
    new Option('--tariff-feed <url>', 'URL at which newer tariffs are published').env(
      'SPURBRIDGE_TARIFF_FEED',
    ),
    new Option(
      '--tariff-classes <names>',
      'classes that may be deferred, separated by commas; by default all with a deadline',
    ).env('SPURBRIDGE_TARIFF_CLASSES'),
  ];
}

function decisionOptions(): Option[] {
  const { carbonShare, windowExtensionS, minSaving, runTimeQuantile, spareRuns } = DEFAULT_TARIFF_OPTIONS;
  return [
    numberOption({
      name: 'tariff-carbon',
      description: 'weight of carbon in the cost: 0 is price alone, 1 is carbon alone',
      defaultValue: carbonShare,
      min: 0,
      max: 1,
    }),
    numberOption({
      name: 'tariff-pattern-h',
      description: "hours beyond a tariff's validity for which its recurring windows still count",
      defaultValue: windowExtensionS / S_PER_HOUR,
      min: 0,
      max: MAX_PATTERN_HOURS,
    }),
    numberOption({
      name: 'tariff-silent-s',
      description: 'seconds without a valid response after which the feed counts as silent',
      defaultValue: DEFAULT_FEED_SILENCE_S,
      min: 1,
      max: MAX_FEED_SILENCE_S,
    }),
    numberOption({
      name: 'tariff-saving',
      description: "minimum share of a job's cost that a deferral must save",
      defaultValue: minSaving,
      min: 0,
      max: 1,
    }),
    numberOption({
      name: 'tariff-probability',
      description: "quantile of the observed run times that is taken as a task's maximum run time",
      defaultValue: runTimeQuantile,
      min: 0.5,
      max: MAX_PROBABILITY,
    }),
    numberOption({
      name: 'tariff-spare-runs',
      description: 'number of lost runs of a task for which the finish time must still be met',
      defaultValue: spareRuns,
      min: 0,
      max: MAX_SPARE_RUNS,
    }),
  ];
}

/** Adds all flags to the command line. */
export function addTariffOptions(program: Command): void {
  for (const option of [...sourceOptions(), ...decisionOptions()]) program.addOption(option);
}

/** Returns null for an empty environment variable, as for one that is not set. */
function presentOrNull(text: string | undefined): string | null {
  return text === undefined || text === '' ? null : text;
}

function readTariff(path: string): TariffDocument {
  try {
    const document = parseTariff(parse(readFileSync(path, 'utf8')));
    validateCalendar(document);
    return document;
  } catch (error) {
    throw new SettingsError(`tariff ${path}: ${firstLineOf(error)}`, { cause: error });
  }
}

function createFeed(url: string, silentS: number): TariffOptions['feed'] {
  if (!URL.canParse(url) || !FEED_PROTOCOLS.includes(new URL(url).protocol))
    throw new SettingsError(`--tariff-feed: expected an http or https URL, not ${url}`);
  return { source: new HttpTariffFeed(url), seed: randomInt(FEED_SEED_RANGE), silentS };
}

function parseClasses(names: string | null): readonly string[] | null {
  if (names === null) return null;
  const classes = names.split(',').map((name) => name.trim());
  if (classes.includes(''))
    throw new SettingsError('--tariff-classes: expected names separated by commas, got an empty name');
  return classes;
}

/**
 * Checks the flags, reads the tariff file and opens the feed.
 *
 * @throws `SettingsError` that names the flag, or the file and the error in it
 */
export function tariffOptionsOf(flags: TariffFlags): TariffOptions {
  const path = presentOrNull(flags.tariff);
  const url = presentOrNull(flags.tariffFeed);
  if (path === null && url === null)
    throw new SettingsError('--tariff or --tariff-feed: expected at least one of them, got neither');
  const classes = parseClasses(presentOrNull(flags.tariffClasses));
  return {
    document: path === null ? null : readTariff(path),
    feed: url === null ? null : createFeed(url, flags.tariffSilentS),
    carbonShare: flags.tariffCarbon,
    windowExtensionS: flags.tariffPatternH * S_PER_HOUR,
    minSaving: flags.tariffSaving,
    runTimeQuantile: flags.tariffProbability,
    spareRuns: flags.tariffSpareRuns,
    classes,
  };
}
