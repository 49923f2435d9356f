import { spawnSync } from 'node:child_process';
import { readFileSync, readdirSync } from 'node:fs';
import { basename, join } from 'node:path';
import { Argument, Command } from 'commander';

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

type Mode = 'quick' | 'fleet' | 'full';

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

function regress(mode: Mode, why: string): number {
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

if (basename(process.argv[1] ?? '') === 'regress.ts')
  new Command('regress')
    .description("Scores the operators' sites and holds each figure against the last one in journal/.")
    .addArgument(new Argument('<mode>', 'which sites, and how').choices(['quick', 'fleet', 'full']))
    .option('--why <text>', 'one sentence for the journal', 'Regression')
    .action((mode: Mode, options: { why: string }) => {
      process.exitCode = regress(mode, options.why);
    })
    .parse();
