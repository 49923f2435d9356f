import { readFileSync } from 'node:fs';
import { randomInt } from 'node:crypto';
import type { TariffOptions } from '@spurbridge/tariff';
import {
  HttpTariffFeed,
  DEFAULT_TARIFF_OPTIONS,
  validateCalendar,
  deferralControllerFactory,
} from '@spurbridge/tariff';
import type { TariffDocument } from '@spurbridge/wire';
import { parseTariff } from '@spurbridge/wire';
import type { Command } from 'commander';
import { Option } from 'commander';
import { parse } from 'smol-toml';
import { runDaemon } from './daemon.js';
import { numberFlag } from './flags.js';
import { SettingsError } from './settings.js';

interface TariffFlags {
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

function flags(program: Command): void {
  const d = DEFAULT_TARIFF_OPTIONS;
  program
    .addOption(new Option('--tariff <file>', 'the tariff (TOML)').env('SPURBRIDGE_TARIFF'))
    .addOption(
      new Option('--tariff-feed <url>', 'where newer ones are published').env('SPURBRIDGE_TARIFF_FEED'),
    )
    .addOption(
      new Option('--tariff-classes <names>', 'classes that may wait, by comma (all with a deadline)').env(
        'SPURBRIDGE_TARIFF_CLASSES',
      ),
    )
    .addOption(numberFlag('tariff-carbon', 'weight of carbon against price', d.carbonShare, 0, 1))
    .addOption(
      numberFlag(
        'tariff-pattern-h',
        'hours for which windows outlive their tariff',
        d.windowExtensionS / 3600,
        0,
        720,
      ),
    )
    .addOption(numberFlag('tariff-silent-s', 'seconds after which a feed counts as silent', 3600, 1, 604_800))
    .addOption(numberFlag('tariff-saving', 'share of its cost that a wait must save', d.minSaving, 0, 1))
    .addOption(
      numberFlag(
        'tariff-probability',
        'share of run times to be safe against',
        d.runTimeQuantile,
        0.5,
        0.9999,
      ),
    )
    .addOption(numberFlag('tariff-spare-runs', 'lost runs of a task to be safe against', d.spareRuns, 0, 10));
}

/** An empty variable is one that is not set. */
function stated(text: string | undefined): string | null {
  return text === undefined || text === '' ? null : text;
}

function readTariff(path: string): TariffDocument {
  try {
    const t = parseTariff(parse(readFileSync(path, 'utf8')));
    validateCalendar(t);
    return t;
  } catch (e) {
    const first = (e instanceof Error ? e.message : String(e)).split('\n')[0] ?? '';
    throw new SettingsError(`tariff ${path}: ${first}`);
  }
}

function feedOf(url: string, silentS: number): TariffOptions['feed'] {
  if (!URL.canParse(url) || !['http:', 'https:'].includes(new URL(url).protocol))
    throw new SettingsError(`--tariff-feed: expected an http or https URL, not ${url}`);
  return { source: new HttpTariffFeed(url), seed: randomInt(2 ** 31), silentS };
}

runDaemon({
  addOptions: flags,
  createLeaderComponents: (given) => {
    const f = given as unknown as TariffFlags;
    const file = stated(f.tariff);
    const url = stated(f.tariffFeed);
    if (file === null && url === null)
      throw new SettingsError('--tariff or --tariff-feed: expected one of them');
    const classes =
      stated(f.tariffClasses)
        ?.split(',')
        .map((c) => c.trim()) ?? null;
    if (classes?.includes('') === true)
      throw new SettingsError('--tariff-classes: expected names, separated by commas');
    return [
      deferralControllerFactory({
        document: file === null ? null : readTariff(file),
        feed: url === null ? null : feedOf(url, f.tariffSilentS),
        carbonShare: f.tariffCarbon,
        windowExtensionS: f.tariffPatternH * 3600,
        minSaving: f.tariffSaving,
        runTimeQuantile: f.tariffProbability,
        spareRuns: f.tariffSpareRuns,
        classes,
      }),
    ];
  },
});
