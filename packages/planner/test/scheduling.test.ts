import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobSpec } from '@spurbridge/testkit';
import type { JobView, MachineView, Occupant } from '../src/index.js';
import { planTasks } from '../src/index.js';
import { id, machine, occupant, snapshot, view } from './snapshot-fixtures.js';

test('the smallest estimated completion goes first, the starved before it, services before both', () => {
  const one = [machine(0)];
  const long = view(jobSpec({ id: id(1), cpus: 4, tasks: 1, estimateS: 10 }));
  const short = view(jobSpec({ id: id(2), cpus: 4, tasks: 1, estimateS: 4 }));
  assert.equal(planTasks(snapshot([long, short], one)).starts[0]?.job, id(2));
  const starved = { ...long, totalWaitS: 31 };
  assert.equal(planTasks(snapshot([starved, short], one)).starts[0]?.job, id(1));
  const service = view(jobSpec({ id: id(3), kind: 'service', cpus: 4, tasks: 1, estimateS: 0 }));
  assert.equal(planTasks(snapshot([starved, short, service], one)).starts[0]?.job, id(3));
});

// A burst was served in the order of its arrival, each job at the last moment, and none of some two hundred in time.
test('in a long queue a job that waits as long as all others is not starved', () => {
  const jobs = Array.from({ length: 12 }, (_, index) =>
    view(jobSpec({ id: id(index), cpus: 4, tasks: 1, estimateS: index === 0 ? 20 : 10 }), {
      totalWaitS: index === 0 ? 40 : 1,
    }),
  );
  assert.equal(
    planTasks(snapshot(jobs, [machine(0)])).starts[0]?.job,
    id(1),
    '130 s of work for one machine',
  );
  assert.equal(
    planTasks(snapshot(jobs.slice(0, 2), [machine(0), machine(3)])).starts[0]?.job,
    id(0),
    '15 s each',
  );
  const older = [view((jobs[0] as JobView).spec, { totalWaitS: 300 }), ...jobs.slice(1)];
  assert.equal(
    planTasks(snapshot(older, [machine(0)])).starts[0]?.job,
    id(0),
    'twice the time for all of it',
  );
});

// It took the room that was made for the array, was stopped for it and took it again, every second.
test('a service of low priority is not placed before work that it would be preempted for', () => {
  const service = view(
    jobSpec({ id: id(1), kind: 'service', cpus: 4, tasks: 1, estimateS: 0, priority: 'low' }),
  );
  const array = view(
    jobSpec({ id: id(2), cpus: 4, tasks: 1, estimateS: 20, priority: 'normal', team: 'blue' }),
  );
  assert.equal(planTasks(snapshot([service, array], [machine(0)])).starts[0]?.job, id(2));
  const alike = { ...service, spec: { ...service.spec, priority: 'normal' as const } };
  assert.equal(planTasks(snapshot([alike, array], [machine(0)])).starts[0]?.job, id(1));
});

// Summed over its tasks, a huge array passed the starvation threshold within seconds.
test('a huge array is not starved sooner than a small job', () => {
  const huge = view(jobSpec({ id: id(1), cpus: 4, tasks: 30, estimateS: 20 }), { totalWaitS: 120 });
  const small = view(jobSpec({ id: id(2), cpus: 4, tasks: 1, estimateS: 5 }), { totalWaitS: 4 });
  assert.equal(planTasks(snapshot([huge, small], [machine(0)])).starts[0]?.job, id(2));
});

// In a burst every job was served late in turn instead of some of them in time.
test('a job that will miss its milestone goes behind one that can still meet its own, but not for ever', () => {
  const lost = view(jobSpec({ id: id(1), cpus: 4, tasks: 1, estimateS: 5 }), {
    ageS: 90,
    completionMilestonesS: [60],
  });
  const fine = view(jobSpec({ id: id(2), cpus: 4, tasks: 1, estimateS: 20 }), {
    completionMilestonesS: [60],
  });
  assert.equal(planTasks(snapshot([lost, fine], [machine(0)])).starts[0]?.job, id(2));
  const old = { ...lost, ageS: 400, totalWaitS: 400 };
  assert.equal(planTasks(snapshot([old, fine], [machine(0)])).starts[0]?.job, id(1));
});

