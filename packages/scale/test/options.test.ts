import assert from 'node:assert/strict';
import { test } from 'node:test';
import { OptionsError, parseOptions } from '../src/index.js';

const GOOD = {
  workers: '2700',
  regions: '4',
  zones: '16',
  teams: '350',
  starts: '820',
  running: '41000',
  nodes: '3',
  seconds: '60',
  seed: '1',
  steps: '1/16,1,4',
  changes: '0',
  endLeaderEvery: '0',
  endedJobs: '0',
  firstRegion: '0',
  deploy: 'deploy/service.toml',
};

test('flags are read, and steps are shares of one region and then whole regions', () => {
  const options = parseOptions(GOOD);
  assert.equal(options.workers, 2700);
  assert.deepEqual(options.steps, [
    { regions: 1, share: 1 / 16 },
    { regions: 1, share: 1 },
    { regions: 4, share: 1 },
  ]);
});

test('all mistakes of the flags are named at once', () => {
  const wrong = {
    ...GOOD,
    workers: '-3',
    teams: 'many',
    zones: '2',
    steps: '1/16,0,half',
    endLeaderEvery: 'x',
    deploy: 'no/such',
  };
  assert.throws(
    () => parseOptions(wrong),
    (e: unknown) => {
      assert.ok(e instanceof OptionsError);
      for (const field of [
        '--workers',
        '--teams',
        '--zones',
        "'0'",
        "'half'",
        '--end-leader-every',
        '--deploy',
      ])
        assert.ok(e.message.includes(field), `${field} in ${e.message}`);
      return true;
    },
  );
});

test('more regions than there are, and more processes than allowed, are refused', () => {
  assert.throws(() => parseOptions({ ...GOOD, steps: '5' }), /more regions/);
  assert.throws(
    () => parseOptions({ ...GOOD, regions: '16', zones: '64', nodes: '9', steps: '16' }),
    /processes/,
  );
});
