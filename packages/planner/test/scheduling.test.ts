import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobSpec } from '@spurbridge/testkit';
import type { JobView, MachineView, Occupant } from '../src/index.js';
import { planTasks } from '../src/index.js';
import { jobId, jobView, machine, occupant, snapshot } from './snapshot-fixtures.js';

test('services are placed first, then starved jobs, then the job with the earliest estimated completion', () => {
  const machines = [machine(0)];
  const long = jobView(jobSpec({ id: jobId(1), cpus: 4, tasks: 1, estimateS: 10 }));
  const short = jobView(jobSpec({ id: jobId(2), cpus: 4, tasks: 1, estimateS: 4 }));
  assert.equal(planTasks(snapshot([long, short], machines)).starts[0]?.job, jobId(2));
  const starved = { ...long, totalWaitS: 31 };
  assert.equal(planTasks(snapshot([starved, short], machines)).starts[0]?.job, jobId(1));
  const service = jobView(jobSpec({ id: jobId(3), kind: 'service', cpus: 4, tasks: 1, estimateS: 0 }));
  assert.equal(planTasks(snapshot([starved, short, service], machines)).starts[0]?.job, jobId(3));
});

// With a fixed starvation threshold, every job of a burst became starved. The burst was then served in the order
// of arrival, and none of about 200 jobs was in time.
test('a job is starved only if it waits longer than twice the time needed for all waiting work', () => {
  const jobs = Array.from({ length: 12 }, (_, index) =>
    jobView(jobSpec({ id: jobId(index), cpus: 4, tasks: 1, estimateS: index === 0 ? 20 : 10 }), {
      totalWaitS: index === 0 ? 40 : 1,
    }),
  );
  assert.equal(
    planTasks(snapshot(jobs, [machine(0)])).starts[0]?.job,
    jobId(1),
    'a wait of 40 s, with 130 s of work on one machine',
  );
  assert.equal(
    planTasks(snapshot(jobs.slice(0, 2), [machine(0), machine(3)])).starts[0]?.job,
    jobId(0),
    'a wait of 40 s, with 15 s of work on each machine',
  );
  const longerWait = [jobView((jobs[0] as JobView).spec, { totalWaitS: 300 }), ...jobs.slice(1)];
  assert.equal(
    planTasks(snapshot(longerWait, [machine(0)])).starts[0]?.job,
    jobId(0),
    'a wait of 300 s, with 130 s of work on one machine',
  );
});

// The service took the resources freed for the array, was preempted for it and took them again, every second.
test('a low-priority service is not placed before an array that may preempt it', () => {
  const service = jobView(
    jobSpec({ id: jobId(1), kind: 'service', cpus: 4, tasks: 1, estimateS: 0, priority: 'low' }),
  );
  const array = jobView(
    jobSpec({ id: jobId(2), cpus: 4, tasks: 1, estimateS: 20, priority: 'normal', team: 'blue' }),
  );
  assert.equal(planTasks(snapshot([service, array], [machine(0)])).starts[0]?.job, jobId(2));
  const samePriority = { ...service, spec: { ...service.spec, priority: 'normal' as const } };
  assert.equal(planTasks(snapshot([samePriority, array], [machine(0)])).starts[0]?.job, jobId(1));
});

// The second service took what was free beside the first one, which was preempted in vain; then the roles changed, 25
// times a second, and the urgent service never started.
for (const kind of ['service', 'array'] as const)
  test(`resources that are free beside a preempted task are reserved for the preemptor: ${kind}`, () => {
    const low = jobSpec({ id: jobId(1), kind: 'service', cpus: 2, tasks: 1, estimateS: 0, priority: 'low' });
    const estimateS = kind === 'service' ? 0 : 5;
    const urgent = jobSpec({ id: jobId(2), kind, cpus: 3, tasks: 1, estimateS, priority: 'high' });
    const running = occupant({ cpus: 2, remainingS: Infinity, priority: 'low', team: 'red' });
    // The urgent array could also start here, but only in a minute.
    const machineOfLongTask = machine(3, 0, { occupants: [occupant({ priority: 'production' })] });
    const machines = [machine(0, 0, { occupants: [running] }), machineOfLongTask];
    const plan = planTasks(snapshot([jobView(low), jobView(urgent)], machines));
    assert.deepEqual(plan.preemptions, [{ job: running.job, task: 0, preemptor: urgent.id }]);
    assert.deepEqual([...plan.starts, ...plan.queuedStarts], []);
  });

