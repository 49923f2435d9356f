import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { JobId, JobKind, JobSpec, MachineId, JobPriority } from '@spurbridge/wire';
import { TEAMS, TYPES, ZONES, jobSpec } from '@spurbridge/testkit';
import type { JobView, MachineView, Occupant, ClusterSnapshot } from '../src/index.js';
import { planTasks } from '../src/index.js';

const id = (n: number): JobId => `wk-${String(n).padStart(6, '0')}` as JobId;

function view(spec: JobSpec, over: Partial<JobView> = {}): JobView {
  return {
    spec,
    pendingTasks: Array.from({ length: spec.tasks }, (_, t) => t),
    pendingCount: spec.tasks,
    unfinishedCount: spec.tasks,
    placedZones: [],
    totalWaitS: 0,
    ageS: 0,
    estimateS: Math.max(spec.estimateS, 0.5),
    completionMilestonesS: [],
    startMilestonesS: [],
    toleratedWaitS: 1,
    excludedMachines: new Set(),
    submissionOrder: Number(spec.id.slice(3)),
    isStartable: true,
    ...over,
  };
}

function machine(n: number, type = 0, over: Partial<MachineView> = {}): MachineView {
  return {
    id: `n-${String(n).padStart(6, '0')}` as MachineId,
    type: TYPES[type] as MachineView['type'],
    zone: ZONES[n % 3] as string,
    spot: false,
    isSchedulable: true,
    images: new Map(),
    slowness: 1,
    occupants: [],
    ...over,
  };
}

function occupant(over: Partial<Occupant> = {}): Occupant {
  return {
    job: id(900),
    task: 0,
    cpus: 4,
    gpus: 0,
    memoryGb: 2,
    remainingS: 60,
    lostWorkS: 5,
    priority: 'normal',
    team: 'blue',
    isStopping: false,
    isPreemptible: true,
    ...over,
  };
}

const snapshot = (jobs: JobView[], machines: MachineView[]): ClusterSnapshot => ({
  jobs,
  machines,
  teams: TEAMS,
  starvationThresholdS: 30,
  placeAheadS: 0,
  typicalTask: null,
  isCostAware: false,
});

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

