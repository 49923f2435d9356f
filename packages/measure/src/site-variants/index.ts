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
import type { SiteVariation } from './variant.js';
import {
  SiteError,
  dayNames,
  machinesOf,
  additionalDays,
  readSite,
  applyVariation,
  addDays,
  writeSite,
} from './variant.js';

/** Our own days, in the bench's form. */
const DAYS = 'days/bench';
/** Companion of a site file that its bench reads. */
const WIRE = 'wire.json';

export interface SiteVariantOptions extends SiteVariation {
  readonly bench: string;
  readonly sites: readonly string[];
  /** Names of days, standard or our own; empty: all of them. */
  readonly days: readonly string[];
  readonly times: number;
  readonly jobs: number | null;
  readonly why: string;
  readonly say: (line: string) => void;
}

interface Play {
  readonly site: string;
  readonly file: string;
  readonly day: string;
  readonly limits: Limits;
}

/** Writes the variant of a site into the folder and lists the days to be played on it. */
function prepare(folder: string, path: string, o: SiteVariantOptions): Play[] {
  const site = basename(path, '.toml');
  const varied = applyVariation(readSite(readFileSync(path, 'utf8')), o);
  const texts = readdirSync(DAYS)
    .filter((f) => f.endsWith('.toml'))
    .sort()
    .map((f) => readFileSync(join(DAYS, f), 'utf8'));
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
  o.say(
    `${site}: ${machinesOf(varied)} machines, ${Number(nodes['count'])} nodes, back after ${o.restartS} s`,
  );
  const names = dayNames(whole).filter((d) => o.days.length === 0 || o.days.includes(d));
  return names.flatMap((day) => Array.from({ length: o.times }, () => ({ site, file, day, limits })));
}

function play(p: Play, folder: string, index: number, o: SiteVariantOptions): Promise<DayResult> {
  const report = join(folder, `${index}.json`);
  const args = ['run', p.file, p.day, '--log', 'info', '--report', report, '--why', o.why];
  return new Promise((resolve, reject) => {
    const child = spawn(o.bench, args, { stdio: ['ignore', 'pipe', 'pipe'] });
    const chunks: Buffer[] = [];
    child.stdout.on('data', (c: Buffer) => chunks.push(c));
    child.stderr.on('data', (c: Buffer) => chunks.push(c));
    child.once('error', reject);
    child.once('close', () => {
      const log = Buffer.concat(chunks).toString('utf8');
      if (existsSync(report)) resolve(readDay(p.site, p.day, p.limits, readFileSync(report, 'utf8'), log));
      else reject(new Error(`${p.site} ${p.day} could not be played:\n${log.slice(-2000)}`));
    });
  });
}

/** Plays variants of sites, several days at once; true: no day failed. */
export async function playSiteVariants(o: SiteVariantOptions): Promise<boolean> {
  const folder = mkdtempSync(join(tmpdir(), 'own-'));
  try {
    const plays = o.sites.flatMap((path) => prepare(folder, path, o));
    // A name that no site knows played nothing, and nothing had failed.
    const unknown = o.days.filter((name) => !plays.some((p) => p.day === name));
    if (unknown.length > 0) throw new SiteError(`--days: no site has a day called ${unknown.join(', ')}`);
    const results: DayResult[] = [];
    let next = 0;
    const work = async (): Promise<void> => {
      while (next < plays.length) {
        const index = next;
        next += 1;
        const p = plays[index];
        if (p === undefined) return;
        const result = await play(p, folder, index, o);
        results.push(result);
        o.say(printDay(result));
      }
    };
    const hands = Math.min(plays.length, o.jobs ?? Math.max(1, availableParallelism() - 1));
    await Promise.all(Array.from({ length: hands }, work));
    o.say(printEnd(results));
    return results.length > 0 && results.every((r) => !r.failed);
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}
