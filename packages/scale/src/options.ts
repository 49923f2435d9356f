import { existsSync } from 'node:fs';
import { DEDICATED_WORKERS } from './region.js';

/** What a scale run is asked to play; all counts are of the whole deployment. */
export interface ScaleOptions {
  readonly workers: number;
  readonly regions: number;
  /** Zones of all regions together. */
  readonly zones: number;
  readonly teams: number;
  /** Task starts a second at the peak. */
  readonly starts: number;
  /** Tasks that run at the peak. */
  readonly running: number;
  /** Controller nodes of each region. */
  readonly nodes: number;
  /** How long each step is measured after it has warmed up, in seconds. */
  readonly seconds: number;
  readonly seed: number;
  readonly steps: readonly Step[];
  /** Whether troubles are played at the whole part of one region. */
  readonly troubles: boolean;
  /** Whose start line the controllers are started by. */
  readonly deployFile: string;
  /** Changes of configuration an hour in each region; 0: none. */
  readonly changes: number;
  /** The leader of each region is ended this often, in seconds, and back at once; 0: never. */
  readonly endLeaderEvery: number;
  /** Number of the first region: runs at once on one machine need addresses of their own. */
  readonly firstRegion: number;
  /** Records of jobs that ended before, in each region. */
  readonly endedJobs: number;
}

/** How much of the deployment one step plays: so many regions, each with this share of its part. */
export interface Step {
  readonly regions: number;
  readonly share: number;
}

/** The operators' plan for two years. */
export const CAPACITY_PLAN = {
  workers: 2700,
  regions: 4,
  zones: 16,
  teams: 350,
  starts: 820,
  running: 41_000,
  jobsADay: 26_000,
} as const;

/** Wrong flags: all mistakes at once, a line each. */
export class OptionsError extends Error {
  constructor(readonly mistakes: readonly string[]) {
    super(mistakes.join('\n'));
  }
}

export type RawOptions = Readonly<Record<string, string | boolean | undefined>>;

const MOST_PROCESSES = 200;
const MOST_SECONDS = 3600;
/** State service, cloud and users of a region. */
const STAND_INS = 3;

type CountField = Exclude<keyof ScaleOptions, 'steps' | 'troubles' | 'deployFile'>;

interface CountRule {
  readonly field: CountField;
  readonly least: number;
  readonly most: number;
}

const COUNTS: readonly CountRule[] = [
  { field: 'workers', least: 1, most: 20_000 },
  { field: 'regions', least: 1, most: 16 },
  { field: 'zones', least: 1, most: 64 },
  { field: 'teams', least: 1, most: 5000 },
  { field: 'starts', least: 1, most: 10_000 },
  { field: 'running', least: 1, most: 1_000_000 },
  { field: 'nodes', least: 1, most: 9 },
  { field: 'seconds', least: 1, most: MOST_SECONDS },
  { field: 'seed', least: 0, most: 2 ** 31 },
  { field: 'changes', least: 0, most: 36_000 },
  { field: 'endLeaderEvery', least: 0, most: MOST_SECONDS },
  { field: 'firstRegion', least: 0, most: 60 },
  { field: 'endedJobs', least: 0, most: 5_000_000 },
];

/** Reads `1/16` as a share of one region's part, and a whole number as so many regions' whole parts. */
function parseStep(text: string): Step | null {
  const fraction = /^1\/(\d{1,4})$/.exec(text);
  if (fraction !== null) {
    const divisor = Number(fraction[1]);
    return divisor >= 1 ? { regions: 1, share: 1 / divisor } : null;
  }
  return /^[1-9]\d?$/.test(text) ? { regions: Number(text), share: 1 } : null;
}

/** A flag's name on the command line. */
function flagOf(field: string): string {
  return field.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

/** Checks all flags; throws an `OptionsError` that names every wrong one. */
export function parseOptions(raw: RawOptions): ScaleOptions {
  const mistakes: string[] = [];
  const counts = {} as Record<CountField, number>;
  for (const { field, least, most } of COUNTS) {
    const text = String(raw[field]);
    const value = /^\d{1,10}$/.test(text) ? Number(text) : NaN;
    if (!(value >= least && value <= most))
      mistakes.push(`--${flagOf(field)}: a whole number from ${least} to ${most}, not '${text}'`);
    counts[field] = value;
  }
  const steps = String(raw['steps'])
    .split(',')
    .flatMap((text) => {
      const step = parseStep(text.trim());
      if (step === null) mistakes.push(`--steps: '${text}' is neither 1/N nor a number of regions`);
      return step === null ? [] : [step];
    });
  if (steps.some((s) => s.regions > counts.regions))
    mistakes.push(`--steps: more regions than --regions ${counts.regions}`);
  if (counts.zones < counts.regions) mistakes.push('--zones: fewer than --regions');
  if (counts.workers < counts.zones) mistakes.push('--workers: fewer than --zones');
  if (counts.running < counts.starts)
    mistakes.push('--running: less than --starts, tasks would run under a second');
  const deployFile = String(raw['deploy']);
  if (!existsSync(deployFile)) mistakes.push(`--deploy: there is no file '${deployFile}'`);
  const hosts = Math.ceil(counts.zones / counts.regions) + DEDICATED_WORKERS.length;
  const perRegion = counts.nodes + STAND_INS + hosts;
  if (perRegion * Math.max(0, ...steps.map((s) => s.regions)) > MOST_PROCESSES)
    mistakes.push(`--nodes: more than ${MOST_PROCESSES} processes in all`);
  if (mistakes.length > 0) throw new OptionsError(mistakes);
  return { ...counts, steps, troubles: raw['troubles'] !== false, deployFile };
}
