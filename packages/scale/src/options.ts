/**
 * Options of the `scale` command and their validation.
 *
 * @module
 */
import { existsSync } from 'node:fs';
import { SpurbridgeError } from '@spurbridge/wire';
import { DEDICATED_WORKERS } from './region.js';

/** Options of a run; all counts are those of the whole deployment. */
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
  /** How long each step is measured after its warm-up, in seconds. */
  readonly seconds: number;
  readonly seed: number;
  readonly steps: readonly Step[];
  /** Whether faults are injected into the step that runs one region's whole part. */
  readonly injectFaults: boolean;
  /** Deployment file whose start command the controllers are run with. */
  readonly deployFile: string;
  /** Configuration changes per hour in each region; 0 for none. */
  readonly changes: number;
  /** Interval at which the leader of each region is restarted, in seconds; 0 for never. */
  readonly endLeaderEvery: number;
  /** Number of the first region. Simultaneous runs on one machine need different numbers, as addresses depend on it. */
  readonly firstRegion: number;
  /** Records of ended jobs that each region starts with. */
  readonly endedJobs: number;
}

/** How much of the deployment one step runs: a number of regions, each with this share of its load. */
export interface Step {
  readonly regions: number;
  readonly share: number;
}

/** The load that operators plan for two years ahead. */
export const CAPACITY_PLAN = {
  workers: 2700,
  regions: 4,
  zones: 16,
  teams: 350,
  starts: 820,
  running: 41_000,
  jobsADay: 26_000,
} as const;

/** Invalid options; the message names every mistake, one per line. */
export class OptionsError extends SpurbridgeError {
  constructor(readonly mistakes: readonly string[]) {
    super('INVALID_SCALE_OPTIONS', mistakes.join('\n'));
  }
}

/** Flags as the command line gives them. */
export type RawOptions = Readonly<Record<string, string | boolean | undefined>>;

const MAX_PROCESSES = 200;
const MAX_SECONDS = 3600;
/** Key-value store, cloud and users of a region. */
const OTHER_HELPERS = 3;

type CountField = Exclude<keyof ScaleOptions, 'steps' | 'injectFaults' | 'deployFile'>;

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
  { field: 'seconds', least: 1, most: MAX_SECONDS },
  { field: 'seed', least: 0, most: 2 ** 31 },
  { field: 'changes', least: 0, most: 36_000 },
  { field: 'endLeaderEvery', least: 0, most: MAX_SECONDS },
  { field: 'firstRegion', least: 0, most: 60 },
  { field: 'endedJobs', least: 0, most: 5_000_000 },
];

/** Reads `1/16` as a share of one region's load, and a whole number as a number of whole regions; null if neither. */
function parseStep(text: string): Step | null {
  const fraction = /^1\/(\d{1,4})$/.exec(text);
  if (fraction !== null) {
    const divisor = Number(fraction[1]);
    return divisor >= 1 ? { regions: 1, share: 1 / divisor } : null;
  }
  return /^[1-9]\d?$/.test(text) ? { regions: Number(text), share: 1 } : null;
}

/** Name of an option's flag on the command line. */
function flagOf(field: string): string {
  return field.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

/** Reads all counts; adds to the mistakes, and gives NaN or the wrong number, where one is invalid. */
function parseCounts(raw: RawOptions, mistakes: string[]): Record<CountField, number> {
  const counts = {} as Record<CountField, number>;
  for (const { field, least, most } of COUNTS) {
    const text = String(raw[field]);
    const value = /^\d{1,10}$/.test(text) ? Number(text) : NaN;
    if (!(value >= least && value <= most))
      mistakes.push(`--${flagOf(field)}: a whole number from ${least} to ${most}, not '${text}'`);
    counts[field] = value;
  }
  return counts;
}

function parseSteps(list: string, mistakes: string[]): Step[] {
  return list.split(',').flatMap((text) => {
    const step = parseStep(text.trim());
    if (step === null) mistakes.push(`--steps: '${text}' is neither 1/N nor a number of regions`);
    return step === null ? [] : [step];
  });
}

/** Processes of the step with the most regions. */
function maxProcesses(counts: Record<CountField, number>, steps: readonly Step[]): number {
  const hosts = Math.ceil(counts.zones / counts.regions) + DEDICATED_WORKERS.length;
  const perRegion = counts.nodes + OTHER_HELPERS + hosts;
  return perRegion * Math.max(0, ...steps.map((step) => step.regions));
}

/** Validates all flags. Throws an `OptionsError` that names every invalid one. */
export function parseOptions(raw: RawOptions): ScaleOptions {
  const mistakes: string[] = [];
  const counts = parseCounts(raw, mistakes);
  const steps = parseSteps(String(raw['steps']), mistakes);
  if (steps.some((step) => step.regions > counts.regions))
    mistakes.push(`--steps: more regions than --regions ${counts.regions}`);
  if (counts.zones < counts.regions) mistakes.push('--zones: fewer than --regions');
  if (counts.workers < counts.zones) mistakes.push('--workers: fewer than --zones');
  if (counts.running < counts.starts)
    mistakes.push('--running: less than --starts, tasks would run under a second');
  const deployFile = String(raw['deploy']);
  if (!existsSync(deployFile)) mistakes.push(`--deploy: there is no file '${deployFile}'`);
  if (maxProcesses(counts, steps) > MAX_PROCESSES)
    mistakes.push(`--nodes: more than ${MAX_PROCESSES} processes in all`);
  if (mistakes.length > 0) throw new OptionsError(mistakes);
  return { ...counts, steps, injectFaults: raw['troubles'] !== false, deployFile };
}
