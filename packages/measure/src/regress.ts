/**
 * The command `regress`: scores the operators' sites and compares each score with the last one in the journal.
 *
 * @module
 */
import { spawnSync } from 'node:child_process';
import { readFileSync, readdirSync } from 'node:fs';
import { basename, join } from 'node:path';
import { Argument, Command, InvalidArgumentError } from 'commander';
import { runSiteVariants } from './site-variants/index.js';
import { SiteError } from './errors.js';

/** Environment variables that name the bench and the sites. These belong to the operators, not to this repository. */
const BENCH_VARIABLE = 'SPURBRIDGE_BENCH';
const SITES_VARIABLE = 'SPURBRIDGE_SITES';
const FLEET_SITES_VARIABLE = 'SPURBRIDGE_FLEET_SITES';
const JOURNAL_DIRECTORY = 'journal';
/** A score that falls by at most this much is not a regression, because scores vary between runs. */
const SCORE_TOLERANCE = 0.03;
const FAULT_SEARCH_DAYS = '3';
/** Exit code for invalid arguments and settings. */
const EXIT_INVALID_USAGE = 2;

/** One score of the journal. */
interface JournalEntry {
  readonly at: string;
  readonly site: string;
  readonly mode: string;
  readonly score: number | null;
  readonly rulesBroken: readonly string[];
}

type Mode = 'quick' | 'fleet' | 'full' | 'own';

/** Reads the entries of the bench's journal that hold a site's score, oldest first. Other entries are skipped. */
export function readJournal(folder: string): JournalEntry[] {
  const entries: JournalEntry[] = [];
  for (const file of readdirSync(folder).sort()) {
    if (!file.endsWith('.json')) continue;
    const record = JSON.parse(readFileSync(join(folder, file), 'utf8')) as Record<string, unknown>;
    if (record['cmd'] !== 'score' || typeof record['site'] !== 'string') continue;
    const days = Array.isArray(record['days']) ? (record['days'] as Record<string, unknown>[]) : [];
    entries.push({
      at: Array.isArray(record['at']) ? String(record['at'][0]) : '',
      site: record['site'],
      mode: String(record['mode'] ?? 'full'),
      score: typeof record['score'] === 'number' ? record['score'] : null,
      rulesBroken: days.flatMap((day) => Object.keys((day['rules'] as object | null) ?? {})),
    });
  }
  return entries;
}

/** A new score, compared with the previous one of the same site and mode. */
export interface ScoreComparison {
  readonly site: string;
  readonly mode: string;
  readonly score: number | null;
  readonly before: number | null;
  readonly verdict: 'ok' | 'fell' | 'broken' | 'failed' | 'first';
}

/** Compares each new score with the last old one of the same site and mode. */
export function compareScores(
  old: readonly JournalEntry[],
  added: readonly JournalEntry[],
): ScoreComparison[] {
  return added.map((entry) => {
    const before =
      old.findLast(
        (earlier) => earlier.site === entry.site && earlier.mode === entry.mode && earlier.score !== null,
      )?.score ?? null;
    const { site, mode, score } = entry;
    return { site, mode, score, before, verdict: verdictOn(entry, before) };
  });
}

function verdictOn(entry: JournalEntry, before: number | null): ScoreComparison['verdict'] {
  if (entry.rulesBroken.length > 0) return 'broken';
  if (entry.score === null) return 'failed';
  if (before === null) return 'first';
  return entry.score < before - SCORE_TOLERANCE ? 'fell' : 'ok';
}

/** Formats the comparisons as text, one line each. */
export function formatComparisons(rows: readonly ScoreComparison[]): string {
  const figure = (value: number | null): string => (value === null ? '-' : value.toFixed(3));
  const lines = rows.map((row) => {
    const change =
      row.score === null || row.before === null ? '' : ` (${(row.score - row.before).toFixed(3)})`;
    return `${row.verdict.padEnd(6)} ${row.site} ${row.mode}: ${figure(row.before)} -> ${figure(row.score)}${change}`;
  });
  return lines.join('\n');
}

/** Paths of the sites that a variable lists, separated by colons. */
function sitesIn(variable: string): string[] {
  return (process.env[variable] ?? '').split(':').filter((site) => site !== '');
}

/** Prints the name of the variable that is not set. Returns the exit code. */
function reportMissing(variable: string): number {
  process.stderr.write(`regress: ${variable} is not set; see docs/regression.md\n`);
  return EXIT_INVALID_USAGE;
}

