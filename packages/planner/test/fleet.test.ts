import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobId, MachineId, MachineType } from '@spurbridge/wire';
import { TYPES, jobSpec } from '@spurbridge/testkit';
import type { FleetInput, FleetMachine, Replica, UnplacedDemand } from '../src/index.js';
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
  zoneSpread: null,
};

function machine(index: number, type: MachineType, over: Partial<FleetMachine> = {}): FleetMachine {
  return {
    id: `n-${index}` as MachineId,
    type,
    zone: 'a',
    spot: false,
    isBooting: false,
    canScaleIn: true,
    idleS: 0,
    usedCpus: 0,
    usedGpus: 0,
    usedMemoryGb: 0,
    nonPreemptibleCpus: 0,
    nonPreemptibleMemoryGb: 0,
    isSchedulable: true,
    images: new Map([['img', 1]]),
    replicas: [],
    isStable: true,
    ...over,
  };
}

function unmet(
  over: Partial<Parameters<typeof jobSpec>[0]>,
  more: Partial<UnplacedDemand> = {},
): UnplacedDemand {
  const spec = jobSpec({ id: 'wk-000001' as JobId, ...over });
  const job = {
    spec,
    pendingTasks: [],
    pendingCount: spec.tasks,
    unfinishedCount: spec.tasks,
    placedZones: [],
    totalWaitS: 0,
    ageS: 0,
    estimateS: spec.estimateS,
    completionMilestonesS: [],
    startMilestonesS: [],
    toleratedWaitS: 1,
    excludedMachines: new Set<MachineId>(),
    submissionOrder: 0,
    isStartable: true,
  };
  return {
    job,
    taskCount: spec.tasks,
    startsInS: Infinity,
    isWithinLimit: true,
    isGuaranteed: true,
    zone: null,
    ...more,
  };
}

function input(over: Partial<FleetInput>): FleetInput {
  return {
    types: TYPES,
    machines: [],
    unplacedDemand: [],
    policy: {
      isCostAware: true,
      isConsolidating: true,
      scaleInIdleS: 25,
      targetCpus: 0,
      targetOnDemandCpus: 0,
      spreadsServices: false,
      burstCpus: 0,
      manageableMachines: 100,
      minQueueBootShare: 0.5,
    },
    hasCapacity: () => true,
    ...over,
  };
}

const rented = (over: Partial<FleetInput>): number =>
  planFleet(input(over)).scaleOut.reduce(
    (sum, request) => sum + request.count * (TYPES.find((type) => type.name === request.type)?.cpus ?? 0),
    0,
  );

// A burst had its machines half a minute after its end: each job was rented for once it was predicted to be late.
test('a burst is scaled out for by its arrival rate, before its jobs are late', () => {
  const policy = { ...input({}).policy, burstCpus: 160 };
  const machines = [machine(1, m16, { usedCpus: 16 })];
  const early = unmet(
    { cpus: 4, tasks: 2, spot: true, deadlineS: 600 },
    { startsInS: 2, isGuaranteed: false },
  );
  const cpus = (over: Partial<FleetInput>): number =>
    planFleet(input({ machines, policy, unplacedDemand: [early], ...over })).scaleOut.reduce(
      (sum, request) => sum + request.count * (TYPES.find((type) => type.name === request.type)?.cpus ?? 0),
      0,
    );
  assert.ok(cpus({}) >= 144 && cpus({}) < 176, `${cpus({})} CPUs`);
  assert.equal(cpus({ policy: { ...policy, burstCpus: 18 } }), 0, 'uneven arrivals are no burst');
  assert.equal(cpus({ unplacedDemand: [] }), 0, 'nothing waits');
  const refused = planFleet(
    input({ machines, policy, unplacedDemand: [early], hasCapacity: (_t, _z, spot) => !spot }),
  ).scaleOut;
  assert.ok(
    refused.length > 0 && refused.every((request) => !request.spot),
    'ordinary ones where spot ones are refused',
  );
});

// All of the reserve lay in one zone: half of every new service waited for a machine to boot in another.
test('spare capacity for services that spread over zones is kept in more than one zone, and only where it helps', () => {
  const policy = { ...input({}).policy, targetOnDemandCpus: 64, spreadsServices: true };
  const full = { usedCpus: 16, nonPreemptibleCpus: 16 };
  const machines = [
    machine(1, m16, { zone: 'a' }),
    machine(2, m16, { zone: 'a', idleS: 100 }),
    machine(3, m16, { zone: 'b', ...full }),
    machine(4, m16, { zone: 'c', ...full }),
  ];
  const rent = (over: Partial<FleetInput>): (string | undefined)[] =>
    planFleet(input({ machines, policy, ...over })).scaleOut.map((request) => request.zone);
  assert.deepEqual(rent({}), ['b']);
  assert.deepEqual(
    rent({ hasCapacity: (_t, zone) => zone === 'a' }),
    [],
    'more in the roomiest zone helps nobody',
  );
  assert.deepEqual(
    rent({ policy: { ...policy, spreadsServices: false } }),
    [],
    'enough, were zones no matter',
  );
  const even = [...machines, machine(5, m16, { zone: 'b' })];
  assert.deepEqual(rent({ machines: even }), []);
  // What is spare in the roomiest zone alone may go back, what the others need may not.
  assert.deepEqual(planFleet(input({ machines: even, policy })).scaleIn, ['n-2']);
  const idle = even.map((fleetMachine) =>
    fleetMachine.id === 'n-5' ? { ...fleetMachine, idleS: 100 } : { ...fleetMachine, idleS: 0 },
  );
  assert.deepEqual(planFleet(input({ machines: idle, policy })).scaleIn, []);
});

