import assert from 'node:assert/strict';
import { test } from 'node:test';
import { OptionsError, parseOptions } from '../src/index.js';

const VALID_FLAGS = {
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

test('valid flags are parsed, with steps given as shares of one region or numbers of whole regions', () => {
  const options = parseOptions(VALID_FLAGS);
  assert.equal(options.workers, 2700);
  assert.deepEqual(options.steps, [
    { regions: 1, share: 1 / 16 },
    { regions: 1, share: 1 },
    { regions: 4, share: 1 },
  ]);
});

test('one error names all invalid flags', () => {
  const invalidFlags = {
    ...VALID_FLAGS,
    workers: '-3',
    teams: 'many',
    zones: '2',
    steps: '1/16,0,half',
    endLeaderEvery: 'x',
    deploy: 'no/such',
  };
  assert.throws(
    () => parseOptions(invalidFlags),
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

test('a step with more regions than configured, or with too many processes, is rejected', () => {
  assert.throws(() => parseOptions({ ...VALID_FLAGS, steps: '5' }), /more regions/);
  assert.throws(
    () => parseOptions({ ...VALID_FLAGS, regions: '16', zones: '64', nodes: '9', steps: '16' }),
    /processes/,
  );
});