/** Runs the bench. Returns whether it succeeded. */
function runBench(bench: string, args: readonly string[]): boolean {
  return spawnSync(bench, args, { stdio: 'inherit' }).status === 0;
}

/** Scores the sites with the bench. Returns the exit code. */
function scoreSites(mode: Exclude<Mode, 'own'>, why: string): number {
  const bench = process.env[BENCH_VARIABLE] ?? '';
  const usual = sitesIn(SITES_VARIABLE);
  const fleet = sitesIn(FLEET_SITES_VARIABLE);
  const sites = mode === 'quick' ? usual : mode === 'fleet' ? fleet : [...usual, ...fleet];
  if (bench === '' || sites.length === 0)
    return reportMissing(
      bench === '' ? BENCH_VARIABLE : mode === 'fleet' ? FLEET_SITES_VARIABLE : SITES_VARIABLE,
    );
  const old = readJournal(JOURNAL_DIRECTORY);
  const ran = runBench(bench, ['score', ...sites, ...(mode === 'full' ? [] : ['--quick']), '--why', why]);
  const rows = compareScores(old, readJournal(JOURNAL_DIRECTORY).slice(old.length));
  const searched =
    mode !== 'full' ||
    sites.map((site) => runBench(bench, ['hunt', site, '--days', FAULT_SEARCH_DAYS])).every(Boolean);
  process.stdout.write(`${formatComparisons(rows)}\n`);
  const isPassed = rows.every((row) => row.verdict === 'ok' || row.verdict === 'first');
  return ran && searched && isPassed && rows.length === sites.length ? 0 : 1;
}

/** Options of the command line. */
interface Flags {
  readonly why: string;
  readonly factor: number;
  readonly restart: number;
  readonly nodes?: number;
  readonly otherZones?: boolean;
  readonly days?: string[];
  readonly times: number;
  readonly jobs?: number;
}

/** Runs variants of the fleet sites. Returns the exit code. */
async function runVariants(flags: Flags): Promise<number> {
  const bench = process.env[BENCH_VARIABLE] ?? '';
  const sites = sitesIn(FLEET_SITES_VARIABLE);
  if (bench === '' || sites.length === 0)
    return reportMissing(bench === '' ? BENCH_VARIABLE : FLEET_SITES_VARIABLE);
  const isPassed = await runSiteVariants({
    bench,
    sites,
    factor: flags.factor,
    restartS: flags.restart,
    nodes: flags.nodes ?? null,
    renamesZones: flags.otherZones === true,
    days: flags.days ?? [],
    times: flags.times,
    jobs: flags.jobs ?? null,
    why: flags.why,
    printLine: (line) => process.stdout.write(`${line}\n`),
  });
  return isPassed ? 0 : 1;
}

function parsePositive(text: string): number {
  const value = Number(text);
  if (!Number.isFinite(value) || value <= 0) throw new InvalidArgumentError('expected a number above 0');
  return value;
}

function parsePositiveInteger(text: string): number {
  const value = parsePositive(text);
  if (!Number.isInteger(value)) throw new InvalidArgumentError('expected a whole number above 0');
  return value;
}

if (basename(process.argv[1] ?? '') === 'regress.ts')
  new Command('regress')
    .description("Scores the operators' sites and compares each score with the last one in journal/.")
    .addArgument(
      new Argument('<mode>', 'which sites to run, and how').choices(['quick', 'fleet', 'full', 'own']),
    )
    .option('--why <text>', 'one sentence for the journal', 'Regression')
    .option('--factor <number>', 'own: factor on machines, limits and load', parsePositive, 1.5)
    .option('--restart <seconds>', 'own: delay before an ended process restarts', parsePositive, 0.2)
    .option(
      '--nodes <count>',
      'own: number of controllers; by default that of the site',
      parsePositiveInteger,
    )
    .option('--other-zones', 'own: rename the zones')
    .option('--days <names...>', 'own: run only these days')
    .option('--times <count>', 'own: number of runs of each day', parsePositiveInteger, 1)
    .option('--jobs <count>', 'own: number of days that run in parallel', parsePositiveInteger)
    .action(async (mode: Mode, flags: Flags) => {
      process.exitCode = mode === 'own' ? await runVariants(flags) : scoreSites(mode, flags.why);
    })
    .parseAsync()
    .catch((error: unknown) => {
      const isExpected = error instanceof SiteError;
      process.stderr.write(
        `regress: ${isExpected ? error.message : error instanceof Error ? (error.stack ?? '') : String(error)}\n`,
      );
      process.exitCode = isExpected ? EXIT_INVALID_USAGE : 1;
    });
