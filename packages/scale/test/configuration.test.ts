import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { Processes } from '../src/processes.js';
import { Region } from '../src/region.js';

const TEAMS = 350;
/** No other test uses this region number, from which the addresses of the processes derive. */
const REGION = 51;
const LEADER_TIMEOUT_MS = 30_000;

interface CommandResult {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

const directory = mkdtempSync(join(tmpdir(), 'spurbridge-config-test-'));
const processes = new Processes();
const shape = { region: REGION, zones: ['a'], nodes: 3, workers: 4, teams: TEAMS };
const minimalWorkload = {
  startsPerS: 1,
  running: 5,
  jobsPerS: 1e-9,
  zones: ['a'],
  seed: 1,
  firstJob: 0,
  teams: TEAMS,
};
const ignoreEvents = {
  onEvents: () => undefined,
  onProcessStarted: () => undefined,
  onProcessEnded: () => undefined,
  onUnexpectedExit: () => undefined,
};
const launch = { deployFile: 'deploy/live-configuration.toml', endedJobs: 0 };
const region = new Region(shape, minimalWorkload, processes, ignoreEvents, launch);

function config(...args: string[]): Promise<CommandResult> {
  const nodes = region.nodes.flatMap((n) => ['--node', n.address]);
  return new Promise((resolve) => {
    const child = spawn(process.execPath, ['target/config.js', ...args, ...nodes]);
    let stdout = '';
    let stderr = '';
    child.stdout.on('data', (chunk: Buffer) => (stdout += chunk.toString()));
    child.stderr.on('data', (chunk: Buffer) => (stderr += chunk.toString()));
    child.on('close', (code) => {
      resolve({ code, stdout, stderr });
    });
  });
}

before(async () => {
  await region.start();
  const deadline = Date.now() + LEADER_TIMEOUT_MS;
  while (Date.now() < deadline) {
    const status = await config('status');
    if (status.code === 0 && status.stdout.includes('leads')) return;
  }
  assert.fail('no leader within 30 seconds');
});

after(async () => {
  await processes.endAll();
  region.removeFiles();
  rmSync(directory, { recursive: true, force: true });
});

test('a team change is in force on every node within the time limit and appears in the history', async () => {
  const dryRun = await config('set', 'team-3', '--cpus-max', '7', '--dry-run');
  assert.equal(dryRun.code, 0, dryRun.stderr);
  assert.match(dryRun.stdout, /teams\.team-3\.cpusMax: 20 -> 7\nnothing was changed: version 0 holds/);
  const set = await config('set', 'team-3', '--cpus-max', '7', '--author', 'ann', '--within', '5s');
  assert.equal(set.code, 0, set.stdout + set.stderr);
  assert.match(set.stdout, /version 1 is in force everywhere/);
  const shown = JSON.parse((await config('show')).stdout) as { version: number; teams: { name: string }[] };
  assert.equal(shown.version, 1);
  assert.equal(shown.teams.length, TEAMS);
  assert.match((await config('history')).stdout, /version 1, .*, ann\nteams\.team-3\.cpusMax: 20 -> 7/);
});

test('a file of changes is applied to all teams, or to none if one change is invalid', async () => {
  const file = join(directory, 'all.toml');
  const team = (n: number, cpusMax: number): string =>
    `[[teams]]\nname = "team-${n}"\ncpus_max = ${cpusMax}\n`;
  const all = (cpusMax: number): string => Array.from({ length: TEAMS }, (_, n) => team(n, cpusMax)).join('');
  writeFileSync(file, `${all(6)}[[teams]]\nname = "team-1"\ncpus = 9\n`);
  const refused = await config('apply', file);
  assert.equal(refused.code, 2, refused.stdout);
  assert.match(refused.stderr, /teams\.team-1\.cpus: the guarantee is above the limit/);
  writeFileSync(file, all(6));
  const applied = await config('apply', file);
  assert.equal(applied.code, 0, applied.stderr);
  assert.match(applied.stdout, /version 2 is in force everywhere/);
});

test('the command rejects unknown fields, amounts below 0 and a base version that is not the newest', async () => {
  const file = join(directory, 'wrong.toml');
  writeFileSync(file, '[[teams]]\nname = "team-1"\ncpu = 3\n');
  const unknown = await config('apply', file);
  assert.equal(unknown.code, 2);
  assert.match(unknown.stderr, /teams\[0\]\.cpu: /);
  assert.notEqual((await config('set', 'team-1', '--cpus', '-1')).code, 0);
  const stale = await config('set', 'team-1', '--cpus', '1', '--base', '1');
  assert.equal(stale.code, 4);
  assert.match(stale.stderr, /version 2 is the newest/);
});

test('a suspended node is reported as lagging, and the command exits with 3', async () => {
  const stopped = region.controllers.find((_, n) => n !== region.leader);
  assert.ok(stopped !== undefined);
  stopped.signal('SIGSTOP');
  const others = region.nodes.filter((n) => n.name !== stopped.name).flatMap((n) => ['--node', n.address]);
  const args = ['target/config.js', 'set', 'team-4', '--cpus-max', '5', '--within', '2s', ...others];
  const ended = await new Promise<CommandResult>((resolve) => {
    const child = spawn(process.execPath, args);
    let stdout = '';
    child.stdout.on('data', (chunk: Buffer) => (stdout += chunk.toString()));
    child.on('close', (code) => {
      resolve({ code, stdout, stderr: '' });
    });
  });
  stopped.signal('SIGCONT');
  assert.equal(ended.code, 3, ended.stdout);
  assert.match(ended.stdout, new RegExp(`${stopped.name} lags: version 2`));
});
