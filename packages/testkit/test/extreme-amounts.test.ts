import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobKey } from '@spurbridge/model';
import { formatSubmission, parseSubmission } from '@spurbridge/wire';
import type { World } from '../src/index.js';
import { extremeAmountWorld, jobId, jobSpec, machineType, startExtremeAmountDay } from '../src/index.js';
import { runWatchedDay } from './support/assertions.js';
import { fleetWorld } from './support/fleets.js';
import { passTime } from './support/regression-cases.js';
import { seedsFrom } from './support/seeds.js';

/** The submission of the incident, byte for byte. */
const SUBMISSION =
  '{"accelerators":0.0,"bookmarkS":0.0,"builds":["rudzis"],"cpus":4.0,"crew":"clinic-tools","dueS":null,"guessS":1000000000000.0,"kit":"img-200","loaners":true,"lot":"plan-rebuilds","memGb":6.0,"nameId":"wk-829656","oneZone":false,"pieces":7,"pullGb":0.1,"rank":"normal","scatter":false,"shape":"batch","stowS":0.0,"yard":null}';

function currentToken(world: World): number {
  return Math.max(...world.nodes.map((node) => node.controller.leadership.fencingToken));
}

for (const seed of [1, 2, 3])
  test(`a job with an estimate of 1e12 s starts on no machine type that it excludes, seed ${seed}`, async () => {
    const world = fleetWorld({
      seed,
      teams: [{ name: 'clinic-tools', cpus: 136, cpusMax: 336, gpus: 0, gpusMax: 0 }],
      types: [machineType('sprog', 4), machineType('rudzis', 16)],
      capacity: 4,
      taskRunMs: () => 12_000,
    });
    for (const [index, type] of ['sprog', 'rudzis'].entries())
      world.startUser(
        jobSpec({ id: jobId(index), team: 'clinic-tools', tasks: 24, cpus: 4, types: [type], estimateS: 12 }),
        null,
      );
    await world.runUntil(40_000);
    const spec = parseSubmission(JSON.parse(SUBMISSION));
    world.startUser(spec, null);
    await passTime(world, 90_000);
    assert.deepEqual(world.checker.violations, []);
    assert.equal(world.recordedPhaseOf(spec.id), 'done');
  });

// Guards against terms that end one after another (review/2): every leader's plan failed on such a job.
for (const amounts of [{ imageGb: Number.MAX_VALUE }, { estimateS: Number.MAX_VALUE }] as const)
  test(`ordinary jobs are served beside one with the largest ${Object.keys(amounts).join()}`, async () => {
    const world = extremeAmountWorld(7);
    world.startUser(jobSpec({ id: jobId(1), tasks: 8 }), null);
    await world.runUntil(30_000);
    world.startUser(jobSpec({ id: jobId(2), image: 'other', ...amounts }), null);
    await passTime(world, 2000);
    const token = currentToken(world);
    const ordinary = jobSpec({ id: jobId(3), tasks: 8 });
    world.startUser(ordinary, null);
    await passTime(world, 60_000);
    assert.deepEqual(world.checker.violations, []);
    assert.equal(world.recordedPhaseOf(ordinary.id), 'done');
    assert.equal(currentToken(world), token, 'the leader stays');
  });

// A version whose plans ignored a term may have placed tasks that still run when the next version starts.
for (const kind of ['array', 'service', 'gang'] as const)
  test(`tasks of a job of kind ${kind} are moved from machines that its record excludes, once they are found there`, async () => {
    const world = extremeAmountWorld(11, { taskRunMs: () => 400_000 });
    world.startUser(jobSpec({ id: jobId(1), class: 'filling', tasks: 6, cpus: 16, types: ['m16'] }), null);
    const spec = jobSpec({
      id: jobId(2),
      kind,
      tasks: 2,
      cpus: 3,
      types: ['s4'],
      estimateS: kind === 'service' ? 0 : 40,
    });
    world.startUser(spec, null);
    await world.runUntil(35_000);
    assert.equal(world.checker.runningTasksOf(spec.id), 2);
    const restricted = { ...spec, types: ['m16'] };
    const key = jobKey(spec.id);
    const record = world.store.peek(key) as object;
    world.checker.jobSubmitted(restricted);
    world.store.commit([], [{ put: key, value: { ...record, spec: formatSubmission(restricted) } }]);
    for (let node = 0; node < world.nodes.length; node += 1) world.crash(node, 200);
    await passTime(world, 150_000);
    assert.deepEqual(world.checker.violations, []);
    const types = world.checker
      .runningTasks(spec.id)
      .map(({ machine }) => world.workers.get(machine)?.type.name);
    assert.deepEqual(types, ['m16', 'm16']);
  });

// Guards against amounts that change which machine a plan means (`wrong_place`), or that end a leader's term.
for (const seed of seedsFrom('SPURBRIDGE_EXTREME_AMOUNT_SEEDS', 10))
  test(`amounts at the ends of their ranges break no rule and leave no job waiting, seed ${seed}`, async () => {
    const world = extremeAmountWorld(200_000 + seed);
    const faultNames = startExtremeAmountDay(world).join(' + ');
    await runWatchedDay(world, faultNames);
  });