test('unplaced demand scales out to spot machines where it may use them', () => {
  const result = planFleet(input({ unplacedDemand: [unmet({ tasks: 4, cpus: 2 })] }));
  assert.ok(result.scaleOut.length > 0 && result.scaleOut.every((request) => request.spot));
  const service = planFleet(input({ unplacedDemand: [unmet({ kind: 'service', spot: false })] }));
  assert.ok(service.scaleOut.length > 0 && service.scaleOut.every((request) => !request.spot));
});

test('booting machines count, and demand beyond the limit scales out to nothing', () => {
  const coming = [machine(1, m16, { isBooting: true, spot: true, isSchedulable: false })];
  assert.equal(rented({ unplacedDemand: [unmet({ tasks: 8, cpus: 2 })], machines: coming }), 0);
  assert.ok(rented({ unplacedDemand: [unmet({ tasks: 9, cpus: 2 })], machines: coming }) > 0);
  assert.equal(rented({ unplacedDemand: [unmet({}, { isWithinLimit: false })] }), 0);
  // Not heard since a takeover, and full of what the records say.
  const full = [machine(1, m16, { isBooting: true, spot: true, isSchedulable: false, usedCpus: 16 })];
  assert.ok(rented({ unplacedDemand: [unmet({ tasks: 8, cpus: 2 })], machines: full }) > 0);
});

// With 800 small machines, a leader on a sixth of a core was behind for half a minute in a takeover.
test('in a large fleet, larger machines are preferred at a slightly higher price', () => {
  const types = TYPES.map((type) =>
    type.name === 's4' ? { ...type, spotPrice: type.spotPrice * 0.9 } : type,
  );
  const rent = (easyMachines: number): string[] => {
    const policy = { ...input({}).policy, manageableMachines: easyMachines };
    const job = unmet({ tasks: 64, cpus: 4, gpus: 0, memoryGb: 8 });
    return planFleet(input({ types, unplacedDemand: [job], policy })).scaleOut.map((request) => request.type);
  };
  assert.deepEqual(new Set(rent(1000)), new Set(['s4']));
  assert.ok(rent(20).includes('m16'));
});

// A start with no machines rented a place for each of thousands of waiting tasks.
test('tasks that can run one after another before their deadline do not scale out to a slot each', () => {
  const rentedFor = (deadlineS: number | null, guaranteed: boolean): number =>
    rented({
      unplacedDemand: [unmet({ tasks: 64, cpus: 2, estimateS: 10, deadlineS }, { isGuaranteed: guaranteed })],
    });
  assert.equal(rentedFor(null, false), 128);
  assert.equal(rentedFor(20, false), 128);
  assert.equal(rentedFor(60, true), 128);
  const inTurn = rentedFor(60, false);
  assert.ok(inTurn <= 64 && inTurn >= 24, `${inTurn}`);
});

test('without spot capacity, arrays scale out to on-demand machines only under a deadline', () => {
  const noSpot = { hasCapacity: (_t: string, _z: string, spot: boolean) => !spot };
  assert.equal(rented({ ...noSpot, unplacedDemand: [unmet({ deadlineS: 500, estimateS: 5 })] }), 0);
  assert.ok(rented({ ...noSpot, unplacedDemand: [unmet({ deadlineS: 12, estimateS: 5 })] }) > 0);
});

test('idle machines are scaled in down to the recent demand, the most expensive first', () => {
  const machines = [
    machine(1, s4, { idleS: 60, spot: true }),
    machine(2, s4, { idleS: 30 }),
    machine(3, m16, { usedCpus: 8 }),
  ];
  assert.deepEqual(planFleet(input({ machines })).scaleIn, ['n-2', 'n-1']);
  const policy = { ...input({}).policy, targetCpus: 20 };
  assert.deepEqual(planFleet(input({ machines, policy })).scaleIn, ['n-2']);
  assert.deepEqual(planFleet(input({ machines, unplacedDemand: [unmet({})] })).scaleIn, []);
});

