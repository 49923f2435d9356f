import assert from 'node:assert/strict';
import { readFileSync, readdirSync } from 'node:fs';
import { test } from 'node:test';
import { SiteError } from '../src/errors.js';
import { formatDay, formatSummary, readDay } from '../src/site-variants/report.js';
import {
  machinesOf,
  additionalDays,
  readSite,
  applyVariation,
  addDays,
  writeSite,
} from '../src/site-variants/variant.js';

const SITE = `
name = "east"
[nodes]
count = 3
zones = ["a", "b"]
max_connections = 100
memory_mb = 200.0
restart_delay_s = 8.0
[[capacity]]
type = "s"
zone = "a"
count = 10
spot = 20
[[machines]]
type = "s"
zone = "b"
count = 4
[[teams]]
name = "red"
cpus = 10.0
cpus_max = 40.0
[[jobs]]
kind = "array"
name = "nightly"
initial = 3
arrivals = { rate = 0.5 }
[[jobs]]
kind = "service"
name = "door"
arrivals = { rate = 0.25 }
[[day]]
name = "calm"
faults = [{ at_s = 1.0, kind = "machine_die", count = 4 }, { at_s = 2.0, kind = "zone_cut", zone = "b" }]
`;
const BASE = { factor: 1.5, restartS: 0.2, nodes: null, renamesZones: false };

test('a variant scales only machines, limits and load, and sets the restart delay, nodes and zone names', () => {
  const given = readSite(SITE);
  const site = applyVariation(given, BASE);
  const text = writeSite(site);
  assert.equal(machinesOf(given), 30);
  assert.equal(machinesOf(site), 45);
  for (const line of [
    'count = 15',
    'spot = 30',
    'count = 6',
    'cpus_max = 60.0',
    'initial = 5',
    'rate = 0.75',
  ])
    assert.ok(text.includes(line), line);
  assert.ok(text.includes('restart_delay_s = 0.2') && text.includes('max_connections = 100\n'));
  assert.ok(text.includes('count = 3\n'), 'the number of controllers is not scaled');
  assert.equal(writeSite(readSite(text)), text);
  const fiveNodes = writeSite(applyVariation(given, { ...BASE, nodes: 5, renamesZones: true }));
  assert.ok(fiveNodes.includes('count = 5') && fiveNodes.includes('"z-a"') && !fiveNodes.includes('"b"'));
});

test('a site without a required table is rejected with an error that names the field', () => {
  assert.throws(() => applyVariation(readSite('name = "x"'), BASE), SiteError);
  assert.throws(() => applyVariation(readSite('[nodes]\nzones = 3'), BASE), /nodes\.zones/);
});

test('placeholders of additional days are replaced by classes, zones and machine counts of the site', () => {
  const site = applyVariation(readSite(SITE), BASE);
  const days = additionalDays(
    `[[day]]
     name = "d"
     faults = [
       { kind = "job_burst", class = "@array" }, { kind = "zone_cut", zone = "@zone3" },
       { kind = "machine_die", share = 0.1 }, { kind = "spot_taken", share = 0.5 }]`,
    site,
  );
  const [day] = days;
  assert.deepEqual(day?.['faults'], [
    { kind: 'job_burst', class: 'nightly' },
    { kind: 'zone_cut', zone: 'b' },
    { kind: 'machine_die', count: 5n },
    { kind: 'spot_taken', share: 0.5 },
  ]);
  assert.ok(writeSite(addDays(site, days)).includes('name = "d"'));
  assert.throws(() => additionalDays('[[day]]\nfaults = [{ class = "@gang" }]', site), /@gang/);
  const [changed] = additionalDays('[[day]]\njobs = [{ name = "@array", cancelled = 0.8 }]', site);
  assert.deepEqual(changed?.['jobs'], [{ name: 'nightly', cancelled: 0.8 }]);
  assert.throws(() => additionalDays('[[day]]\njobs = [{ name = "@gang" }]', site), /@gang/);
  // All placeholders in the days of the repository can be resolved for this site.
  const folder = new URL('../../../days/bench/', import.meta.url);
  for (const file of readdirSync(folder))
    assert.ok(additionalDays(readFileSync(new URL(file, folder), 'utf8'), site).length >= 4, file);
});

const LIMITS = { sockets: 100, memoryMb: 200 };
const NODE = { node: 'n', cpu_mean: 0.3, cpu_peak: 1.1, memory_peak_mb: 50, connections_peak: 90 };

function report(over: object): string {
  return JSON.stringify({
    rules_broken: { total: 0, by_kind: {} },
    classes: {
      nightly: { jobs: 10, started: 9, done: 6, cancelled: 1, in_deadline: 0.4, up: null },
      door: { jobs: 4, started: 4, done: 0, cancelled: 1, up: 0.9 },
    },
    teams: { red: { jobs: 14, started: 13 } },
    targets: [{ kind: 'up', class: 'door', worst_s: 30, value: 0.45 }],
    fleet: { tasks_killed_by_lease: 7 },
    node_stats: [{ ...NODE, restarts: [{ why: 'fault' }] }],
    ...over,
  });
}

test('a day without broken rules or unplanned process restarts passes, and a low share of jobs within the deadline is a warning', () => {
  const log = [
    'calm   30   0.61  3/13',
    '1.0 n {"level":30,"from":"campaigning","to":"leading","msg":"leadership"}',
    '2.0 n {"level":30,"who":"team red","replicas":0.8,"in time":0.3,"msg":"service levels"}',
    '3.0 n {"level":30,"who":"team red","replicas":0.7,"ended":0.9,"msg":"service levels"}',
  ].join('\n');
  const day = readDay('east', 'calm', LIMITS, report({}), log);
  assert.equal(day.failed, false);
  assert.deepEqual([day.score, day.killedByLease, day.elections, day.sockets], [0.61, 7, 1, 0.9]);
  const ended = day.readings.find((r) => r.who === 'class nightly' && r.reading === 'ended');
  assert.equal(ended?.share.toFixed(3), '0.667');
  assert.deepEqual(
    day.readings.filter((r) => r.who === 'team red').map((r) => [r.reading, r.share.toFixed(2)]),
    [
      ['started', '0.93'],
      ['ended', '0.90'],
      ['replicas', '0.70'],
    ],
  );
  assert.match(formatDay(day), /by the deadline: 0\.400 \(-0\.100 over half\) {2}warning/);
  assert.match(formatSummary([day]), /^no day of 1 failed; warnings: /);
});

test('a day fails if a class or team is served less than half, a rule is broken or a process exceeds its memory', () => {
  const classes = { nightly: { jobs: 10, started: 9, done: 3, cancelled: 1, up: null } };
  const failedDays = [
    report({ classes }),
    report({ rules_broken: { total: 1, by_kind: { quota: 1 } } }),
    report({ node_stats: [{ ...NODE, restarts: [{ why: 'memory' }] }] }),
    report({ teams: { red: { jobs: 14, started: 6 } } }),
  ].map((text) => readDay('east', 'calm', LIMITS, text, ''));
  assert.deepEqual(
    failedDays.map((day) => day.failed),
    [true, true, true, true],
  );
  assert.match(formatSummary(failedDays), /^failed: east calm/);
});
