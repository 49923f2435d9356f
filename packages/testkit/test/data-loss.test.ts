import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { World } from '../src/index.js';
import {
  ACCOMPANYING_FAULTS,
  DAY_LENGTH_MS,
  DATA_LOSSES,
  InMemorySnapshotDirectory,
  injectAccompanyingFault,
  startGeneratedJobs,
  injectDataLoss,
  unfinishedArrays,
  smallWorld,
  injectRandomFault,
  watchForTwoLeaders,
} from '../src/index.js';

const LOSS_MS = 60_000;
/** What must hold even where no copy of the records is left anywhere. */
const ALWAYS = ['ran_twice', 'quota', 'wrong_place', 'invented', 'not_done', 'gang_split'];

/** `SPURBRIDGE_LOSS_SEEDS=1-200 npm run unit` plays more days by hand. */
function seeds(standard: number): number[] {
  const wanted = /^(\d+)-(\d+)$/.exec(process.env['SPURBRIDGE_LOSS_SEEDS'] ?? `1-${standard}`);
  const [first, last] = [Number(wanted?.[1] ?? 1), Number(wanted?.[2] ?? standard)];
  return Array.from({ length: last - first + 1 }, (_, i) => first + i);
}

async function play(w: World): Promise<World> {
  startGeneratedJobs(w);
  watchForTwoLeaders(w, (at) => {
    assert.fail(`two leaders at ${at}`);
  });
  await w.runUntil(DAY_LENGTH_MS);
  assert.ok(w.checker.starts > 0, 'nothing was started');
  return w;
}

for (const loss of DATA_LOSSES)
  for (const companion of ACCOMPANYING_FAULTS)
    test(`${loss}, ${companion}: with a node left nothing is lost and no rule broken`, async () => {
      const seed =
        100 + DATA_LOSSES.indexOf(loss) * ACCOMPANYING_FAULTS.length + ACCOMPANYING_FAULTS.indexOf(companion);
      const w = smallWorld(seed);
      injectDataLoss(w, loss, LOSS_MS);
      injectAccompanyingFault(w, companion, loss, LOSS_MS);
      await play(w);
      assert.deepEqual(w.checker.violations, [], `seed ${seed}`);
      assert.deepEqual(unfinishedArrays(w), [], `seed ${seed}`);
    });

for (const seed of seeds(12))
  test(`losses among other troubles drawn from seed ${seed} break no rule`, async () => {
    const w = smallWorld(seed);
    const loss = DATA_LOSSES[seed % DATA_LOSSES.length] ?? 'emptied';
    // All controllers may crash here, too, but not in the seconds around the loss: that case is below.
    const at = 25_000 + w.random(70_000);
    injectDataLoss(w, loss, at);
    if (seed % 3 === 0) injectDataLoss(w, 'emptied', at + 3000 + w.random(20_000));
    for (let i = 0; i < 1 + (seed % 3); i += 1) injectRandomFault(w, false);
    await play(w);
    assert.deepEqual(w.checker.violations, [], `seed ${seed}`);
    assert.deepEqual(unfinishedArrays(w), [], `seed ${seed}`);
  });

for (const loss of DATA_LOSSES)
  test(`${loss} and all nodes killed, only workers left: nothing runs twice or beyond a limit`, async () => {
    const w = smallWorld(300 + DATA_LOSSES.indexOf(loss));
    injectDataLoss(w, loss, LOSS_MS);
    w.time.after(LOSS_MS + 1, () => {
      for (let i = 0; i < 3; i += 1) w.crash(i);
    });
    await play(w);
    assert.deepEqual(
      w.checker.violations.filter((b) => ALWAYS.includes(b.rule)),
      [],
    );
  });

for (const loss of ['emptied', 'rolled back 20 s', 'tasks gone', 'some jobs gone'] as const)
  test(`${loss} and all nodes killed, a snapshot left: only what came after it is lost`, async () => {
    const folder = new InMemorySnapshotDirectory();
    const everyMs = 8000;
    const w = smallWorld(400 + DATA_LOSSES.indexOf(loss), { snapshots: { folder, everyMs } });
    injectDataLoss(w, loss, LOSS_MS);
    w.time.after(LOSS_MS + 1, () => {
      for (let i = 0; i < 3; i += 1) w.crash(i);
    });
    await play(w);
    assert.ok((await folder.listNames()).length > 0);
    for (const b of w.checker.violations) {
      assert.ok(!ALWAYS.includes(b.rule), JSON.stringify(b));
      const job = /wk-\d+/.exec(b.what)?.[0] ?? '';
      // Accepted, cancelled or done in the seconds that no copy holds.
      const news = w.checker
        .statusChangesOf(job)
        .filter((at) => at > LOSS_MS - everyMs - 1000 && at <= LOSS_MS + 9000);
      assert.ok(
        news.length > 0,
        `${JSON.stringify(b)}: known since ${w.checker.statusChangesOf(job).join()}`,
      );
    }
  });