// Half the ordinary CPUs stood empty beside replicas that would have fitted on fewer machines.
test('a machine whose replicas fit elsewhere is drained, one that no other can replace is not', () => {
  const loose = machine(1, m16, { usedCpus: 2, usedMemoryGb: 2, replicas: [replica] });
  const other = machine(2, m16, { usedCpus: 12, usedMemoryGb: 2, replicas: [replica] });
  assert.equal(planFleet(input({ machines: [loose, other] })).drain, 'n-1');
  assert.equal(planFleet(input({ machines: [loose] })).drain, null);
  assert.equal(
    planFleet(
      input({
        machines: [
          { ...loose, isStable: false },
          { ...other, isStable: false },
        ],
      }),
    ).drain,
    null,
  );
  // Moved to a machine without its image, a replica was away for the seconds of the fetch.
  const bare = { ...other, images: new Map<string, number>(), isStable: false };
  assert.equal(planFleet(input({ machines: [loose, bare] })).drain, null);
  // At most one in a zone: there is another one in the zone of the other machine.
  const held = new Map([
    ['a', 1],
    ['b', 1],
  ]);
  const away = { ...other, zone: 'b', isStable: false };
  const pinned = {
    ...loose,
    replicas: [{ ...replica, zoneSpread: { replicasByZone: held, maxPerZone: 1, oneZone: false } }],
  };
  assert.equal(planFleet(input({ machines: [pinned, away] })).drain, null);
  const free = {
    ...loose,
    replicas: [{ ...replica, zoneSpread: { replicasByZone: held, maxPerZone: 2, oneZone: false } }],
  };
  assert.equal(planFleet(input({ machines: [free, away] })).drain, 'n-1');
});

// Replicas of a lost machine waited 40 s for a new one to boot.
test('on-demand capacity for the loss of one machine is scaled out to ahead', () => {
  const policy = { ...input({}).policy, targetOnDemandCpus: 24 };
  const machines = [machine(1, m16, { usedCpus: 12, replicas: [replica] })];
  const result = planFleet(input({ machines, policy }));
  assert.ok(result.scaleOut.length > 0 && result.scaleOut.every((request) => !request.spot));
  const coming = [...machines, machine(2, m16, { isBooting: true, isSchedulable: false })];
  assert.deepEqual(planFleet(input({ machines: coming, policy })).scaleOut, []);
});

test('spot machines are scaled in while only on-demand ones are wanted', () => {
  const idle = { idleS: 100 };
  const machines = [machine(1, s4, { spot: true, ...idle }), machine(2, s4, idle)];
  const waiting = unmet({ kind: 'gang', spot: false, cpus: 2, tasks: 1 }, { startsInS: 5 });
  assert.deepEqual(planFleet(input({ machines, unplacedDemand: [waiting] })).scaleIn, ['n-1']);
});

test('a gang bound to one zone does not count on booting machines in two', () => {
  const half = (index: number, zone: string): FleetMachine => machine(index, s4, { zone, isBooting: true });
  const gang = unmet({ kind: 'gang', spot: false, oneZone: true, cpus: 4, memoryGb: 2, tasks: 2 });
  const { scaleOut: rent } = planFleet(
    input({ machines: [half(1, 'a'), half(2, 'b')], unplacedDemand: [gang] }),
  );
  assert.deepEqual(
    rent.map((request) => [request.zone, request.count]),
    [['a', 1]],
  );
});

test('replicas with accelerators are moved only where accelerators are free', () => {
  const g8 = TYPES[2] as MachineType;
  const fits = { ...replica, gpus: 2 };
  const from = machine(1, g8, { replicas: [fits], usedCpus: 2, usedGpus: 2, usedMemoryGb: 2 });
  const to = (usedGpus: number): FleetMachine => machine(2, g8, { usedCpus: 2, usedGpus, isStable: false });
  const drained = (usedGpus: number): unknown => planFleet(input({ machines: [from, to(usedGpus)] })).drain;
  assert.equal(drained(3), null);
  assert.equal(drained(2), from.id);
});

test('without spot capacity, a burst scales out to on-demand machines while they let it be in time', () => {
  const rented = (ageS: number, startsInS: number): number => {
    const demand = unmet({ tasks: 4, estimateS: 20 }, { startsInS });
    const job = { ...demand.job, ageS, completionMilestonesS: [60] };
    const noSpot = (_type: string, _zone: string, spot: boolean): boolean => !spot;
    const plan = planFleet(input({ unplacedDemand: [{ ...demand, job }], hasCapacity: noSpot }));
    return plan.scaleOut.reduce((sum, request) => sum + request.count, 0);
  };
  assert.ok(rented(10, 60) > 0);
  assert.equal(rented(10, 5), 0);
});

test('a gang whose zone has no capacity left is scaled out for as a whole in another zone', () => {
  const gang = unmet(
    { kind: 'gang', spot: false, oneZone: true, cpus: 4, memoryGb: 2, tasks: 3 },
    { taskCount: 1, zone: 'a' },
  );
  const whole = { ...gang, job: { ...gang.job, pendingTasks: [0, 1, 2] } };
  const rented = (available: FleetInput['hasCapacity']): Set<string> =>
    new Set(
      planFleet(input({ unplacedDemand: [whole], hasCapacity: available })).scaleOut.map(
        (request) => request.zone,
      ),
    );
  assert.deepEqual([...rented(() => true)], ['a']);
  const elsewhere = rented((_type, zone) => zone !== 'a');
  assert.equal(elsewhere.size, 1);
  assert.ok(!elsewhere.has('a'));
});
