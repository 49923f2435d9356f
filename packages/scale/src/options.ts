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
  /** Task starts per second at the peak. */
  readonly starts: number;
  /** Number of running tasks at the peak. */
  readonly running: number;
  /** Controller nodes of each region. */
  readonly nodes: number;
  /** How long each step is measured after its warm-up, in seconds. */
  readonly seconds: number;
  readonly seed: number;
  readonly steps: readonly Step[];
  /** Whether faults are injected into the step that runs one whole region. */
  readonly injectFaults: boolean;
  /** Deployment file whose start command the controllers are run with. */
  readonly deployFile: string;
  /** Configuration changes per hour in the first region; 0 for none. */
  readonly changes: number;
  /** Interval at which the leader of each region is killed and restarted, in seconds; 0 for never. */
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

/** Invalid options; the message names every invalid one, one per line. */
export class OptionsError extends SpurbridgeError {
  constructor(readonly mistakes: readonly string[]) {
    super('INVALID_SCALE_OPTIONS', mistakes.join('\n'));
  }
}

/** Flags as the command line gives them. */
export type RawOptions = Readonly<Record<string, string | boolean | undefined>>;

const MAX_PROCESSES = 200;
const MAX_SECONDS = 3600;
/** The key-value store, the cloud provider and the users, with one process each. */
const FIXED_HELPERS_PER_REGION = 3;

type CountField = Exclude<keyof ScaleOptions, 'steps' | 'injectFaults' | 'deployFile'>;

interface CountRule {
  readonly field: CountField;
  readonly min: number;
  readonly max: number;
}

const COUNT_RULES: readonly CountRule[] = [
  { field: 'workers', min: 1, max: 20_000 },
  { field: 'regions', min: 1, max: 16 },
  { field: 'zones', min: 1, max: 64 },
  { field: 'teams', min: 1, max: 5000 },
  { field: 'starts', min: 1, max: 10_000 },
  { field: 'running', min: 1, max: 1_000_000 },
  { field: 'nodes', min: 1, max: 9 },
  { field: 'seconds', min: 1, max: MAX_SECONDS },
  { field: 'seed', min: 0, max: 2 ** 31 },
  { field: 'changes', min: 0, max: 36_000 },
  { field: 'endLeaderEvery', min: 0, max: MAX_SECONDS },
  { field: 'firstRegion', min: 0, max: 60 },
  { field: 'endedJobs', min: 0, max: 5_000_000 },
];

/** Parses `1/16` as a share of one region's load, and a whole number as a number of whole regions; null if neither. */
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

/** Parses all counts. Adds a message for each invalid one, whose value is then NaN or out of range. */
function parseCounts(raw: RawOptions, mistakes: string[]): Record<CountField, number> {
  const counts = {} as Record<CountField, number>;
  for (const { field, min, max } of COUNT_RULES) {
    const text = String(raw[field]);
    const value = /^\d{1,10}$/.test(text) ? Number(text) : NaN;
    if (!(value >= min && value <= max))
      mistakes.push(`--${flagOf(field)}: expected a whole number from ${min} to ${max}, got '${text}'`);
    counts[field] = value;
  }
  return counts;
}

function parseSteps(list: string, mistakes: string[]): Step[] {
  return list.split(',').flatMap((text) => {
    const step = parseStep(text.trim());
    if (step === null) mistakes.push(`--steps: expected 1/N or a number of regions, got '${text}'`);
    return step === null ? [] : [step];
  });
}

/** Number of processes of the step with the most regions. */
function maxProcesses(counts: Record<CountField, number>, steps: readonly Step[]): number {
  const hosts = Math.ceil(counts.zones / counts.regions) + DEDICATED_WORKERS.length;
  const perRegion = counts.nodes + FIXED_HELPERS_PER_REGION + hosts;
  return perRegion * Math.max(0, ...steps.map((step) => step.regions));
}

/** Validates all flags. Throws an `OptionsError` that names every invalid one. */
export function parseOptions(raw: RawOptions): ScaleOptions {
  const mistakes: string[] = [];
  const counts = parseCounts(raw, mistakes);
  const steps = parseSteps(String(raw['steps']), mistakes);
  if (steps.some((step) => step.regions > counts.regions))
    mistakes.push(`--steps: a step has more regions than --regions ${counts.regions}`);
  if (counts.zones < counts.regions) mistakes.push('--zones: expected at least one zone per region');
  if (counts.workers < counts.zones) mistakes.push('--workers: expected at least one worker per zone');
  if (counts.running < counts.starts)
    mistakes.push('--running: expected at least --starts, or tasks would run for less than a second');
  const deployFile = String(raw['deploy']);
  if (!existsSync(deployFile)) mistakes.push(`--deploy: file '${deployFile}' does not exist`);
  if (maxProcesses(counts, steps) > MAX_PROCESSES)
    mistakes.push(`--nodes: the largest step would run more than ${MAX_PROCESSES} processes`);
  if (mistakes.length > 0) throw new OptionsError(mistakes);
  return { ...counts, steps, injectFaults: raw['troubles'] !== false, deployFile };
}
