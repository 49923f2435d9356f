/**
 * Runs variants of sites with the bench, several days at a time.
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
import { formatDay, formatSummary, readDay } from './report.js';
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
const ADDITIONAL_DAYS_DIRECTORY = 'days/bench';
/** Name of a file that the bench also reads, in the directory of the site file. */
const WIRE_FILE = 'wire.json';
/** Number of characters at the end of the log that an error includes. */
const LOG_TAIL_LENGTH = 2000;

/** The sites and days to run, and how to vary them. */
export interface SiteVariantOptions extends SiteVariation {
  readonly bench: string;
  readonly sites: readonly string[];
  /** Names of the days to run, of the site or additional; empty for all days. */
  readonly days: readonly string[];
  readonly times: number;
  readonly jobs: number | null;
  readonly why: string;
  readonly printLine: (line: string) => void;
}

/** One run of one day of a site. */
interface DayRun {
  readonly site: string;
  readonly file: string;
  readonly day: string;
  readonly limits: Limits;
}

/** Writes the variant of a site into the folder. Returns the days to run on it. */
function prepareRuns(folder: string, path: string, options: SiteVariantOptions): DayRun[] {
  const site = basename(path, '.toml');
  const varied = applyVariation(readSite(readFileSync(path, 'utf8')), options);
  const texts = readdirSync(ADDITIONAL_DAYS_DIRECTORY)
    .filter((dayFile) => dayFile.endsWith('.toml'))
    .sort()
    .map((dayFile) => readFileSync(join(ADDITIONAL_DAYS_DIRECTORY, dayFile), 'utf8'));
  const completeSite = addDays(
    varied,
    texts.flatMap((text) => additionalDays(text, varied)),
  );
  const file = join(folder, `${site}-own.toml`);
  writeFileSync(file, writeSite(completeSite));
  const wire = join(dirname(path), WIRE_FILE);
  if (existsSync(wire)) copyFileSync(wire, join(folder, WIRE_FILE));
  const nodes = completeSite['nodes'] as Record<string, unknown>;
  const limits = { sockets: Number(nodes['max_connections']), memoryMb: Number(nodes['memory_mb']) };
  options.printLine(
    `${site}: ${machinesOf(varied)} machines, ${Number(nodes['count'])} nodes, restart after ${options.restartS} s`,
  );
  const names = dayNames(completeSite).filter(
    (day) => options.days.length === 0 || options.days.includes(day),
  );
  return names.flatMap((day) => Array.from({ length: options.times }, () => ({ site, file, day, limits })));
}

function runDay(run: DayRun, folder: string, index: number, options: SiteVariantOptions): Promise<DayResult> {
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
      else reject(new DayNotPlayedError(run.site, run.day, log.slice(-LOG_TAIL_LENGTH)));
    });
  });
}

/**
 * Runs variants of sites, several days at a time. Returns whether no day failed.
 *
 * @throws SiteError if a site cannot be varied or no site has a day of a given name
 * @throws DayNotPlayedError if the bench leaves no report
 */
export async function runSiteVariants(options: SiteVariantOptions): Promise<boolean> {
  const folder = mkdtempSync(join(tmpdir(), 'own-'));
  try {
    const runs = options.sites.flatMap((path) => prepareRuns(folder, path, options));
    // Without this check, an unknown name would run no day, and no day would fail.
    const unknown = options.days.filter((name) => !runs.some((run) => run.day === name));
    if (unknown.length > 0) throw new SiteError(`--days: no site has a day named ${unknown.join(', ')}`);
    const results: DayResult[] = [];
    let next = 0;
    const runNext = async (): Promise<void> => {
      while (next < runs.length) {
        const index = next;
        next += 1;
        const run = runs[index];
        if (run === undefined) return;
        const result = await runDay(run, folder, index, options);
        results.push(result);
        options.printLine(formatDay(result));
      }
    };
    const concurrency = Math.min(runs.length, options.jobs ?? Math.max(1, availableParallelism() - 1));
    await Promise.all(Array.from({ length: concurrency }, runNext));
    options.printLine(formatSummary(results));
    return results.length > 0 && results.every((result) => !result.failed);
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}