// With the waits of all tasks added up, a large array exceeded the starvation threshold within seconds.
test('a large array with a short mean wait does not count as starved', () => {
  const large = jobView(jobSpec({ id: jobId(1), cpus: 4, tasks: 30, estimateS: 20 }), { totalWaitS: 120 });
  const small = jobView(jobSpec({ id: jobId(2), cpus: 4, tasks: 1, estimateS: 5 }), { totalWaitS: 4 });
  assert.equal(planTasks(snapshot([large, small], [machine(0)])).starts[0]?.job, jobId(2));
});

// Without this order, every job of a burst completed late instead of some of them in time.
test('a job that will miss its milestone is placed after one that can meet its own, until it is long overdue', () => {
  const late = jobView(jobSpec({ id: jobId(1), cpus: 4, tasks: 1, estimateS: 5 }), {
    ageS: 90,
    completionMilestonesS: [60],
  });
  const onTime = jobView(jobSpec({ id: jobId(2), cpus: 4, tasks: 1, estimateS: 20 }), {
    completionMilestonesS: [60],
  });
  assert.equal(planTasks(snapshot([late, onTime], [machine(0)])).starts[0]?.job, jobId(2));
  const longOverdue = { ...late, ageS: 400, totalWaitS: 400 };
  assert.equal(planTasks(snapshot([longOverdue, onTime], [machine(0)])).starts[0]?.job, jobId(1));
});

test('a service preempts the lower-priority task that would lose the least work', () => {
  const service = jobView(
    jobSpec({ id: jobId(1), kind: 'service', cpus: 4, tasks: 1, priority: 'production', spot: false }),
  );
  const machines = [
    machine(0, 0, { occupants: [occupant({ lostWorkS: 30, task: 0 })] }),
    machine(1, 0, { occupants: [occupant({ lostWorkS: 3, task: 1 })] }),
  ];
  assert.deepEqual(
    planTasks(snapshot([service], machines)).preemptions.map((preemption) => preemption.task),
    [1],
  );
  const samePriority = { ...service, spec: { ...service.spec, priority: 'normal' as const, team: 'blue' } };
  assert.deepEqual(
    planTasks(snapshot([samePriority], machines)).preemptions,
    [],
    'a task of the same priority is not preempted',
  );
});

// Tasks were preempted 0.3 s after being placed, over and over, on a machine that the preempting job never used.
test('nothing is preempted when preemption would not let the waiting task end earlier', () => {
  const job = jobView(
    jobSpec({ id: jobId(1), kind: 'service', cpus: 4, tasks: 1, priority: 'production', imageGb: 8 }),
  );
  const cachedAndFreeSoon = machine(0, 0, {
    images: new Map([['img', 8]]),
    occupants: [occupant({ remainingS: 1.2, priority: 'production' })],
  });
  const uncached = machine(1, 0, { occupants: [occupant({ lostWorkS: 0.1, task: 1 })] });
  const result = planTasks(snapshot([job], [cachedAndFreeSoon, uncached]));
  assert.deepEqual(result.preemptions, []);
});

test('a task preempts nothing while a stopping task is about to free resources for it', () => {
  const job = jobView(jobSpec({ id: jobId(1), kind: 'service', cpus: 4, tasks: 1, priority: 'production' }));
  const machines = [
    machine(0, 0, { occupants: [occupant({ isStopping: true, remainingS: 2 })] }),
    machine(1, 0, { occupants: [occupant({ task: 1 })] }),
  ];
  assert.deepEqual(planTasks(snapshot([job], machines)).preemptions, []);
});

