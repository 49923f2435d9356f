import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobId, MachineId, MachineType } from '@spurbridge/wire';
import { TYPES, jobSpec } from '@spurbridge/testkit';
import type { FleetInput, FleetMachine, Replica, Unmet } from '../src/index.js';
import { planFleet } from '../src/index.js';

const [s4, m16] = TYPES as readonly [MachineType, MachineType];
const replica: Replica = {
  cpus: 2,
  memoryGb: 2,
  gpus: 0,
  spot: false,
  types: null,
  zone: null,
  image: 'img',
  beside: null,
};

function machine(n: number, type: MachineType, over: Partial<FleetMachine> = {}): FleetMachine {
  return {
    id: `n-${n}` as MachineId,
    type,
    zone: 'a',
    spot: false,
    booting: false,
    returnable: true,
    idleS: 0,
    usedCpus: 0,
    usedGpus: 0,
    usedMemoryGb: 0,
    steadyCpus: 0,
    steadyMemoryGb: 0,
    takesTasks: true,
    images: new Map([['img', 1]]),
    replicas: [],
    settled: true,
    ...over,
  };
}

function unmet(over: Partial<Parameters<typeof jobSpec>[0]>, more: Partial<Unmet> = {}): Unmet {
  const spec = jobSpec({ id: 'wk-000001' as JobId, ...over });
  const job = {
    spec,
    pending: [],
    pendingCount: spec.tasks,
    unfinished: spec.tasks,
    zones: [],
    summedWaitS: 0,
    ageS: 0,
    estimateS: spec.estimateS,
    milestonesS: [],
    startMilestonesS: [],
    patienceS: 1,
    avoid: new Set<MachineId>(),
    order: 0,
    startable: true,
  };
  return {
    job,
    tasks: spec.tasks,
    startsInS: Infinity,
    withinLimit: true,
    guaranteed: true,
    zone: null,
    ...more,
  };
}

function input(over: Partial<FleetInput>): FleetInput {
  return {
    types: TYPES,
    machines: [],
    unmet: [],
    policy: {
      frugal: true,
      consolidates: true,
      idleS: 25,
      targetCpus: 0,
      targetOrdinaryCpus: 0,
      spreads: false,
      burstCpus: 0,
      easyMachines: 100,
      bootShare: 0.5,
    },
    available: () => true,
    ...over,
  };
}

const rented = (over: Partial<FleetInput>): number =>
  planFleet(input(over)).rent.reduce(
    (n, r) => n + r.count * (TYPES.find((t) => t.name === r.type)?.cpus ?? 0),
    0,
  );

// A burst had its machines half a minute after its end: each job was rented for once it was predicted to be late.
test('work that arrives faster than the fleet can take it is rented for before it is late', () => {
  const policy = { ...input({}).policy, burstCpus: 160 };
  const machines = [machine(1, m16, { usedCpus: 16 })];
  const early = unmet({ cpus: 4, tasks: 2, spot: true, deadlineS: 600 }, { startsInS: 2, guaranteed: false });
  const cpus = (over: Partial<FleetInput>): number =>
    planFleet(input({ machines, policy, unmet: [early], ...over })).rent.reduce(
      (sum, r) => sum + r.count * (TYPES.find((t) => t.name === r.type)?.cpus ?? 0),
      0,
    );
  assert.ok(cpus({}) >= 144 && cpus({}) < 176, `${cpus({})} CPUs`);
  assert.equal(cpus({ policy: { ...policy, burstCpus: 18 } }), 0, 'uneven arrivals are no burst');
  assert.equal(cpus({ unmet: [] }), 0, 'nothing waits');
  const refused = planFleet(
    input({ machines, policy, unmet: [early], available: (_t, _z, spot) => !spot }),
  ).rent;
  assert.ok(refused.length > 0 && refused.every((r) => !r.spot), 'ordinary ones where spot ones are refused');
});

// All of the reserve lay in one zone: half of every new service waited for a machine to boot in another.
test('spare room for services that spread over zones is kept in more than one, and only there where it helps', () => {
  const policy = { ...input({}).policy, targetOrdinaryCpus: 64, spreads: true };
  const full = { usedCpus: 16, steadyCpus: 16 };
  const machines = [
    machine(1, m16, { zone: 'a' }),
    machine(2, m16, { zone: 'a', idleS: 100 }),
    machine(3, m16, { zone: 'b', ...full }),
    machine(4, m16, { zone: 'c', ...full }),
  ];
  const rent = (over: Partial<FleetInput>): (string | undefined)[] =>
    planFleet(input({ machines, policy, ...over })).rent.map((r) => r.zone);
  assert.deepEqual(rent({}), ['b']);
  assert.deepEqual(
    rent({ available: (_t, zone) => zone === 'a' }),
    [],
    'more in the roomiest zone helps nobody',
  );
  assert.deepEqual(rent({ policy: { ...policy, spreads: false } }), [], 'enough, were zones no matter');
  const even = [...machines, machine(5, m16, { zone: 'b' })];
  assert.deepEqual(rent({ machines: even }), []);
  // What is spare in the roomiest zone alone may go back, what the others need may not.
  assert.deepEqual(planFleet(input({ machines: even, policy })).release, ['n-2']);
  const idle = even.map((m) => (m.id === 'n-5' ? { ...m, idleS: 100 } : { ...m, idleS: 0 }));
  assert.deepEqual(planFleet(input({ machines: idle, policy })).release, []);
});

