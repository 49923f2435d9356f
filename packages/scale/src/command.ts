/**
 * The `scale` command: options, presets, the sequence of steps, and the summary at the end.
 *
 * @module
 */
import { existsSync, mkdirSync, writeFileSync } from 'node:fs';
import { cpus, totalmem } from 'node:os';
import { join } from 'node:path';
import { Command } from 'commander';
import { KEPT_RUNS } from './capacity-command.js';
import type { RawOptions, ScaleOptions, Step } from './options.js';
import { OptionsError, CAPACITY_PLAN, parseOptions } from './options.js';
import { ProcessError } from './processes.js';
import type { ScaleResult, StepResult } from './results.js';
import { StepRun } from './step-run.js';
import { FAULTS } from './faults.js';

const PROGRAMS = ['target/main.js', 'target/scale-child.js'];

const EXIT_FAILED = 1;
const EXIT_WRONG_USAGE = 2;

const MB = 1e6;
/** No larger step is run once a step has used these shares of the machine. */
const MAX_CPU_SHARE = 0.85;
const MAX_MEMORY_SHARE = 0.5;
const MAX_PROCESSES = 200;
const SMOKE = {
  workers: '20',
  regions: '1',
  zones: '2',
  teams: '5',
  starts: '10',
  running: '60',
  steps: '1',
  seconds: '10',
};
const SHORT = {
  workers: '100',
  regions: '1',
  zones: '4',
  teams: '20',
  starts: '40',
  running: '600',
  steps: '1',
  seconds: '30',
};

/** Why no larger step may follow, or null if one may. */
export function stopReason(result: StepResult, totalMb: number): string | null {
  if (result.machineCpu >= MAX_CPU_SHARE)
    return `${Math.round(result.machineCpu * 100)}% of the machine's cores were used`;
  if (result.memoryMb >= totalMb * MAX_MEMORY_SHARE) return `${result.memoryMb} MB of memory were held`;
  if (result.processes >= MAX_PROCESSES) return `${result.processes} processes ran`;
  return null;
}

function isWholePart(step: Step): boolean {
  return step.regions === 1 && step.share === 1;
}

/** Runs the steps one after another, until the machine allows no more. */
export async function runScale(options: ScaleOptions, say: (line: string) => void): Promise<ScaleResult> {
  const steps: StepResult[] = [];
  const memoryMb = totalmem() / MB;
  let stopped = 'all steps were played';
  for (const step of options.steps) {
    say(`step: ${step.regions} region(s), ${step.share} of its part`);
    const faults = options.injectFaults && isWholePart(step) ? FAULTS : [];
    const result = await new StepRun(options, step, say).run(faults);
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

/** The summary table for readers; programs read the JSON of the last line of output. */
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

function keep(result: ScaleResult, name: string): void {
  mkdirSync(KEPT_RUNS, { recursive: true });
  writeFileSync(join(KEPT_RUNS, `${name}.json`), `${JSON.stringify(result, null, 1)}\n`);
}

function fail(message: string, exitCode: number): void {
  process.stderr.write(`${message}\n`);
  process.exitCode = exitCode;
}

async function runCommand(flags: RawOptions): Promise<void> {
  const preset = flags['smoke'] === true ? SMOKE : flags['short'] === true ? SHORT : {};
  const missing = PROGRAMS.filter((program) => !existsSync(program));
  if (missing.length > 0) {
    fail(`scale: ${missing.join(', ')} missing: npm run build`, EXIT_FAILED);
    return;
  }
  const isPreset = Object.keys(preset).length > 0;
  let options: ScaleOptions;
  try {
    options = parseOptions({ ...flags, ...preset, ...(isPreset ? { troubles: false } : {}) });
  } catch (error) {
    if (!(error instanceof OptionsError)) throw error;
    fail(error.message, EXIT_WRONG_USAGE);
    return;
  }
  const say = (line: string): void => {
    process.stderr.write(`${line}\n`);
  };
  try {
    const result = await runScale(options, say);
    if (typeof flags['keep'] === 'string') keep(result, flags['keep']);
    say(summaryTable(result));
    process.stdout.write(`${JSON.stringify(result)}\n`);
    if (result.steps.some((step) => step.brokenRules.length > 0)) process.exitCode = EXIT_FAILED;
  } catch (error) {
    if (!(error instanceof ProcessError)) throw error;
    fail(error.message, EXIT_FAILED);
  }
}

/** Builds the `scale` command: the shipped program under load on loopback, with simulated workers. */
export function scaleCommand(): Command {
  return new Command('scale')
    .description('the shipped program under load on loopback, with workers that have no real tasks')
    .option('--workers <n>', 'workers of all regions', String(CAPACITY_PLAN.workers))
    .option('--regions <n>', 'regions', String(CAPACITY_PLAN.regions))
    .option('--zones <n>', 'zones of all regions', String(CAPACITY_PLAN.zones))
    .option('--teams <n>', 'teams', String(CAPACITY_PLAN.teams))
    .option('--starts <n>', 'task starts a second, of all regions', String(CAPACITY_PLAN.starts))
    .option('--running <n>', 'tasks that run at once, of all regions', String(CAPACITY_PLAN.running))
    .option('--nodes <n>', 'controller nodes of each region', '3')
    .option('--seconds <n>', 'how long each step is measured', '60')
    .option('--seed <n>', 'what is drawn', '1')
    .option(
      '--steps <list>',
      "shares of one region's part (1/16), then numbers of regions",
      '1/16,1/8,1/4,1/2,1,2,4',
    )
    .option('--deploy <file>', 'whose start line the controllers are started by', 'deploy/service.toml')
    .option(
      '--changes <n>',
      'changes of configuration an hour in each region (deploy/live-configuration.toml)',
      '0',
    )
    .option(
      '--end-leader-every <n>',
      'the leader ends this often, in seconds, and is back at once; 0: never',
      '0',
    )
    .option('--first-region <n>', 'number of the first region: addresses of runs at once differ by it', '0')
    .option('--ended-jobs <n>', 'records of jobs that ended before, in each region', '0')
    .option('--no-troubles', "no troubles at one region's whole part")
    .option('--keep <name>', `keep the result under ${KEPT_RUNS}`)
    .option('--smoke', 'twenty workers for ten seconds')
    .option('--short', 'a hundred workers for half a minute')
    .configureOutput({ outputError: (text, write) => write(text) })
    .exitOverride((error) => {
      process.exit(error.exitCode === 0 ? 0 : EXIT_WRONG_USAGE);
    })
    .action(runCommand);
}
