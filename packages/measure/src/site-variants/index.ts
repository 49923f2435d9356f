/**
 * Plays variants of sites by the bench, several days at once.
 *
 * @module
 */
import { spawn } from 'node:child_process';
import {
  copyFileSync,
  existsSync,
  mkdtempSync,
  readFileSync,
  readdirSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { availableParallelism, tmpdir } from 'node:os';
import { basename, dirname, join } from 'node:path';
import type { DayResult, Limits } from './report.js';
import { printDay, printEnd, readDay } from './report.js';
import { DayNotPlayedError, SiteError } from '../errors.js';
import type { SiteVariation } from './variant.js';
import {
  dayNames,
  machinesOf,
  additionalDays,
  readSite,
  applyVariation,
  addDays,
  writeSite,
} from './variant.js';

/** Folder of additional days, in the format of the bench. */
const DAYS = 'days/bench';
/** A file beside the site file that the bench reads too. */
const WIRE = 'wire.json';
/** Characters of the log that an error shows. */
const LOG_TAIL = 2000;

/** What is played, and how. */
export interface SiteVariantOptions extends SiteVariation {
  readonly bench: string;
  readonly sites: readonly string[];
  /** Names of days, of the site or additional; empty: all of them. */
  readonly days: readonly string[];
  readonly times: number;
  readonly jobs: number | null;
  readonly why: string;
  readonly printLine: (line: string) => void;
}

/** One day of one site. */
interface Play {
  readonly site: string;
  readonly file: string;
  readonly day: string;
  readonly limits: Limits;
}

/** Writes the variant of a site into the folder; the days to be played on it. */
function prepare(folder: string, path: string, options: SiteVariantOptions): Play[] {
  const site = basename(path, '.toml');
  const varied = applyVariation(readSite(readFileSync(path, 'utf8')), options);
  const texts = readdirSync(DAYS)
    .filter((dayFile) => dayFile.endsWith('.toml'))
    .sort()
    .map((dayFile) => readFileSync(join(DAYS, dayFile), 'utf8'));
  const whole = addDays(
    varied,
    texts.flatMap((text) => additionalDays(text, varied)),
  );
  const file = join(folder, `${site}-own.toml`);
  writeFileSync(file, writeSite(whole));
  const wire = join(dirname(path), WIRE);
  if (existsSync(wire)) copyFileSync(wire, join(folder, WIRE));
  const nodes = whole['nodes'] as Record<string, unknown>;
  const limits = { sockets: Number(nodes['max_connections']), memoryMb: Number(nodes['memory_mb']) };
  options.printLine(
    `${site}: ${machinesOf(varied)} machines, ${Number(nodes['count'])} nodes, back after ${options.restartS} s`,
  );
  const names = dayNames(whole).filter((day) => options.days.length === 0 || options.days.includes(day));
  return names.flatMap((day) => Array.from({ length: options.times }, () => ({ site, file, day, limits })));
}

function play(run: Play, folder: string, index: number, options: SiteVariantOptions): Promise<DayResult> {
  const report = join(folder, `${index}.json`);
  const args = ['run', run.file, run.day, '--log', 'info', '--report', report, '--why', options.why];
  return new Promise((resolve, reject) => {
    const child = spawn(options.bench, args, { stdio: ['ignore', 'pipe', 'pipe'] });
    const chunks: Buffer[] = [];
    child.stdout.on('data', (chunk: Buffer) => chunks.push(chunk));
    child.stderr.on('data', (chunk: Buffer) => chunks.push(chunk));
    child.once('error', reject);
    child.once('close', () => {
      const log = Buffer.concat(chunks).toString('utf8');
      if (existsSync(report))
        resolve(readDay(run.site, run.day, run.limits, readFileSync(report, 'utf8'), log));
      else reject(new DayNotPlayedError(run.site, run.day, log.slice(-LOG_TAIL)));
    });
  });
}

/**
 * Plays variants of sites, several days at once; whether no day failed.
 *
 * @throws SiteError if a site cannot be varied or no site has a day of a given name
 * @throws DayNotPlayedError if the bench leaves no report
 */
export async function playSiteVariants(options: SiteVariantOptions): Promise<boolean> {
  const folder = mkdtempSync(join(tmpdir(), 'own-'));
  try {
    const plays = options.sites.flatMap((path) => prepare(folder, path, options));
    // Without this check a wrong name would play nothing, and nothing would have failed.
    const unknown = options.days.filter((name) => !plays.some((run) => run.day === name));
    if (unknown.length > 0) throw new SiteError(`--days: no site has a day called ${unknown.join(', ')}`);
    const results: DayResult[] = [];
    let next = 0;
    const playNext = async (): Promise<void> => {
      while (next < plays.length) {
        const index = next;
        next += 1;
        const run = plays[index];
        if (run === undefined) return;
        const result = await play(run, folder, index, options);
        results.push(result);
        options.printLine(printDay(result));
      }
    };
    const concurrency = Math.min(plays.length, options.jobs ?? Math.max(1, availableParallelism() - 1));
    await Promise.all(Array.from({ length: concurrency }, playNext));
    options.printLine(printEnd(results));
    return results.length > 0 && results.every((result) => !result.failed);
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}