test('work that waits is met by spot machines where it may use them', () => {
  const result = planFleet(input({ unmet: [unmet({ tasks: 4, cpus: 2 })] }));
  assert.ok(result.rent.length > 0 && result.rent.every((r) => r.spot));
  const service = planFleet(input({ unmet: [unmet({ kind: 'service', spot: false })] }));
  assert.ok(service.rent.length > 0 && service.rent.every((r) => !r.spot));
});

test('machines under way count, and what the limit keeps back rents nothing', () => {
  const coming = [machine(1, m16, { booting: true, spot: true, takesTasks: false })];
  assert.equal(rented({ unmet: [unmet({ tasks: 8, cpus: 2 })], machines: coming }), 0);
  assert.ok(rented({ unmet: [unmet({ tasks: 9, cpus: 2 })], machines: coming }) > 0);
  assert.equal(rented({ unmet: [unmet({}, { withinLimit: false })] }), 0);
  // Not heard since a takeover, and full of what the records say.
  const full = [machine(1, m16, { booting: true, spot: true, takesTasks: false, usedCpus: 16 })];
  assert.ok(rented({ unmet: [unmet({ tasks: 8, cpus: 2 })], machines: full }) > 0);
});

// With 800 small machines, a leader on a sixth of a core was behind for half a minute in a takeover.
test('where machines are many, larger ones are preferred at a slightly higher price', () => {
  const types = TYPES.map((t) => (t.name === 's4' ? { ...t, spotPrice: t.spotPrice * 0.9 } : t));
  const rent = (easyMachines: number): string[] => {
    const policy = { ...input({}).policy, easyMachines };
    const job = unmet({ tasks: 64, cpus: 4, gpus: 0, memoryGb: 8 });
    return planFleet(input({ types, unmet: [job], policy })).rent.map((r) => r.type);
  };
  assert.deepEqual(new Set(rent(1000)), new Set(['s4']));
  assert.ok(rent(20).includes('m16'));
});

// A start with no machines rented a place for each of thousands of waiting tasks.
test('tasks that can take turns before their deadline rent no place each', () => {
  const rentedFor = (deadlineS: number | null, guaranteed: boolean): number =>
    rented({ unmet: [unmet({ tasks: 64, cpus: 2, estimateS: 10, deadlineS }, { guaranteed })] });
  assert.equal(rentedFor(null, false), 128);
  assert.equal(rentedFor(20, false), 128);
  assert.equal(rentedFor(60, true), 128);
  const inTurn = rentedFor(60, false);
  assert.ok(inTurn <= 64 && inTurn >= 24, `${inTurn}`);
});

test('without spot capacity, ordinary machines are rented for arrays only under a deadline', () => {
  const noSpot = { available: (_t: string, _z: string, spot: boolean) => !spot };
  assert.equal(rented({ ...noSpot, unmet: [unmet({ deadlineS: 500, estimateS: 5 })] }), 0);
  assert.ok(rented({ ...noSpot, unmet: [unmet({ deadlineS: 12, estimateS: 5 })] }) > 0);
});

test('idle machines go back down to what the recent past needed, the dearest first', () => {
  const machines = [
    machine(1, s4, { idleS: 60, spot: true }),
    machine(2, s4, { idleS: 30 }),
    machine(3, m16, { usedCpus: 8 }),
  ];
  assert.deepEqual(planFleet(input({ machines })).release, ['n-2', 'n-1']);
  const policy = { ...input({}).policy, targetCpus: 20 };
  assert.deepEqual(planFleet(input({ machines, policy })).release, ['n-2']);
  assert.deepEqual(planFleet(input({ machines, unmet: [unmet({})] })).release, []);
});