test("a job within its team's guarantee preempts a task that another team runs beyond its guarantee", () => {
  const job = jobView(jobSpec({ id: jobId(1), cpus: 4, tasks: 1, team: 'red', estimateS: 5 }), {
    toleratedWaitS: 2,
  });
  const beyondGuarantee = jobView(jobSpec({ id: jobId(900), cpus: 4, tasks: 9, team: 'blue' }), {
    pendingTasks: [],
    pendingCount: 0,
  });
  const busy = [machine(0, 0, { occupants: [occupant()] })];
  assert.equal(planTasks(snapshot([job, beyondGuarantee], busy)).preemptions.length, 1);
  const withinGuarantee = { ...beyondGuarantee, unfinishedCount: 1 };
  assert.deepEqual(planTasks(snapshot([job, withinGuarantee], busy)).preemptions, []);
});

test('a replica avoids a machine that has room for a task of the typical size', () => {
  const service = jobView(jobSpec({ id: jobId(1), kind: 'service', cpus: 1, tasks: 1, spot: false }));
  const withTypicalTask = {
    ...snapshot([service], [machine(0, 1), machine(1, 0)]),
    typicalTask: { cpus: 8, gpus: 0, memoryGb: 8 },
  };
  assert.equal(planTasks(withTypicalTask).starts[0]?.machine, machine(1, 0).id);
});

test('a waiting gang reserves its place in the queue, so the next gang is estimated to start after it', () => {
  const gang = (index: number): JobView =>
    jobView(
      jobSpec({
        id: jobId(index),
        kind: 'gang',
        gpus: 4,
        cpus: 2,
        tasks: 1,
        spot: false,
        oneZone: true,
        estimateS: 20,
      }),
    );
  const full = machine(0, 2, {
    occupants: [occupant({ cpus: 2, gpus: 4, remainingS: 10, isPreemptible: false })],
  });
  const { starts, unplacedDemand } = planTasks(snapshot([gang(1), gang(2)], [full]));
  assert.deepEqual(starts, []);
  assert.deepEqual(
    unplacedDemand.map((demand) => Math.round(demand.startsInS)),
    [10, 31],
  );
});

test('a gang that is too long for its completion milestone still starts by its start milestone', () => {
  const milestones = { milestonesS: [40], startMilestonesS: [30], pending: [0] };
  const gang = { kind: 'gang', gpus: 4, cpus: 2, tasks: 1, spot: false, estimateS: 60 } as const;
  const long = jobView(jobSpec({ id: jobId(1), ...gang }), { ...milestones, totalWaitS: 50 });
  const short = jobView(jobSpec({ id: jobId(2), ...gang, estimateS: 5 }), milestones);
  const withThreshold = { ...snapshot([long, short], [machine(0, 2)]), starvationThresholdS: 30 };
  assert.deepEqual(
    planTasks(withThreshold).starts.map((start) => start.job),
    [jobId(1)],
  );
});

test('a gang preempts for all of its tasks or for none', () => {
  const gang = jobView(
    jobSpec({
      id: jobId(1),
      kind: 'gang',
      priority: 'high',
      gpus: 4,
      cpus: 2,
      tasks: 2,
      spot: false,
      estimateS: 5,
    }),
  );
  const smallTasks = Array.from({ length: 4 }, (_, task) => occupant({ task, cpus: 1, gpus: 1 }));
  const highPriorityTask = occupant({ job: jobId(901), cpus: 1, gpus: 4, priority: 'high' });
  const busy = (index: number, occupants: Occupant[]): MachineView => machine(index, 2, { occupants });
  const onePreemptible = planTasks(snapshot([gang], [busy(0, smallTasks), busy(3, [highPriorityTask])]));
  assert.deepEqual(onePreemptible.preemptions, []);
  const moreSmallTasks = smallTasks.map((occupant) => ({ ...occupant, job: jobId(902) }));
  assert.equal(
    planTasks(snapshot([gang], [busy(0, smallTasks), busy(3, moreSmallTasks)])).preemptions.length,
    8,
  );
});

