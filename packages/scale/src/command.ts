/**
 * The `scale` command: options, presets, the sequence of steps, and the summary at the end.
 *
 * @module
 */
import { existsSync, mkdirSync, writeFileSync } from 'node:fs';
import { cpus, totalmem } from 'node:os';
import { join } from 'node:path';
import { Command } from 'commander';
import { KEPT_RUNS_DIRECTORY } from './capacity-command.js';
import type { RawOptions, ScaleOptions, Step } from './options.js';
import { OptionsError, CAPACITY_PLAN, parseOptions } from './options.js';
import { ProcessError } from './processes.js';
import type { ScaleResult, StepResult } from './results.js';
import { StepRun } from './step-run.js';
import { FAULTS } from './faults.js';

const REQUIRED_PROGRAMS = ['target/main.js', 'target/scale-child.js'];

const EXIT_FAILED = 1;
const EXIT_INVALID_USAGE = 2;

const BYTES_PER_MB = 1e6;
/** No further step is run after one that used these shares of the machine. */
const MAX_CPU_SHARE = 0.85;
const MAX_MEMORY_SHARE = 0.5;
const MAX_PROCESSES = 200;
const SMOKE_PRESET = {
  workers: '20',
  regions: '1',
  zones: '2',
  teams: '5',
  starts: '10',
  running: '60',
  steps: '1',
  seconds: '10',
};
const SHORT_PRESET = {
  workers: '100',
  regions: '1',
  zones: '4',
  teams: '20',
  starts: '40',
  running: '600',
  steps: '1',
  seconds: '30',
};

/** Returns why no further step may follow, or null if one may. */
export function stopReason(result: StepResult, totalMb: number): string | null {
  if (result.machineCpu >= MAX_CPU_SHARE)
    return `${Math.round(result.machineCpu * 100)}% of the machine's cores were used`;
  if (result.memoryMb >= totalMb * MAX_MEMORY_SHARE) return `${result.memoryMb} MB of memory were held`;
  if (result.processes >= MAX_PROCESSES) return `${result.processes} processes ran`;
  return null;
}

function isWholeRegion(step: Step): boolean {
  return step.regions === 1 && step.share === 1;
}

/** Runs the steps one after another, until one uses too much of the machine. */
export async function runScale(
  options: ScaleOptions,
  reportProgress: (line: string) => void,
): Promise<ScaleResult> {
  const steps: StepResult[] = [];
  const memoryMb = totalmem() / BYTES_PER_MB;
  let stopped = 'all steps were played';
  for (const step of options.steps) {
    reportProgress(`step: ${step.regions} region(s), each with ${step.share} of its load`);
    const faults = options.injectFaults && isWholeRegion(step) ? FAULTS : [];
    const result = await new StepRun(options, step, reportProgress).run(faults);
    steps.push(result);
    const reason = stopReason(result, memoryMb);
    if (reason === null) continue;
    stopped = reason;
    break;
  }
  return {
    at: new Date().toISOString(),
    seed: options.seed,
    cores: cpus().length,
    memoryMb: Math.round(memoryMb),
    steps,
    stopped,
  };
}

/** Renders a summary table to be read by people. Programs read the JSON in the last line of the output. */
export function summaryTable(result: ScaleResult): string {
  const rows = result.steps.map((step) => ({
    regions: step.regions,
    share: step.share,
    workers: step.workers,
    'starts/s': step.startsPerS,
    running: step.running,
    'leader cores': step.roles.leader.cpu,
    'node cores': step.roles.node.cpu,
    'leader MB': Math.round(step.roles.leader.residentMb),
    'changes/s': step.state.changesPerS,
    'urgent p99 ms': step.urgentMs.p99,
    'accepted p99 ms': step.acceptedMs.p99,
    'killed by leases': step.killedByLease,
    'rules broken': step.brokenRules.length,
  }));
  const names = Object.keys(rows[0] ?? {}) as (keyof (typeof rows)[number])[];
  const lines = names.map((name) =>
    [name.padEnd(18), ...rows.map((row) => String(row[name]).padStart(9))].join(' '),
  );
  return [...lines, `ended: ${result.stopped}`].join('\n');
}