test('whatever the snapshot, what a plan starts keeps the rules of place, room and quota', () => {
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

test('the fast plan starts and stops what the plain one would', () => {
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

test('what a plan costs grows no faster than its machines, and hardly with the jobs that wait', () => {
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
test('in a long queue nobody is starved for waiting as long as everybody does', () => {
  const jobs = Array.from({ length: 12 }, (_, i) =>
    view(jobSpec({ id: id(i), cpus: 4, tasks: 1, estimateS: i === 0 ? 20 : 10 }), {
      totalWaitS: i === 0 ? 40 : 1,
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
test('a service of low priority is not placed before work that it would be stopped for', () => {
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
test('a job that will miss its aim goes behind one that can still meet it, but not for ever', () => {
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

test('a service stops the task of lower priority that loses least', () => {
  const service = view(
    jobSpec({ id: id(1), kind: 'service', cpus: 4, tasks: 1, priority: 'production', spot: false }),
  );
  const machines = [
    machine(0, 0, { occupants: [occupant({ lostWorkS: 30, task: 0 })] }),
    machine(1, 0, { occupants: [occupant({ lostWorkS: 3, task: 1 })] }),
  ];
  assert.deepEqual(
    planTasks(snapshot([service], machines)).preemptions.map((x) => x.task),
    [1],
  );
  const low = { ...service, spec: { ...service.spec, priority: 'normal' as const, team: 'blue' } };
  assert.deepEqual(planTasks(snapshot([low], machines)).preemptions, [], 'the same priority is not stopped');
});

// Tasks were stopped 0.3 s after being placed, over and over, where the favoured job never went.
test('nothing is stopped when the favoured task would end no sooner by it', () => {
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

test('a stop under way is not joined by a second one for the same task', () => {
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

test('replicas stay off machines that a whole task would fit', () => {
  const service = view(jobSpec({ id: id(1), kind: 'service', cpus: 1, tasks: 1, spot: false }));
  const s = {
    ...snapshot([service], [machine(0, 1), machine(1, 0)]),
    typicalTask: { cpus: 8, gpus: 0, memoryGb: 8 },
  };
  assert.equal(planTasks(s).starts[0]?.machine, machine(1, 0).id);
});

test('a waiting gang keeps its places, so that the next one is known to start later', () => {
  const gang = (n: number): JobView =>
    view(
      jobSpec({
        id: id(n),
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
    unmet.map((u) => Math.round(u.startsInS)),
    [10, 31],
  );
});

test('a gang too long for its last aim still starts in time for its first', () => {
  const aims = { milestonesS: [40], startMilestonesS: [30], pending: [0] };
  const gang = { kind: 'gang', gpus: 4, cpus: 2, tasks: 1, spot: false, estimateS: 60 } as const;
  const long = view(jobSpec({ id: id(1), ...gang }), { ...aims, totalWaitS: 50 });
  const short = view(jobSpec({ id: id(2), ...gang, estimateS: 5 }), aims);
  const s = { ...snapshot([long, short], [machine(0, 2)]), starvationThresholdS: 30 };
  assert.deepEqual(
    planTasks(s).starts.map((x) => x.job),
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
  const busy = (n: number, occupants: Occupant[]): MachineView => machine(n, 2, { occupants });
  const half = planTasks(snapshot([gang], [busy(0, clips), busy(3, [high])]));
  assert.deepEqual(half.preemptions, []);
  const others = clips.map((o) => ({ ...o, job: id(902) }));
  assert.equal(planTasks(snapshot([gang], [busy(0, clips), busy(3, others)])).preemptions.length, 8);
});

test('a gang takes room at hand rather than wait for machines that hold its image', () => {
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
test('tasks that wait are known to start no sooner than room for all of them comes free', () => {
  const busy = Array.from({ length: 10 }, (_, n) =>
    machine(n, 2, { occupants: [occupant({ cpus: 8, gpus: 4, remainingS: (n + 1) * 5, priority: 'high' })] }),
  );
  const waiting = view(jobSpec({ id: id(1), cpus: 8, gpus: 4, tasks: 6, estimateS: 50, team: 'red' }));
  const teams = [{ name: 'red', cpus: 1e6, cpusMax: 1e6, gpus: 1e6, gpusMax: 1e6 }];
  const { unplacedDemand: unmet } = planTasks({ ...snapshot([waiting], busy), teams });
  assert.equal(unmet.length, 1);
  assert.ok(Math.abs((unmet[0]?.startsInS ?? 0) - 30) < 1, `${unmet[0]?.startsInS}`);
});

test('a large job that has not begun after two and a half minutes begins with one task, ahead of smaller ones', () => {
  const large = (ageS: number, over: Partial<JobView> = {}): JobView =>
    view(jobSpec({ id: id(1), tasks: 4, cpus: 2, estimateS: 30 }), { ageS, totalWaitS: 0, ...over });
  const small = [2, 3, 4].map((n) =>
    view(jobSpec({ id: id(n), tasks: 1, cpus: 2, estimateS: 2 }), { ageS: 1 }),
  );
  const started = (j: JobView): string[] =>
    planTasks(snapshot([j, ...small], [machine(1)])).starts.map((s) => `${s.job}/${s.task}`);
  assert.deepEqual(started(large(100)), [`${id(2)}/0`, `${id(3)}/0`]);
  assert.deepEqual(started(large(150)), [`${id(1)}/0`, `${id(2)}/0`]);
  // Of one that has begun the order alone decides.
  const begun = { pendingCount: 3, pending: [1, 2, 3], unfinished: 4, zones: ['a'] };
  assert.deepEqual(started(large(150, begun)), [`${id(2)}/0`, `${id(3)}/0`]);
});