test('a service preempts the task of lower priority that loses least work', () => {
  const service = view(
    jobSpec({ id: id(1), kind: 'service', cpus: 4, tasks: 1, priority: 'production', spot: false }),
  );
  const machines = [
    machine(0, 0, { occupants: [occupant({ lostWorkS: 30, task: 0 })] }),
    machine(1, 0, { occupants: [occupant({ lostWorkS: 3, task: 1 })] }),
  ];
  assert.deepEqual(
    planTasks(snapshot([service], machines)).preemptions.map((preemption) => preemption.task),
    [1],
  );
  const low = { ...service, spec: { ...service.spec, priority: 'normal' as const, team: 'blue' } };
  assert.deepEqual(planTasks(snapshot([low], machines)).preemptions, [], 'the same priority is not stopped');
});

// Tasks were stopped 0.3 s after being placed, over and over, where the favoured job never went.
test('nothing is preempted when the favoured task would end no sooner by it', () => {
  const job = view(
    jobSpec({ id: id(1), kind: 'service', cpus: 4, tasks: 1, priority: 'production', imageGb: 8 }),
  );
  const cachedSoon = machine(0, 0, {
    images: new Map([['img', 8]]),
    occupants: [occupant({ remainingS: 1.2, priority: 'production' })],
  });
  const uncached = machine(1, 0, { occupants: [occupant({ lostWorkS: 0.1, task: 1 })] });
  const result = planTasks(snapshot([job], [cachedSoon, uncached]));
  assert.deepEqual(result.preemptions, []);
});

test('a task for which another one is stopping preempts no second one', () => {
  const job = view(jobSpec({ id: id(1), kind: 'service', cpus: 4, tasks: 1, priority: 'production' }));
  const machines = [
    machine(0, 0, { occupants: [occupant({ isStopping: true, remainingS: 2 })] }),
    machine(1, 0, { occupants: [occupant({ task: 1 })] }),
  ];
  assert.deepEqual(planTasks(snapshot([job], machines)).preemptions, []);
});

test("a team's guarantee stops what another team runs beyond its own", () => {
  const job = view(jobSpec({ id: id(1), cpus: 4, tasks: 1, team: 'red', estimateS: 5 }), {
    toleratedWaitS: 2,
  });
  const beyond = view(jobSpec({ id: id(900), cpus: 4, tasks: 9, team: 'blue' }), {
    pendingTasks: [],
    pendingCount: 0,
  });
  const busy = [machine(0, 0, { occupants: [occupant()] })];
  assert.equal(planTasks(snapshot([job, beyond], busy)).preemptions.length, 1);
  const inside = { ...beyond, unfinishedCount: 1 };
  assert.deepEqual(planTasks(snapshot([job, inside], busy)).preemptions, []);
});

test('replicas avoid machines that a whole task would fit on', () => {
  const service = view(jobSpec({ id: id(1), kind: 'service', cpus: 1, tasks: 1, spot: false }));
  const withTypicalTask = {
    ...snapshot([service], [machine(0, 1), machine(1, 0)]),
    typicalTask: { cpus: 8, gpus: 0, memoryGb: 8 },
  };
  assert.equal(planTasks(withTypicalTask).starts[0]?.machine, machine(1, 0).id);
});