// Half the ordinary CPUs stood empty beside replicas that would have fitted on fewer machines.
test('a machine whose replicas fit elsewhere is drained, one that serves alone is not', () => {
  const loose = machine(1, m16, { usedCpus: 2, usedMemoryGb: 2, replicas: [replica] });
  const other = machine(2, m16, { usedCpus: 12, usedMemoryGb: 2, replicas: [replica] });
  assert.equal(planFleet(input({ machines: [loose, other] })).drain, 'n-1');
  assert.equal(planFleet(input({ machines: [loose] })).drain, null);
  assert.equal(
    planFleet(
      input({
        machines: [
          { ...loose, settled: false },
          { ...other, settled: false },
        ],
      }),
    ).drain,
    null,
  );
  // Moved to a machine without its image, a replica was away for the seconds of the fetch.
  const bare = { ...other, images: new Map<string, number>(), settled: false };
  assert.equal(planFleet(input({ machines: [loose, bare] })).drain, null);
  // At most one in a zone: there is another one in the zone of the other machine.
  const held = new Map([
    ['a', 1],
    ['b', 1],
  ]);
  const away = { ...other, zone: 'b', settled: false };
  const pinned = { ...loose, replicas: [{ ...replica, beside: { held, most: 1, oneZone: false } }] };
  assert.equal(planFleet(input({ machines: [pinned, away] })).drain, null);
  const free = { ...loose, replicas: [{ ...replica, beside: { held, most: 2, oneZone: false } }] };
  assert.equal(planFleet(input({ machines: [free, away] })).drain, 'n-1');
});

// Replicas of a lost machine waited 40 s for a new one to boot.
test('ordinary room for the loss of one machine is rented ahead', () => {
  const policy = { ...input({}).policy, targetOrdinaryCpus: 24 };
  const machines = [machine(1, m16, { usedCpus: 12, replicas: [replica] })];
  const result = planFleet(input({ machines, policy }));
  assert.ok(result.rent.length > 0 && result.rent.every((r) => !r.spot));
  const coming = [...machines, machine(2, m16, { booting: true, takesTasks: false })];
  assert.deepEqual(planFleet(input({ machines: coming, policy })).rent, []);
});

test('cheap machines go back while only ordinary ones are wanted', () => {
  const idle = { idleS: 100 };
  const machines = [machine(1, s4, { spot: true, ...idle }), machine(2, s4, idle)];
  const waiting = unmet({ kind: 'gang', spot: false, cpus: 2, tasks: 1 }, { startsInS: 5 });
  assert.deepEqual(planFleet(input({ machines, unmet: [waiting] })).release, ['n-1']);
});

test('a gang bound to a zone is not met by machines under way in two', () => {
  const half = (n: number, zone: string): FleetMachine => machine(n, s4, { zone, booting: true });
  const gang = unmet({ kind: 'gang', spot: false, oneZone: true, cpus: 4, memoryGb: 2, tasks: 2 });
  const { rent } = planFleet(input({ machines: [half(1, 'a'), half(2, 'b')], unmet: [gang] }));
  assert.deepEqual(
    rent.map((r) => [r.zone, r.count]),
    [['a', 1]],
  );
});

test('replicas with accelerators are moved only where accelerators are free', () => {
  const g8 = TYPES[2] as MachineType;
  const fits = { ...replica, gpus: 2 };
  const from = machine(1, g8, { replicas: [fits], usedCpus: 2, usedGpus: 2, usedMemoryGb: 2 });
  const to = (usedGpus: number): FleetMachine => machine(2, g8, { usedCpus: 2, usedGpus, settled: false });
  const drained = (usedGpus: number): unknown => planFleet(input({ machines: [from, to(usedGpus)] })).drain;
  assert.equal(drained(3), null);
  assert.equal(drained(2), from.id);
});

test('without spot capacity, a burst is met with ordinary machines while they let it be in time', () => {
  const rented = (ageS: number, startsInS: number): number => {
    const u = unmet({ tasks: 4, estimateS: 20 }, { startsInS });
    const job = { ...u.job, ageS, milestonesS: [60] };
    const noSpot = (_type: string, _zone: string, spot: boolean): boolean => !spot;
    const plan = planFleet(input({ unmet: [{ ...u, job }], available: noSpot }));
    return plan.rent.reduce((n, r) => n + r.count, 0);
  };
  assert.ok(rented(10, 60) > 0);
  assert.equal(rented(10, 5), 0);
});

test('a gang whose zone has no more to give is rented for as a whole in another', () => {
  const gang = unmet(
    { kind: 'gang', spot: false, oneZone: true, cpus: 4, memoryGb: 2, tasks: 3 },
    { tasks: 1, zone: 'a' },
  );
  const whole = { ...gang, job: { ...gang.job, pending: [0, 1, 2] } };
  const rented = (available: FleetInput['available']): Set<string> =>
    new Set(planFleet(input({ unmet: [whole], available })).rent.map((r) => r.zone));
  assert.deepEqual([...rented(() => true)], ['a']);
  const elsewhere = rented((_type, zone) => zone !== 'a');
  assert.equal(elsewhere.size, 1);
  assert.ok(!elsewhere.has('a'));
});
