import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { JobId, JobKind, JobPriority, MachineId } from '@spurbridge/wire';
import { TEAMS, jobSpec } from '@spurbridge/testkit';
import type { ClusterSnapshot, JobView } from '../src/index.js';
import { planTasks } from '../src/index.js';
import { id, machine, occupant, snapshot, view } from './snapshot-fixtures.js';

const anyJob = (index: number): fc.Arbitrary<JobView> =>
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
      view(jobSpec({ id: id(index), ...over, oneZone: over.oneZone && !over.spread }), {
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
      .chain((count) => fc.tuple(...Array.from({ length: count }, (_, index) => anyJob(index)))),
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
      machines.map((generated, index) =>
        machine(index, generated.type, {
          spot: generated.spot,
          isSchedulable: generated.takes > 0,
          slowness: generated.slowness,
          images: new Map(generated.holdsImage ? [['img', 1]] : []),
          occupants:
            generated.busy === 0
              ? []
              : [occupant({ cpus: generated.busy, task: index, remainingS: generated.endS })],
        }),
      ),
    ),
    placeAheadS: headS,
  }));

test('whatever the snapshot, what a plan starts respects placement rules, free resources and quota', () => {
  fc.assert(
    fc.property(anySnapshot, (snapshot) => {
      const result = planTasks(snapshot);
      const started = new Set<string>();
      const used = new Map(
        snapshot.machines.map((machine) => [
          machine.id,
          machine.occupants.reduce((sum, occupant) => sum + occupant.cpus, 0),
        ]),
      );
      const gpus = new Map<MachineId, number>();
      const teams = new Map<string, number>();
      for (const machine of snapshot.machines)
        for (const occupant of machine.occupants)
          teams.set(occupant.team, (teams.get(occupant.team) ?? 0) + occupant.cpus);
      const zones = new Map<JobId, string[]>();
      for (const start of result.starts) {
        const job = snapshot.jobs.find((jobView) => jobView.spec.id === start.job);
        const machine = snapshot.machines.find((candidate) => candidate.id === start.machine);
        assert.ok(job !== undefined && machine !== undefined);
        const { spec } = job;
        assert.ok(!started.has(`${start.job}/${start.task}`), 'started twice');
        started.add(`${start.job}/${start.task}`);
        assert.ok(machine.isSchedulable && (!machine.spot || spec.spot));
        assert.ok(spec.zone === null || spec.zone === machine.zone);
        assert.ok(spec.types === null || spec.types.includes(machine.type.name));
        used.set(machine.id, (used.get(machine.id) ?? 0) + spec.cpus);
        gpus.set(machine.id, (gpus.get(machine.id) ?? 0) + spec.gpus);
        assert.ok((used.get(machine.id) ?? 0) <= machine.type.cpus + 1e-6, 'room');
        assert.ok((gpus.get(machine.id) ?? 0) <= machine.type.gpus + 1e-6, 'accelerators');
        teams.set(spec.team, (teams.get(spec.team) ?? 0) + spec.cpus);
        zones.set(spec.id, [...(zones.get(spec.id) ?? []), machine.zone]);
      }
      for (const team of TEAMS) {
        const before = snapshot.machines
          .flatMap((machine) => machine.occupants)
          .reduce((sum, occupant) => sum + (occupant.team === team.name ? occupant.cpus : 0), 0);
        assert.ok((teams.get(team.name) ?? 0) <= Math.max(team.cpusMax, before) + 1e-6, 'quota');
      }
      for (const job of snapshot.jobs) {
        const at = zones.get(job.spec.id) ?? [];
        if (job.spec.oneZone) assert.ok(new Set(at).size <= 1, 'one zone');
        if (job.spec.spread)
          for (const zone of at)
            assert.ok(at.filter((other) => other === zone).length <= Math.ceil(job.spec.tasks / 2), 'spread');
        if (job.spec.kind === 'gang')
          assert.ok(at.length === 0 || at.length === job.spec.tasks, 'whole gang');
      }
    }),
    { seed: 21, numRuns: 400 },
  );
});

test('a plan by bounds starts and preempts the same as the exhaustive one', () => {
  fc.assert(
    fc.property(anySnapshot, (snapshot) => {
      const fast = planTasks(snapshot);
      const plain = planTasks(snapshot, { exhaustive: true });
      assert.deepEqual(fast.starts, plain.starts);
      assert.deepEqual(fast.queuedStarts, plain.queuedStarts);
      assert.deepEqual(fast.preemptions, plain.preemptions);
      const tasks = (plan: typeof fast): number =>
        plan.unplacedDemand.reduce((sum, demand) => sum + demand.taskCount, 0);
      assert.equal(tasks(fast), tasks(plain));
    }),
    { seed: 22, numRuns: 1500 },
  );
});

/** A busy fleet: every machine is full but for five, and jobs of many sizes wait. */
function busyFleet(machines: number, jobs: number, tasks: number): ClusterSnapshot {
  return {
    ...snapshot(
      Array.from({ length: jobs }, (_, index) =>
        view(jobSpec({ id: id(index), tasks, cpus: 2 + (index % 3), estimateS: 5 + ((index * 37) % 40) })),
      ),
      Array.from({ length: machines }, (_, index) =>
        machine(index, 1, {
          spot: index % 2 === 0,
          occupants:
            index % 20 === 0 && index < 100
              ? []
              : Array.from({ length: 4 }, (_o, occupantIndex) =>
                  occupant({
                    cpus: 4,
                    task: index * 4 + occupantIndex,
                    remainingS: 1 + ((index * 7 + occupantIndex * 13) % 50),
                  }),
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