test('a waiting gang keeps its places in the queues, so that the next one is known to start later', () => {
  const gang = (index: number): JobView =>
    view(
      jobSpec({
        id: id(index),
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
  const { starts, unplacedDemand: unmet } = planTasks(snapshot([gang(1), gang(2)], [full]));
  assert.deepEqual(starts, []);
  assert.deepEqual(
    unmet.map((demand) => Math.round(demand.startsInS)),
    [10, 31],
  );
});

test('a gang too long for its completion milestone still starts by its start milestone', () => {
  const aims = { milestonesS: [40], startMilestonesS: [30], pending: [0] };
  const gang = { kind: 'gang', gpus: 4, cpus: 2, tasks: 1, spot: false, estimateS: 60 } as const;
  const long = view(jobSpec({ id: id(1), ...gang }), { ...aims, totalWaitS: 50 });
  const short = view(jobSpec({ id: id(2), ...gang, estimateS: 5 }), aims);
  const withThreshold = { ...snapshot([long, short], [machine(0, 2)]), starvationThresholdS: 30 };
  assert.deepEqual(
    planTasks(withThreshold).starts.map((start) => start.job),
    [id(1)],
  );
});

test('a gang makes room for all its tasks or for none', () => {
  const gang = view(
    jobSpec({
      id: id(1),
      kind: 'gang',
      priority: 'high',
      gpus: 4,
      cpus: 2,
      tasks: 2,
      spot: false,
      estimateS: 5,
    }),
  );
  const clips = Array.from({ length: 4 }, (_, task) => occupant({ task, cpus: 1, gpus: 1 }));
  const high = occupant({ job: id(901), cpus: 1, gpus: 4, priority: 'high' });
  const busy = (index: number, occupants: Occupant[]): MachineView => machine(index, 2, { occupants });
  const half = planTasks(snapshot([gang], [busy(0, clips), busy(3, [high])]));
  assert.deepEqual(half.preemptions, []);
  const others = clips.map((occupant) => ({ ...occupant, job: id(902) }));
  assert.equal(planTasks(snapshot([gang], [busy(0, clips), busy(3, others)])).preemptions.length, 8);
});

test('a gang takes free machines rather than wait for machines that have its image', () => {
  const gang = view(
    jobSpec({ id: id(1), kind: 'gang', gpus: 4, cpus: 2, tasks: 1, imageGb: 12, spot: false, estimateS: 5 }),
    { toleratedWaitS: 50 },
  );
  const held = machine(0, 2, {
    images: new Map([['img', 12]]),
    occupants: [occupant({ cpus: 2, gpus: 4, remainingS: 8, priority: 'high' })],
  });
  assert.equal(planTasks(snapshot([gang], [held, machine(3, 2)])).starts[0]?.machine, machine(3, 2).id);
});

// A burst's tasks were taken to start before anything was free for them: machines came a minute late.
test('waiting tasks are estimated to start no sooner than room for all of them comes free', () => {
  const busy = Array.from({ length: 10 }, (_, index) =>
    machine(index, 2, {
      occupants: [occupant({ cpus: 8, gpus: 4, remainingS: (index + 1) * 5, priority: 'high' })],
    }),
  );
  const waiting = view(jobSpec({ id: id(1), cpus: 8, gpus: 4, tasks: 6, estimateS: 50, team: 'red' }));
  const teams = [{ name: 'red', cpus: 1e6, cpusMax: 1e6, gpus: 1e6, gpusMax: 1e6 }];
  const { unplacedDemand: unmet } = planTasks({ ...snapshot([waiting], busy), teams });
  assert.equal(unmet.length, 1);
  assert.ok(Math.abs((unmet[0]?.startsInS ?? 0) - 30) < 1, `${unmet[0]?.startsInS}`);
});

test('a large job that has not started after two and a half minutes starts with one task, ahead of smaller jobs', () => {
  const large = (ageS: number, over: Partial<JobView> = {}): JobView =>
    view(jobSpec({ id: id(1), tasks: 4, cpus: 2, estimateS: 30 }), { ageS, totalWaitS: 0, ...over });
  const small = [2, 3, 4].map((index) =>
    view(jobSpec({ id: id(index), tasks: 1, cpus: 2, estimateS: 2 }), { ageS: 1 }),
  );
  const started = (job: JobView): string[] =>
    planTasks(snapshot([job, ...small], [machine(1)])).starts.map((start) => `${start.job}/${start.task}`);
  assert.deepEqual(started(large(100)), [`${id(2)}/0`, `${id(3)}/0`]);
  assert.deepEqual(started(large(150)), [`${id(1)}/0`, `${id(2)}/0`]);
  // Of one that has begun the order alone decides.
  const begun = { pendingCount: 3, pending: [1, 2, 3], unfinished: 4, zones: ['a'] };
  assert.deepEqual(started(large(150, begun)), [`${id(2)}/0`, `${id(3)}/0`]);
});
