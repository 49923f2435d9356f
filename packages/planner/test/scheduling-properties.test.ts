import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { JobId, JobKind, JobPriority, MachineId } from '@spurbridge/wire';
import { TEAMS, jobSpec } from '@spurbridge/testkit';
import type { ClusterSnapshot, JobView } from '../src/index.js';
import { planTasks } from '../src/index.js';
import { id, machine, occupant, snapshot, view } from './snapshot-fixtures.js';

const anyJob = (n: number): fc.Arbitrary<JobView> =>
  fc
    .record({
      kind: fc.constantFrom<JobKind>('array', 'gang', 'service'),
      priority: fc.constantFrom<JobPriority>('production', 'high', 'normal', 'low'),
      team: fc.constantFrom('red', 'blue'),
      tasks: fc.integer({ min: 1, max: 9 }),
      cpus: fc.integer({ min: 1, max: 8 }),
      gpus: fc.constantFrom(0, 0, 0, 1),
      spot: fc.boolean(),
      spread: fc.boolean(),
      oneZone: fc.boolean(),
      zone: fc.constantFrom(null, null, 'b'),
      types: fc.constantFrom(null, null, ['s4', 'g8']),
      estimateS: fc.integer({ min: 1, max: 50 }),
      waitS: fc.integer({ min: 0, max: 200 }),
      ageS: fc.integer({ min: 0, max: 200 }),
      milestonesS: fc.constantFrom<readonly number[]>([], [60], [30, 90]),
    })
    .map(({ waitS, ageS, milestonesS, ...over }) =>
      view(jobSpec({ id: id(n), ...over, oneZone: over.oneZone && !over.spread }), {
        totalWaitS: waitS,
        ageS,
        completionMilestonesS: milestonesS,
        estimateS: over.estimateS,
      }),
    );

const anySnapshot = fc
  .record({
    jobs: fc
      .integer({ min: 0, max: 7 })
      .chain((n) => fc.tuple(...Array.from({ length: n }, (_, i) => anyJob(i)))),
    machines: fc.array(
      fc.record({
        type: fc.nat(2),
        spot: fc.boolean(),
        busy: fc.nat(4),
        takes: fc.nat(9),
        endS: fc.integer({ min: 0, max: 60 }),
        slowness: fc.constantFrom(1, 1, 1.1, 1.7),
        holdsImage: fc.boolean(),
      }),
      { maxLength: 12 },
    ),
    headS: fc.constantFrom(0, 3),
  })
  .map(({ jobs, machines, headS }) => ({
    ...snapshot(
      jobs,
      machines.map((m, n) =>
        machine(n, m.type, {
          spot: m.spot,
          isSchedulable: m.takes > 0,
          slowness: m.slowness,
          images: new Map(m.holdsImage ? [['img', 1]] : []),
          occupants: m.busy === 0 ? [] : [occupant({ cpus: m.busy, task: n, remainingS: m.endS })],
        }),
      ),
    ),
    placeAheadS: headS,
  }));

