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
import { RULES_WITHOUT_RECORDS, playGeneratedDay } from './support/assertions.js';
import { seedsFrom } from './support/seeds.js';

const LOSS_MS = 60_000;
for (const loss of DATA_LOSSES)
  for (const companion of ACCOMPANYING_FAULTS)
    test(`data loss "${loss}" with "${companion}": with a surviving node nothing is lost and no rule broken`, async () => {
      const seed =
        100 + DATA_LOSSES.indexOf(loss) * ACCOMPANYING_FAULTS.length + ACCOMPANYING_FAULTS.indexOf(companion);
      const world = smallWorld(seed);
      injectDataLoss(world, loss, LOSS_MS);
      injectAccompanyingFault(world, companion, loss, LOSS_MS);
      await playGeneratedDay(world);
      assert.deepEqual(world.checker.violations, [], `seed ${seed}`);
      assert.deepEqual(unfinishedArrays(world), [], `seed ${seed}`);
    });

for (const seed of seedsFrom('SPURBRIDGE_LOSS_SEEDS', 12))
  test(`data losses among generated faults break no rule, seed ${seed}`, async () => {
    const world = smallWorld(seed);
    const loss = DATA_LOSSES[seed % DATA_LOSSES.length] ?? 'emptied';
    // All controllers may crash here, too, but not in the seconds around the loss: that case is below.
    const at = 25_000 + world.random(70_000);
    injectDataLoss(world, loss, at);
    if (seed % 3 === 0) injectDataLoss(world, 'emptied', at + 3000 + world.random(20_000));
    for (let i = 0; i < 1 + (seed % 3); i += 1) injectRandomFault(world, false);
    await playGeneratedDay(world);
    assert.deepEqual(world.checker.violations, [], `seed ${seed}`);
    assert.deepEqual(unfinishedArrays(world), [], `seed ${seed}`);
  });

for (const loss of DATA_LOSSES)
  test(`data loss "${loss}" with all nodes killed: nothing runs twice or over a limit`, async () => {
    const world = smallWorld(300 + DATA_LOSSES.indexOf(loss));
    injectDataLoss(world, loss, LOSS_MS);
    world.time.after(LOSS_MS + 1, () => {
      for (let i = 0; i < 3; i += 1) world.crash(i);
    });
    await playGeneratedDay(world);
    assert.deepEqual(
      world.checker.violations.filter((violation) => RULES_WITHOUT_RECORDS.includes(violation.rule)),
      [],
    );
  });

for (const loss of ['emptied', 'rolled back 20 s', 'tasks gone', 'some jobs gone'] as const)
  test(`data loss "${loss}" with all nodes killed and a snapshot: only what came after it is lost`, async () => {
    const folder = new InMemorySnapshotDirectory();
    const everyMs = 8000;
    const world = smallWorld(400 + DATA_LOSSES.indexOf(loss), { snapshots: { folder, everyMs } });
    injectDataLoss(world, loss, LOSS_MS);
    world.time.after(LOSS_MS + 1, () => {
      for (let i = 0; i < 3; i += 1) world.crash(i);
    });
    await playGeneratedDay(world);
    assert.ok((await folder.listNames()).length > 0);
    for (const violation of world.checker.violations) {
      assert.ok(!RULES_WITHOUT_RECORDS.includes(violation.rule), JSON.stringify(violation));
      const job = /wk-\d+/.exec(violation.what)?.[0] ?? '';
      // Accepted, cancelled or done in the seconds that no copy holds.
      const news = world.checker
        .statusChangesOf(job)
        .filter((at) => at > LOSS_MS - everyMs - 1000 && at <= LOSS_MS + 9000);
      assert.ok(
        news.length > 0,
        `${JSON.stringify(violation)}: known since ${world.checker.statusChangesOf(job).join()}`,
      );
    }
  });