test('a gang starts on a free machine instead of waiting for a busy one that has its image', () => {
  const gang = jobView(
    jobSpec({
      id: jobId(1),
      kind: 'gang',
      gpus: 4,
      cpus: 2,
      tasks: 1,
      imageGb: 12,
      spot: false,
      estimateS: 5,
    }),
    { toleratedWaitS: 50 },
  );
  const busyWithImage = machine(0, 2, {
    images: new Map([['img', 12]]),
    occupants: [occupant({ cpus: 2, gpus: 4, remainingS: 8, priority: 'high' })],
  });
  assert.equal(
    planTasks(snapshot([gang], [busyWithImage, machine(3, 2)])).starts[0]?.machine,
    machine(3, 2).id,
  );
});

// Waiting tasks were estimated to start before any resources were free for them, so machines for a burst were
// requested a minute late.
test('the estimated start of waiting tasks is the time when resources for all of them are free', () => {
  const busy = Array.from({ length: 10 }, (_, index) =>
    machine(index, 2, {
      occupants: [occupant({ cpus: 8, gpus: 4, remainingS: (index + 1) * 5, priority: 'high' })],
    }),
  );
  const waiting = jobView(jobSpec({ id: jobId(1), cpus: 8, gpus: 4, tasks: 6, estimateS: 50, team: 'red' }));
  const teams = [{ name: 'red', cpus: 1e6, cpusMax: 1e6, gpus: 1e6, gpusMax: 1e6 }];
  const { unplacedDemand } = planTasks({ ...snapshot([waiting], busy), teams });
  assert.equal(unplacedDemand.length, 1);
  const startsInS = unplacedDemand[0]?.startsInS;
  assert.ok(Math.abs((startsInS ?? 0) - 30) < 1, `${startsInS}`);
});

test('a large job that has not started after 150 s starts one task before smaller jobs', () => {
  const large = (ageS: number, overrides: Partial<JobView> = {}): JobView =>
    jobView(jobSpec({ id: jobId(1), tasks: 4, cpus: 2, estimateS: 30 }), {
      ageS,
      totalWaitS: 0,
      ...overrides,
    });
  const small = [2, 3, 4].map((index) =>
    jobView(jobSpec({ id: jobId(index), tasks: 1, cpus: 2, estimateS: 2 }), { ageS: 1 }),
  );
  const startedTasks = (job: JobView): string[] =>
    planTasks(snapshot([job, ...small], [machine(1)])).starts.map((start) => `${start.job}/${start.task}`);
  assert.deepEqual(startedTasks(large(100)), [`${jobId(2)}/0`, `${jobId(3)}/0`]);
  assert.deepEqual(startedTasks(large(150)), [`${jobId(1)}/0`, `${jobId(2)}/0`]);
  // A job that has started already has no precedence.
  const partlyStarted = { pendingCount: 3, pending: [1, 2, 3], unfinished: 4, zones: ['a'] };
  assert.deepEqual(startedTasks(large(150, partlyStarted)), [`${jobId(2)}/0`, `${jobId(3)}/0`]);
});

// Known red: the tasks of the gang that need no preemption are not counted where others are preempted for the rest.
test('a gang preempts nothing if its tasks do not fit together even then', () => {
  const running = occupant({ cpus: 4, priority: 'low', remainingS: 600 });
  const gang = jobView(jobSpec({ id: jobId(1), kind: 'gang', tasks: 2, cpus: 9, priority: 'production' }), {
    ageS: 20,
  });
  const { starts, preemptions } = planTasks(snapshot([gang], [machine(1, 1, { occupants: [running] })]));
  assert.deepEqual([starts, preemptions], [[], []], '9 and 9 CPUs on a machine of 16');
});
