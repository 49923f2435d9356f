import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  ACCOMPANYING_FAULTS,
  DATA_LOSSES,
  InMemorySnapshotDirectory,
  injectAccompanyingFault,
  injectDataLoss,
  injectRandomFault,
  smallWorld,
  unfinishedArrays,
} from '../src/index.js';
import { RULES_WITHOUT_RECORDS, runGeneratedDay } from './support/assertions.js';
import { seedsFrom } from './support/seeds.js';

const LOSS_MS = 60_000;
for (const loss of DATA_LOSSES)
  for (const companion of ACCOMPANYING_FAULTS)
    test(`data loss "${loss}" accompanied by "${companion}" breaks no rule and leaves no array unfinished if a node survives`, async () => {
      const seed =
        100 + DATA_LOSSES.indexOf(loss) * ACCOMPANYING_FAULTS.length + ACCOMPANYING_FAULTS.indexOf(companion);
      const world = smallWorld(seed);
      injectDataLoss(world, loss, LOSS_MS);
      injectAccompanyingFault(world, companion, loss, LOSS_MS);
      await runGeneratedDay(world);
      assert.deepEqual(world.checker.violations, [], `seed ${seed}`);
      assert.deepEqual(unfinishedArrays(world), [], `seed ${seed}`);
    });

for (const seed of seedsFrom('SPURBRIDGE_LOSS_SEEDS', 12))
  test(`a data loss during generated faults breaks no rule and leaves no array unfinished, seed ${seed}`, async () => {
    const world = smallWorld(seed);
    const loss = DATA_LOSSES[seed % DATA_LOSSES.length] ?? 'emptied';
    // Several faults may crash all controllers, but no single fault does: a loss without a surviving node is tested below.
    const lossMs = 25_000 + world.random(70_000);
    injectDataLoss(world, loss, lossMs);
    if (seed % 3 === 0) injectDataLoss(world, 'emptied', lossMs + 3000 + world.random(20_000));
    for (let i = 0; i < 1 + (seed % 3); i += 1) injectRandomFault(world, false);
    await runGeneratedDay(world);
    assert.deepEqual(world.checker.violations, [], `seed ${seed}`);
    assert.deepEqual(unfinishedArrays(world), [], `seed ${seed}`);
  });

for (const loss of DATA_LOSSES)
  test(`after data loss "${loss}" and a crash of all nodes no task runs twice and no limit is exceeded`, async () => {
    const world = smallWorld(300 + DATA_LOSSES.indexOf(loss));
    injectDataLoss(world, loss, LOSS_MS);
    world.time.after(LOSS_MS + 1, () => {
      for (let i = 0; i < 3; i += 1) world.crash(i);
    });
    await runGeneratedDay(world);
    assert.deepEqual(
      world.checker.violations.filter((violation) => RULES_WITHOUT_RECORDS.includes(violation.rule)),
      [],
    );
  });

for (const loss of ['emptied', 'rolled back 20 s', 'tasks gone', 'some jobs gone'] as const)
  test(`after data loss "${loss}" and a crash of all nodes only changes after the last snapshot are lost`, async () => {
    const folder = new InMemorySnapshotDirectory();
    const everyMs = 8000;
    const world = smallWorld(400 + DATA_LOSSES.indexOf(loss), {
      snapshots: { directory: folder, intervalMs: everyMs },
    });
    injectDataLoss(world, loss, LOSS_MS);
    world.time.after(LOSS_MS + 1, () => {
      for (let i = 0; i < 3; i += 1) world.crash(i);
    });
    await runGeneratedDay(world);
    assert.ok((await folder.listNames()).length > 0);
    for (const violation of world.checker.violations) {
      assert.ok(!RULES_WITHOUT_RECORDS.includes(violation.rule), JSON.stringify(violation));
      const job = /wk-\d+/.exec(violation.what)?.[0] ?? '';
      // The job was accepted, cancelled or completed in the seconds that no snapshot covers.
      const uncoveredChanges = world.checker
        .statusChangesOf(job)
        .filter((at) => at > LOSS_MS - everyMs - 1000 && at <= LOSS_MS + 9000);
      assert.ok(
        uncoveredChanges.length > 0,
        `${JSON.stringify(violation)}: status changes at ${world.checker.statusChangesOf(job).join()}`,
      );
    }
  });
