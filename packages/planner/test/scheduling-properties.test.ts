import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { JobId, JobKind, JobPriority, MachineId } from '@spurbridge/wire';
import { TEAMS, jobSpec } from '@spurbridge/testkit';
import type { ClusterSnapshot, JobView } from '../src/index.js';
import { planTasks } from '../src/index.js';
import { jobId, jobView, machine, occupant, snapshot } from './snapshot-fixtures.js';

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
    .map(({ waitS, ageS, milestonesS, ...fields }) =>
      jobView(jobSpec({ id: jobId(index), ...fields, oneZone: fields.oneZone && !fields.spread }), {
        totalWaitS: waitS,
        ageS,
        completionMilestonesS: milestonesS,
        estimateS: fields.estimateS,
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
        usedCpus: fc.nat(4),
        schedulableDraw: fc.nat(9),
        remainingS: fc.integer({ min: 0, max: 60 }),
        slowness: fc.constantFrom(1, 1, 1.1, 1.7),
        hasImage: fc.boolean(),
      }),
      { maxLength: 12 },
    ),
    placeAheadS: fc.constantFrom(0, 3),
  })
  .map(({ jobs, machines, placeAheadS }) => ({
    ...snapshot(
      jobs,
      machines.map((generated, index) =>
        machine(index, generated.type, {
          spot: generated.spot,
          isSchedulable: generated.schedulableDraw > 0,
          slowness: generated.slowness,
          images: new Map(generated.hasImage ? [['img', 1]] : []),
          occupants:
            generated.usedCpus === 0
              ? []
              : [occupant({ cpus: generated.usedCpus, task: index, remainingS: generated.remainingS })],
        }),
      ),
    ),
    placeAheadS,
  }));

test('the starts of a plan respect placement constraints, free resources and quotas for any snapshot', () => {
  fc.assert(
    fc.property(anySnapshot, (snapshot) => {
      const result = planTasks(snapshot);
      const started = new Set<string>();
      const usedCpus = new Map(
        snapshot.machines.map((machine) => [
          machine.id,
          machine.occupants.reduce((sum, occupant) => sum + occupant.cpus, 0),
        ]),
      );
      const usedGpus = new Map<MachineId, number>();
      const cpusByTeam = new Map<string, number>();
      for (const machine of snapshot.machines)
        for (const occupant of machine.occupants)
          cpusByTeam.set(occupant.team, (cpusByTeam.get(occupant.team) ?? 0) + occupant.cpus);
      const zonesByJob = new Map<JobId, string[]>();
      for (const start of result.starts) {
        const job = snapshot.jobs.find((candidate) => candidate.spec.id === start.job);
        const machine = snapshot.machines.find((candidate) => candidate.id === start.machine);
        assert.ok(job !== undefined && machine !== undefined);
        const { spec } = job;
        assert.ok(!started.has(`${start.job}/${start.task}`), 'a task was started twice');
        started.add(`${start.job}/${start.task}`);
        assert.ok(machine.isSchedulable && (!machine.spot || spec.spot));
        assert.ok(spec.zone === null || spec.zone === machine.zone);
        assert.ok(spec.types === null || spec.types.includes(machine.type.name));
        usedCpus.set(machine.id, (usedCpus.get(machine.id) ?? 0) + spec.cpus);
        usedGpus.set(machine.id, (usedGpus.get(machine.id) ?? 0) + spec.gpus);
        assert.ok((usedCpus.get(machine.id) ?? 0) <= machine.type.cpus + 1e-6, 'CPUs of a machine exceeded');
        assert.ok(
          (usedGpus.get(machine.id) ?? 0) <= machine.type.gpus + 1e-6,
          'accelerators of a machine exceeded',
        );
        cpusByTeam.set(spec.team, (cpusByTeam.get(spec.team) ?? 0) + spec.cpus);
        zonesByJob.set(spec.id, [...(zonesByJob.get(spec.id) ?? []), machine.zone]);
      }
      for (const team of TEAMS) {
        const before = snapshot.machines
          .flatMap((machine) => machine.occupants)
          .reduce((sum, occupant) => sum + (occupant.team === team.name ? occupant.cpus : 0), 0);
        assert.ok(
          (cpusByTeam.get(team.name) ?? 0) <= Math.max(team.cpusMax, before) + 1e-6,
          'quota of a team exceeded',
        );
      }
      for (const job of snapshot.jobs) {
        const zones = zonesByJob.get(job.spec.id) ?? [];
        if (job.spec.oneZone) assert.ok(new Set(zones).size <= 1, 'a zone-bound job is in several zones');
        if (job.spec.spread)
          for (const zone of zones)
            assert.ok(
              zones.filter((other) => other === zone).length <= Math.ceil(job.spec.tasks / 2),
              'more than half of a spread job is in one zone',
            );
        if (job.spec.kind === 'gang')
          assert.ok(
            zones.length === 0 || zones.length === job.spec.tasks,
            'only a part of a gang was started',
          );
      }
    }),
    { seed: 21, numRuns: 400 },
  );
});

test('a plan computed with lower bounds starts and preempts the same tasks as the exhaustive plan', () => {
  fc.assert(
    fc.property(anySnapshot, (snapshot) => {
      const bounded = planTasks(snapshot);
      const exhaustive = planTasks(snapshot, { exhaustive: true });
      assert.deepEqual(bounded.starts, exhaustive.starts);
      assert.deepEqual(bounded.queuedStarts, exhaustive.queuedStarts);
      assert.deepEqual(bounded.preemptions, exhaustive.preemptions);
      const countUnplaced = (plan: typeof bounded): number =>
        plan.unplacedDemand.reduce((sum, demand) => sum + demand.taskCount, 0);
      assert.equal(countUnplaced(bounded), countUnplaced(exhaustive));
    }),
    { seed: 22, numRuns: 1500 },
  );
});

/** A busy fleet: all machines except five are full, and jobs of several sizes wait. */
function busyFleet(machines: number, jobs: number, tasks: number): ClusterSnapshot {
  return {
    ...snapshot(
      Array.from({ length: jobs }, (_, index) =>
        jobView(
          jobSpec({ id: jobId(index), tasks, cpus: 2 + (index % 3), estimateS: 5 + ((index * 37) % 40) }),
        ),
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

test('planning cost grows less than 6 times with 4 times the machines and less than 4 times with 10 times the jobs', () => {
  const small = planTasks(busyFleet(100, 20, 40));
  const moreMachines = planTasks(busyFleet(400, 20, 40));
  const moreJobs = planTasks(busyFleet(100, 200, 40));
  const exhaustive = planTasks(busyFleet(100, 20, 40), { exhaustive: true });
  const visits = small.queueVisits;
  assert.ok(small.starts.length > 0 && moreMachines.starts.length === small.starts.length);
  assert.ok(moreMachines.queueVisits < visits * 6, `${visits} visits to ${moreMachines.queueVisits}`);
  assert.ok(moreJobs.queueVisits < visits * 4, `${visits} visits to ${moreJobs.queueVisits}`);
  assert.ok(visits * 4 < exhaustive.queueVisits, `${visits} visits to ${exhaustive.queueVisits}`);
  assert.deepEqual(small.starts, exhaustive.starts);
});
