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

const MB = 1e6;
/** Steps are not raised beyond these shares of the machine. */
const MOST_CPU = 0.85;
const MOST_MEMORY = 0.5;
const MOST_PROCESSES = 200;
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

/** Why the next step is not played, or null. */
export function whyStop(result: StepResult, totalMb: number): string | null {
  if (result.machineCpu >= MOST_CPU)
    return `${Math.round(result.machineCpu * 100)}% of the machine's cores were used`;
  if (result.memoryMb >= totalMb * MOST_MEMORY) return `${result.memoryMb} MB of memory were held`;
  if (result.processes >= MOST_PROCESSES) return `${result.processes} processes ran`;
  return null;
}

function isWholePart(step: Step): boolean {
  return step.regions === 1 && step.share === 1;
}

/** Plays the steps one after another, until the machine allows no more. */
export async function runScale(o: ScaleOptions, say: (line: string) => void): Promise<ScaleResult> {
  const steps: StepResult[] = [];
  const memoryMb = totalmem() / MB;
  let stopped = 'all steps were played';
  for (const step of o.steps) {
    say(`step: ${step.regions} region(s), ${step.share} of its part`);
    const troubles = o.troubles && isWholePart(step) ? FAULTS : [];
    const result = await new StepRun(o, step, say).run(troubles);
    steps.push(result);
    const why = whyStop(result, memoryMb);
    if (why === null) continue;
    stopped = why;
    break;
  }
  return {
    at: new Date().toISOString(),
    seed: o.seed,
    cores: cpus().length,
    memoryMb: Math.round(memoryMb),
    steps,
    stopped,
  };
}

/** A closing table for people; the JSON of the last line is for programs. */
export function closingTable(result: ScaleResult): string {
  const rows = result.steps.map((s) => ({
    regions: s.regions,
    share: s.share,
    workers: s.workers,
    'starts/s': s.startsPerS,
    running: s.running,
    'leader cores': s.roles.leader.cpu,
    'node cores': s.roles.node.cpu,
    'leader MB': Math.round(s.roles.leader.residentMb),
    'changes/s': s.state.changesPerS,
    'urgent p99 ms': s.urgentMs.p99,
    'accepted p99 ms': s.acceptedMs.p99,
    'killed by leases': s.killedByLease,
    'rules broken': s.brokenRules.length,
  }));
  const names = Object.keys(rows[0] ?? {}) as (keyof (typeof rows)[number])[];
  const lines = names.map((name) =>
    [name.padEnd(18), ...rows.map((r) => String(r[name]).padStart(9))].join(' '),
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

async function act(flags: RawOptions): Promise<void> {
  const preset = flags['smoke'] === true ? SMOKE : flags['short'] === true ? SHORT : {};
  const missing = PROGRAMS.filter((p) => !existsSync(p));
  if (missing.length > 0) {
    fail(`scale: ${missing.join(', ')} missing: npm run build`, 1);
    return;
  }
  const isPreset = Object.keys(preset).length > 0;
  let options: ScaleOptions;
  try {
    options = parseOptions({ ...flags, ...preset, ...(isPreset ? { troubles: false } : {}) });
  } catch (e) {
    if (!(e instanceof OptionsError)) throw e;
    fail(e.message, 2);
    return;
  }
  const say = (line: string): void => {
    process.stderr.write(`${line}\n`);
  };
  try {
    const result = await runScale(options, say);
    if (typeof flags['keep'] === 'string') keep(result, flags['keep']);
    say(closingTable(result));
    process.stdout.write(`${JSON.stringify(result)}\n`);
    if (result.steps.some((s) => s.brokenRules.length > 0)) process.exitCode = 1;
  } catch (e) {
    if (!(e instanceof ProcessError)) throw e;
    fail(e.message, 1);
  }
}

/** `scale`: the program as it is shipped under load, with simulated workers, on loopback. */
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
    .exitOverride((e) => {
      process.exit(e.exitCode === 0 ? 0 : 2);
    })
    .action(act);
}
