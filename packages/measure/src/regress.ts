/**
 * The command `regress`: scores the operators' sites and compares each score with the last one in the journal.
 *
 * @module
 */
import { spawnSync } from 'node:child_process';
import { readFileSync, readdirSync } from 'node:fs';
import { basename, join } from 'node:path';
import { Argument, Command, InvalidArgumentError } from 'commander';
import { playSiteVariants } from './site-variants/index.js';
import { SiteError } from './errors.js';

/** Environment variables that name the bench and the sites, which belong to the operators and are no part of this repository. */
const BENCH = 'SPURBRIDGE_BENCH';
const SITES = 'SPURBRIDGE_SITES';
const FLEET = 'SPURBRIDGE_FLEET_SITES';
const JOURNAL = 'journal';
/** A fall of a score by up to this much is noise. */
const NOISE = 0.03;
const FAULT_SEARCH_DAYS = '3';
/** Exit code for wrong arguments and settings. */
const EXIT_UNUSABLE = 2;

/** One score of the journal. */
interface Entry {
  readonly at: string;
  readonly site: string;
  readonly mode: string;
  readonly score: number | null;
  readonly rulesBroken: readonly string[];
}

type Mode = 'quick' | 'fleet' | 'full' | 'own';

/** Entries of the bench's journal that hold a site's score, oldest first; others are skipped. */
export function readJournal(folder: string): Entry[] {
  const entries: Entry[] = [];
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

/** A new score and its predecessor. */
export interface Row {
  readonly site: string;
  readonly mode: string;
  readonly score: number | null;
  readonly before: number | null;
  readonly verdict: 'ok' | 'fell' | 'broken' | 'failed' | 'first';
}

/** Compares each new score with the last one of the same site and mode before it. */
export function compare(old: readonly Entry[], added: readonly Entry[]): Row[] {
  return added.map((entry) => {
    const before =
      old.findLast(
        (earlier) => earlier.site === entry.site && earlier.mode === entry.mode && earlier.score !== null,
      )?.score ?? null;
    const { site, mode, score } = entry;
    return { site, mode, score, before, verdict: verdictOn(entry, before) };
  });
}

function verdictOn(entry: Entry, before: number | null): Row['verdict'] {
  if (entry.rulesBroken.length > 0) return 'broken';
  if (entry.score === null) return 'failed';
  if (before === null) return 'first';
  return entry.score < before - NOISE ? 'fell' : 'ok';
}

/** The rows as text, one line each. */
export function print(rows: readonly Row[]): string {
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

/** Names the variable that is not set; the exit code. */
function reportMissing(variable: string): number {
  process.stderr.write(`regress: ${variable} is not set; docs/regression.md says what it names\n`);
  return EXIT_UNUSABLE;
}

/** Runs the bench; whether it succeeded. */
function run(bench: string, args: readonly string[]): boolean {
  return spawnSync(bench, args, { stdio: 'inherit' }).status === 0;
}

/** Scores sites by the bench; the exit code. */
function scoreSites(mode: Exclude<Mode, 'own'>, why: string): number {
  const bench = process.env[BENCH] ?? '';
  const usual = sitesIn(SITES);
  const fleet = sitesIn(FLEET);
  const sites = mode === 'quick' ? usual : mode === 'fleet' ? fleet : [...usual, ...fleet];
  if (bench === '' || sites.length === 0)
    return reportMissing(bench === '' ? BENCH : mode === 'fleet' ? FLEET : SITES);
  const old = readJournal(JOURNAL);
  const ran = run(bench, ['score', ...sites, ...(mode === 'full' ? [] : ['--quick']), '--why', why]);
  const rows = compare(old, readJournal(JOURNAL).slice(old.length));
  const searched =
    mode !== 'full' ||
    sites.map((site) => run(bench, ['hunt', site, '--days', FAULT_SEARCH_DAYS])).every(Boolean);
  process.stdout.write(`${print(rows)}\n`);
  const isGood = rows.every((row) => row.verdict === 'ok' || row.verdict === 'first');
  return ran && searched && isGood && rows.length === sites.length ? 0 : 1;
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

/** Plays variants of the fleet sites; the exit code. */
async function playVariants(flags: Flags): Promise<number> {
  const bench = process.env[BENCH] ?? '';
  const sites = sitesIn(FLEET);
  if (bench === '' || sites.length === 0) return reportMissing(bench === '' ? BENCH : FLEET);
  const isGood = await playSiteVariants({
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
  return isGood ? 0 : 1;
}

function parsePositive(text: string): number {
  const value = Number(text);
  if (!Number.isFinite(value) || value <= 0) throw new InvalidArgumentError('must be a number above 0');
  return value;
}

function parsePositiveInteger(text: string): number {
  const value = parsePositive(text);
  if (!Number.isInteger(value)) throw new InvalidArgumentError('must be a whole number above 0');
  return value;
}

if (basename(process.argv[1] ?? '') === 'regress.ts')
  new Command('regress')
    .description("Scores the operators' sites and holds each figure against the last one in journal/.")
    .addArgument(new Argument('<mode>', 'which sites, and how').choices(['quick', 'fleet', 'full', 'own']))
    .option('--why <text>', 'one sentence for the journal', 'Regression')
    .option('--factor <number>', 'own: machines, limits and load times this', parsePositive, 1.5)
    .option('--restart <seconds>', 'own: a process that ended is back after this', parsePositive, 0.2)
    .option('--nodes <count>', 'own: controllers, instead of as many as the site has', parsePositiveInteger)
    .option('--other-zones', 'own: zones with other names')
    .option('--days <names...>', 'own: only these days')
    .option('--times <count>', 'own: each day so often', parsePositiveInteger, 1)
    .option('--jobs <count>', 'own: days at once', parsePositiveInteger)
    .action(async (mode: Mode, flags: Flags) => {
      process.exitCode = mode === 'own' ? await playVariants(flags) : scoreSites(mode, flags.why);
    })
    .parseAsync()
    .catch((error: unknown) => {
      const isExpected = error instanceof SiteError;
      process.stderr.write(
        `regress: ${isExpected ? error.message : error instanceof Error ? (error.stack ?? '') : String(error)}\n`,
      );
      process.exitCode = isExpected ? EXIT_UNUSABLE : 1;
    });
