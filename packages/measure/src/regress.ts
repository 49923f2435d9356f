import { spawnSync } from 'node:child_process';
import { readFileSync, readdirSync } from 'node:fs';
import { basename, join } from 'node:path';
import { Argument, Command, InvalidArgumentError } from 'commander';
import { playSiteVariants } from './site-variants/index.js';
import { SiteError } from './site-variants/variant.js';

/** The bench and its sites are the operators' own: they are named by variables, never here. */
const BENCH = 'SPURBRIDGE_BENCH';
const SITES = 'SPURBRIDGE_SITES';
const FLEET = 'SPURBRIDGE_FLEET_SITES';
const JOURNAL = 'journal';
/** A site's score may fall by this much before it is more than noise. */
const NOISE = 0.03;
const HUNT_DAYS = '3';

interface Entry {
  readonly at: string;
  readonly site: string;
  readonly mode: string;
  readonly score: number | null;
  readonly rulesBroken: readonly string[];
}

type Mode = 'quick' | 'fleet' | 'full' | 'own';

/** Entries of the bench's journal that hold a site's score, oldest first; others are passed over. */
export function readJournal(folder: string): Entry[] {
  const entries: Entry[] = [];
  for (const file of readdirSync(folder).sort()) {
    if (!file.endsWith('.json')) continue;
    const e = JSON.parse(readFileSync(join(folder, file), 'utf8')) as Record<string, unknown>;
    if (e['cmd'] !== 'score' || typeof e['site'] !== 'string') continue;
    const days = Array.isArray(e['days']) ? (e['days'] as Record<string, unknown>[]) : [];
    entries.push({
      at: Array.isArray(e['at']) ? String(e['at'][0]) : '',
      site: e['site'],
      mode: String(e['mode'] ?? 'full'),
      score: typeof e['score'] === 'number' ? e['score'] : null,
      rulesBroken: days.flatMap((d) => Object.keys((d['rules'] as object | null) ?? {})),
    });
  }
  return entries;
}

export interface Row {
  readonly site: string;
  readonly mode: string;
  readonly score: number | null;
  readonly before: number | null;
  readonly verdict: 'ok' | 'fell' | 'broken' | 'failed' | 'first';
}

/** Each new score beside the last one of the same site and mode before it. */
export function compare(old: readonly Entry[], added: readonly Entry[]): Row[] {
  return added.map((e) => {
    const before =
      old.findLast((o) => o.site === e.site && o.mode === e.mode && o.score !== null)?.score ?? null;
    const verdict =
      e.rulesBroken.length > 0
        ? 'broken'
        : e.score === null
          ? 'failed'
          : before === null
            ? 'first'
            : e.score < before - NOISE
              ? 'fell'
              : 'ok';
    return { site: e.site, mode: e.mode, score: e.score, before, verdict };
  });
}

export function print(rows: readonly Row[]): string {
  const figure = (x: number | null): string => (x === null ? '-' : x.toFixed(3));
  const lines = rows.map((r) => {
    const change = r.score === null || r.before === null ? '' : ` (${(r.score - r.before).toFixed(3)})`;
    return `${r.verdict.padEnd(6)} ${r.site} ${r.mode}: ${figure(r.before)} -> ${figure(r.score)}${change}`;
  });
  return lines.join('\n');
}

function listed(variable: string): string[] {
  return (process.env[variable] ?? '').split(':').filter((x) => x !== '');
}

function run(bench: string, args: readonly string[]): boolean {
  return spawnSync(bench, args, { stdio: 'inherit' }).status === 0;
}

function regress(mode: Exclude<Mode, 'own'>, why: string): number {
  const bench = process.env[BENCH] ?? '';
  const usual = listed(SITES);
  const fleet = listed(FLEET);
  const sites = mode === 'quick' ? usual : mode === 'fleet' ? fleet : [...usual, ...fleet];
  if (bench === '' || sites.length === 0) {
    const missing = bench === '' ? BENCH : mode === 'fleet' ? FLEET : SITES;
    process.stderr.write(`regress: ${missing} is not set; docs/regression.md says what it names\n`);
    return 2;
  }
  const old = readJournal(JOURNAL);
  const ran = run(bench, ['score', ...sites, ...(mode === 'full' ? [] : ['--quick']), '--why', why]);
  const rows = compare(old, readJournal(JOURNAL).slice(old.length));
  const hunted =
    mode !== 'full' || sites.map((s) => run(bench, ['hunt', s, '--days', HUNT_DAYS])).every(Boolean);
  process.stdout.write(`${print(rows)}\n`);
  const good = rows.every((r) => r.verdict === 'ok' || r.verdict === 'first');
  return ran && hunted && good && rows.length === sites.length ? 0 : 1;
}

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

async function own(f: Flags): Promise<number> {
  const bench = process.env[BENCH] ?? '';
  const sites = listed(FLEET);
  if (bench === '' || sites.length === 0) {
    process.stderr.write(
      `regress: ${bench === '' ? BENCH : FLEET} is not set; docs/regression.md says what it names\n`,
    );
    return 2;
  }
  const good = await playSiteVariants({
    bench,
    sites,
    factor: f.factor,
    restartS: f.restart,
    nodes: f.nodes ?? null,
    renamesZones: f.otherZones === true,
    days: f.days ?? [],
    times: f.times,
    jobs: f.jobs ?? null,
    why: f.why,
    say: (line) => process.stdout.write(`${line}\n`),
  });
  return good ? 0 : 1;
}

function positive(text: string): number {
  const n = Number(text);
  if (!Number.isFinite(n) || n <= 0) throw new InvalidArgumentError('must be a number above 0');
  return n;
}

function whole(text: string): number {
  const n = positive(text);
  if (!Number.isInteger(n)) throw new InvalidArgumentError('must be a whole number above 0');
  return n;
}

if (basename(process.argv[1] ?? '') === 'regress.ts')
  new Command('regress')
    .description("Scores the operators' sites and holds each figure against the last one in journal/.")
    .addArgument(new Argument('<mode>', 'which sites, and how').choices(['quick', 'fleet', 'full', 'own']))
    .option('--why <text>', 'one sentence for the journal', 'Regression')
    .option('--factor <number>', 'own: machines, limits and load times this', positive, 1.5)
    .option('--restart <seconds>', 'own: a process that ended is back after this', positive, 0.2)
    .option('--nodes <count>', 'own: controllers, instead of as many as the site has', whole)
    .option('--other-zones', 'own: zones with other names')
    .option('--days <names...>', 'own: only these days')
    .option('--times <count>', 'own: each day so often', whole, 1)
    .option('--jobs <count>', 'own: days at once', whole)
    .action(async (mode: Mode, flags: Flags) => {
      process.exitCode = mode === 'own' ? await own(flags) : regress(mode, flags.why);
    })
    .parseAsync()
    .catch((e: unknown) => {
      const isExpected = e instanceof SiteError;
      process.stderr.write(
        `regress: ${isExpected ? e.message : e instanceof Error ? (e.stack ?? '') : String(e)}\n`,
      );
      process.exitCode = isExpected ? 2 : 1;
    });