test('whatever the snapshot, what a plan starts respects placement rules, free resources and quota', () => {
  fc.assert(
    fc.property(anySnapshot, (s) => {
      const result = planTasks(s);
      const started = new Set<string>();
      const used = new Map(s.machines.map((m) => [m.id, m.occupants.reduce((sum, o) => sum + o.cpus, 0)]));
      const gpus = new Map<MachineId, number>();
      const teams = new Map<string, number>();
      for (const m of s.machines)
        for (const o of m.occupants) teams.set(o.team, (teams.get(o.team) ?? 0) + o.cpus);
      const zones = new Map<JobId, string[]>();
      for (const x of result.starts) {
        const job = s.jobs.find((j) => j.spec.id === x.job);
        const m = s.machines.find((y) => y.id === x.machine);
        assert.ok(job !== undefined && m !== undefined);
        const { spec } = job;
        assert.ok(!started.has(`${x.job}/${x.task}`), 'started twice');
        started.add(`${x.job}/${x.task}`);
        assert.ok(m.isSchedulable && (!m.spot || spec.spot));
        assert.ok(spec.zone === null || spec.zone === m.zone);
        assert.ok(spec.types === null || spec.types.includes(m.type.name));
        used.set(m.id, (used.get(m.id) ?? 0) + spec.cpus);
        gpus.set(m.id, (gpus.get(m.id) ?? 0) + spec.gpus);
        assert.ok((used.get(m.id) ?? 0) <= m.type.cpus + 1e-6, 'room');
        assert.ok((gpus.get(m.id) ?? 0) <= m.type.gpus + 1e-6, 'accelerators');
        teams.set(spec.team, (teams.get(spec.team) ?? 0) + spec.cpus);
        zones.set(spec.id, [...(zones.get(spec.id) ?? []), m.zone]);
      }
      for (const t of TEAMS) {
        const before = s.machines
          .flatMap((m) => m.occupants)
          .reduce((n, o) => n + (o.team === t.name ? o.cpus : 0), 0);
        assert.ok((teams.get(t.name) ?? 0) <= Math.max(t.cpusMax, before) + 1e-6, 'quota');
      }
      for (const j of s.jobs) {
        const at = zones.get(j.spec.id) ?? [];
        if (j.spec.oneZone) assert.ok(new Set(at).size <= 1, 'one zone');
        if (j.spec.spread)
          for (const z of at)
            assert.ok(at.filter((y) => y === z).length <= Math.ceil(j.spec.tasks / 2), 'spread');
        if (j.spec.kind === 'gang') assert.ok(at.length === 0 || at.length === j.spec.tasks, 'whole gang');
      }
    }),
    { seed: 21, numRuns: 400 },
  );
});

test('a plan by bounds starts and preempts the same as the exhaustive one', () => {
  fc.assert(
    fc.property(anySnapshot, (s) => {
      const fast = planTasks(s);
      const plain = planTasks(s, { exhaustive: true });
      assert.deepEqual(fast.starts, plain.starts);
      assert.deepEqual(fast.queuedStarts, plain.queuedStarts);
      assert.deepEqual(fast.preemptions, plain.preemptions);
      const tasks = (p: typeof fast): number => p.unplacedDemand.reduce((sum, u) => sum + u.taskCount, 0);
      assert.equal(tasks(fast), tasks(plain));
    }),
    { seed: 22, numRuns: 1500 },
  );
});

/** A busy fleet: every machine is full but for five, and jobs of many sizes wait. */
function busyFleet(machines: number, jobs: number, tasks: number): ClusterSnapshot {
  return {
    ...snapshot(
      Array.from({ length: jobs }, (_, i) =>
        view(jobSpec({ id: id(i), tasks, cpus: 2 + (i % 3), estimateS: 5 + ((i * 37) % 40) })),
      ),
      Array.from({ length: machines }, (_, n) =>
        machine(n, 1, {
          spot: n % 2 === 0,
          occupants:
            n % 20 === 0 && n < 100
              ? []
              : Array.from({ length: 4 }, (_o, k) =>
                  occupant({ cpus: 4, task: n * 4 + k, remainingS: 1 + ((n * 7 + k * 13) % 50) }),
                ),
        }),
      ),
    ),
    teams: [{ name: 'red', cpus: 1e6, cpusMax: 1e6, gpus: 0, gpusMax: 0 }],
  };
}

test('the cost of a plan grows no faster than the machines, and hardly with the waiting jobs', () => {
  const small = planTasks(busyFleet(100, 20, 40));
  const machines = planTasks(busyFleet(400, 20, 40));
  const jobs = planTasks(busyFleet(100, 200, 40));
  const plain = planTasks(busyFleet(100, 20, 40), { exhaustive: true });
  assert.ok(small.starts.length > 0 && machines.starts.length === small.starts.length);
  assert.ok(machines.queueVisits < small.queueVisits * 6, `${small.queueVisits} to ${machines.queueVisits}`);
  assert.ok(jobs.queueVisits < small.queueVisits * 4, `${small.queueVisits} to ${jobs.queueVisits}`);
  assert.ok(small.queueVisits * 4 < plain.queueVisits, `${small.queueVisits} against ${plain.queueVisits}`);
  assert.deepEqual(small.starts, plain.starts);
});
