import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { Processes } from '../src/processes.js';
import { Region } from '../src/region.js';

const TEAMS = 350;
/** A region number of its own: its addresses are no other test's. */
const REGION = 51;
const UP_MS = 30_000;

interface Ended {
  readonly code: number | null;
  readonly out: string;
  readonly err: string;
}

const folder = mkdtempSync(join(tmpdir(), 'spurbridge-config-test-'));
const processes = new Processes();
const shape = { region: REGION, zones: ['a'], nodes: 3, workers: 4, teams: TEAMS };
const nothing = {
  startsPerS: 1,
  running: 5,
  jobsPerS: 1e-9,
  zones: ['a'],
  seed: 1,
  firstJob: 0,
  teams: TEAMS,
};
const silent = {
  onEvents: () => undefined,
  onProcessStarted: () => undefined,
  onProcessEnded: () => undefined,
  onUnexpectedExit: () => undefined,
};
const launch = { deployFile: 'deploy/live-configuration.toml', endedJobs: 0 };
const region = new Region(shape, nothing, processes, silent, launch);

function config(...args: string[]): Promise<Ended> {
  const nodes = region.nodes.flatMap((n) => ['--node', n.address]);
  return new Promise((resolve) => {
    const child = spawn(process.execPath, ['target/config.js', ...args, ...nodes]);
    let out = '';
    let err = '';
    child.stdout.on('data', (chunk: Buffer) => (out += chunk.toString()));
    child.stderr.on('data', (chunk: Buffer) => (err += chunk.toString()));
    child.on('close', (code) => {
      resolve({ code, out, err });
    });
  });
}

before(async () => {
  await region.start();
  const until = Date.now() + UP_MS;
  while (Date.now() < until) {
    const status = await config('status');
    if (status.code === 0 && status.out.includes('leads')) return;
  }
  assert.fail('no leader within half a minute');
});

after(async () => {
  await processes.endAll();
  region.removeFiles();
  rmSync(folder, { recursive: true, force: true });
});

test('a team is changed, in force on every node within the time, and in the history', async () => {
  const dry = await config('set', 'team-3', '--cpus-max', '7', '--dry-run');
  assert.equal(dry.code, 0, dry.err);
  assert.match(dry.out, /teams\.team-3\.cpusMax: 20 -> 7\nnothing was changed: version 0 holds/);
  const set = await config('set', 'team-3', '--cpus-max', '7', '--author', 'ann', '--within', '5s');
  assert.equal(set.code, 0, set.out + set.err);
  assert.match(set.out, /version 1 is in force everywhere/);
  const shown = JSON.parse((await config('show')).out) as { version: number; teams: { name: string }[] };
  assert.equal(shown.version, 1);
  assert.equal(shown.teams.length, TEAMS);
  assert.match((await config('history')).out, /version 1, .*, ann\nteams\.team-3\.cpusMax: 20 -> 7/);
});

test('a file changes all teams at once or nothing', async () => {
  const file = join(folder, 'all.toml');
  const team = (n: number, cpusMax: number): string =>
    `[[teams]]\nname = "team-${n}"\ncpus_max = ${cpusMax}\n`;
  const all = (cpusMax: number): string => Array.from({ length: TEAMS }, (_, n) => team(n, cpusMax)).join('');
  writeFileSync(file, `${all(6)}[[teams]]\nname = "team-1"\ncpus = 9\n`);
  const refused = await config('apply', file);
  assert.equal(refused.code, 2, refused.out);
  assert.match(refused.err, /teams\.team-1\.cpus: the guarantee is above the limit/);
  writeFileSync(file, all(6));
  const applied = await config('apply', file);
  assert.equal(applied.code, 0, applied.err);
  assert.match(applied.out, /version 2 is in force everywhere/);
});

test('mistakes are named: unknown fields, amounts below 0, a version that is not the newest, no node', async () => {
  const file = join(folder, 'wrong.toml');
  writeFileSync(file, '[[teams]]\nname = "team-1"\ncpu = 3\n');
  const unknown = await config('apply', file);
  assert.equal(unknown.code, 2);
  assert.match(unknown.err, /teams\[0\]\.cpu: /);
  assert.notEqual((await config('set', 'team-1', '--cpus', '-1')).code, 0);
  const stale = await config('set', 'team-1', '--cpus', '1', '--base', '1');
  assert.equal(stale.code, 4);
  assert.match(stale.err, /version 2 is the newest/);
});

test('a node that stands still is named as lagging, and the command ends with 3', async () => {
  const stopped = region.controllers.find((_, n) => n !== region.leader);
  assert.ok(stopped !== undefined);
  stopped.signal('SIGSTOP');
  const others = region.nodes.filter((n) => n.name !== stopped.name).flatMap((n) => ['--node', n.address]);
  const args = ['target/config.js', 'set', 'team-4', '--cpus-max', '5', '--within', '2s', ...others];
  const ended = await new Promise<Ended>((resolve) => {
    const child = spawn(process.execPath, args);
    let out = '';
    child.stdout.on('data', (chunk: Buffer) => (out += chunk.toString()));
    child.on('close', (code) => {
      resolve({ code, out, err: '' });
    });
  });
  stopped.signal('SIGCONT');
  assert.equal(ended.code, 3, ended.out);
  assert.match(ended.out, new RegExp(`${stopped.name} lags: version 2`));
});
