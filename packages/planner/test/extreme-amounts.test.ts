import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { JobKind } from '@spurbridge/wire';
import { jobSpec } from '@spurbridge/testkit';
import type { ClusterSnapshot, JobView, MachineView } from '../src/index.js';
import { planTasks } from '../src/index.js';
import { jobId, jobView, machine, occupant, snapshot } from './snapshot-fixtures.js';

const TINY = 5e-324;
const HUGE = Number.MAX_VALUE;
const MACHINE_COUNT = 100;
const EXTREME_AMOUNTS = [0, TINY, 1e-9, 1, 3.6e6, 3.6e9, 1e12, 3.6e12, 1e15, 1e18, 1e200, HUGE];

/** Machines of all types, in all zones, spot and on-demand. */
function fleet(): MachineView[] {
  return Array.from({ length: MACHINE_COUNT }, (_, index) =>
    machine(index, (index * 7) % 3, { spot: index % 2 === 0 }),
  );
}

function isAllowed({ spec }: JobView, { type, zone, spot }: MachineView): boolean {
  const isTypeAllowed = spec.types === null || spec.types.includes(type.name);
  return isTypeAllowed && (spec.zone === null || spec.zone === zone) && (spec.spot || !spot);
}

/** Asserts that every start is on a machine that its job allows and that has room for it. */
function assertAllowed(cluster: ClusterSnapshot): void {
  const { jobs, machines } = cluster;
  const plan = planTasks(cluster);
  const freeCpus = new Map(
    machines.map(({ id, type, occupants }) => [
      id,
      type.cpus - occupants.reduce((sum, { cpus }) => sum + cpus, 0),
    ]),
  );
  for (const start of plan.starts) {
    const job = jobs.find(({ spec }) => spec.id === start.job);
    const target = machines.find(({ id }) => id === start.machine);
    assert.ok(job !== undefined && target !== undefined);
    assert.ok(isAllowed(job, target), `${start.job} on ${start.machine}`);
    assert.ok(!job.excludedMachines.has(target.id));
    const free = (freeCpus.get(target.id) ?? 0) - job.spec.cpus;
    assert.ok(free >= -1e-6, `${start.machine} has no room`);
    freeCpus.set(target.id, free);
  }
}

// Guards against `wrong_place`: a plan meant other machines than it was computed for, because the estimate and the
// machine shared the digits of one number.
for (const estimateS of EXTREME_AMOUNTS)
  test(`a plan names machines that the job allows if its estimate is ${estimateS} s`, () => {
    const spec = jobSpec({
      id: jobId(1),
      cpus: 4,
      tasks: 7,
      types: ['m16'],
      spot: false,
      zone: 'b',
      estimateS,
    });
    const job = jobView(spec, { estimateS });
    assert.equal(planTasks(snapshot([job], fleet())).starts.length, 7);
    assertAllowed(snapshot([job], fleet()));
  });

test('an ordinary job is placed where it is allowed behind tasks that hardly ever end', () => {
  const machines = fleet().map((each) => ({
    ...each,
    occupants: [occupant({ cpus: each.type.cpus, remainingS: HUGE, isPreemptible: false })],
  }));
  const job = jobView(jobSpec({ id: jobId(1), cpus: 4, tasks: 7, types: ['m16'], estimateS: 10 }));
  const { starts, queuedStarts, unplacedDemand } = planTasks(snapshot([job], machines));
  assert.deepEqual([starts, queuedStarts], [[], []]);
  assert.equal(unplacedDemand[0]?.taskCount, 7);
});

const anyAmount = fc.constantFrom(...EXTREME_AMOUNTS);

const anyExtremeJob = (index: number): fc.Arbitrary<JobView> =>
  fc
    .record({
      kind: fc.constantFrom<JobKind>('array', 'gang', 'service'),
      tasks: fc.integer({ min: 1, max: 9 }),
      cpus: fc.constantFrom(0, TINY, 1e-9, 1, 4),
      memoryGb: fc.constantFrom(0, TINY, 1e-9, 1),
      types: fc.constantFrom(null, ['s4'], ['m16', 'g8']),
      zone: fc.constantFrom(null, null, 'b'),
      spot: fc.boolean(),
      spread: fc.boolean(),
      imageGb: anyAmount,
      estimateS: anyAmount,
      deadlineS: anyAmount,
      ageS: fc.constantFrom(0, 5, 200),
    })
    .map(({ ageS, ...fields }) =>
      jobView(jobSpec({ id: jobId(index), ...fields }), {
        ageS,
        totalWaitS: ageS * fields.tasks,
        completionMilestonesS: [fields.deadlineS],
      }),
    );

test('plans with amounts at the ends of their ranges fail on no job and name only machines that it allows', () => {
  const anyJobs = fc
    .integer({ min: 1, max: 6 })
    .chain((count) => fc.tuple(...Array.from({ length: count }, (_, index) => anyExtremeJob(index))));
  fc.assert(
    fc.property(anyJobs, fc.array(anyAmount, { maxLength: 8 }), (jobs, remainingTimesS) => {
      const machines = fleet().map((each, index) => {
        const remainingS = remainingTimesS[index % 10];
        return remainingS === undefined ? each : { ...each, occupants: [occupant({ cpus: 3, remainingS })] };
      });
      assertAllowed(snapshot(jobs, machines));
    }),
    { numRuns: 150, seed: 64 },
  );
});