function writeKeptRun(result: ScaleResult, name: string): void {
  mkdirSync(KEPT_RUNS_DIRECTORY, { recursive: true });
  writeFileSync(join(KEPT_RUNS_DIRECTORY, `${name}.json`), `${JSON.stringify(result, null, 1)}\n`);
}

function fail(message: string, exitCode: number): void {
  process.stderr.write(`${message}\n`);
  process.exitCode = exitCode;
}

async function runCommand(flags: RawOptions): Promise<void> {
  const preset = flags['smoke'] === true ? SMOKE_PRESET : flags['short'] === true ? SHORT_PRESET : {};
  const missing = REQUIRED_PROGRAMS.filter((program) => !existsSync(program));
  if (missing.length > 0) {
    fail(`scale: missing ${missing.join(', ')}; run "npm run build" first`, EXIT_FAILED);
    return;
  }
  const isPreset = Object.keys(preset).length > 0;
  let options: ScaleOptions;
  try {
    options = parseOptions({ ...flags, ...preset, ...(isPreset ? { troubles: false } : {}) });
  } catch (error) {
    if (!(error instanceof OptionsError)) throw error;
    fail(error.message, EXIT_INVALID_USAGE);
    return;
  }
  const reportProgress = (line: string): void => {
    process.stderr.write(`${line}\n`);
  };
  try {
    const result = await runScale(options, reportProgress);
    if (typeof flags['keep'] === 'string') writeKeptRun(result, flags['keep']);
    reportProgress(summaryTable(result));
    process.stdout.write(`${JSON.stringify(result)}\n`);
    if (result.steps.some((step) => step.brokenRules.length > 0)) process.exitCode = EXIT_FAILED;
  } catch (error) {
    if (!(error instanceof ProcessError)) throw error;
    fail(error.message, EXIT_FAILED);
  }
}

/** Builds the `scale` command, which runs a load test of the built program on loopback with simulated workers. */
export function scaleCommand(): Command {
  return new Command('scale')
    .description('runs a load test of the built program on loopback, with simulated workers')
    .option('--workers <n>', 'number of workers of all regions', String(CAPACITY_PLAN.workers))
    .option('--regions <n>', 'number of regions', String(CAPACITY_PLAN.regions))
    .option('--zones <n>', 'number of zones of all regions', String(CAPACITY_PLAN.zones))
    .option('--teams <n>', 'number of teams', String(CAPACITY_PLAN.teams))
    .option('--starts <n>', 'task starts per second of all regions', String(CAPACITY_PLAN.starts))
    .option('--running <n>', 'number of running tasks of all regions', String(CAPACITY_PLAN.running))
    .option('--nodes <n>', 'number of controller nodes per region', '3')
    .option('--seconds <n>', 'duration of the measurement of each step, in seconds', '60')
    .option('--seed <n>', 'seed of the generated load', '1')
    .option(
      '--steps <list>',
      "comma-separated steps: a share of one region's load (1/16) or a number of whole regions",
      '1/16,1/8,1/4,1/2,1,2,4',
    )
    .option(
      '--deploy <file>',
      'deployment file whose start command runs the controllers',
      'deploy/service.toml',
    )
    .option(
      '--changes <n>',
      'configuration changes per hour in the first region (needs deploy/live-configuration.toml)',
      '0',
    )
    .option(
      '--end-leader-every <n>',
      'interval at which the leaders are killed and restarted, in seconds; 0 for never',
      '0',
    )
    .option('--first-region <n>', 'number of the first region; simultaneous runs need different ones', '0')
    .option('--ended-jobs <n>', 'number of records of ended jobs that each region starts with', '0')
    .option('--no-troubles', 'inject no faults into the step that runs one whole region')
    .option('--keep <name>', `keep the result under ${KEPT_RUNS_DIRECTORY}`)
    .option('--smoke', 'preset: 20 workers for 10 seconds')
    .option('--short', 'preset: 100 workers for 30 seconds')
    .configureOutput({ outputError: (text, write) => write(text) })
    .exitOverride((error) => {
      process.exit(error.exitCode === 0 ? 0 : EXIT_INVALID_USAGE);
    })
    .action(runCommand);
}
