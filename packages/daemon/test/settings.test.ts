import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSettings } from '../src/settings.js';
import { VALID_SETTINGS } from './good-settings.js';

test('a valid settings file is parsed, and unknown fields are ignored', () => {
  const settings = parseSettings(VALID_SETTINGS);
  assert.equal(settings.node, 'spur-0');
  assert.deepEqual(settings.teams, [{ name: 'red', cpus: 10, cpusMax: 20, gpus: 0, gpusMax: Infinity }]);
  assert.deepEqual(settings.peers, [{ node: 'spur-1', zone: 'west', address: '10.0.0.2:8081' }]);
  assert.equal(settings.objectives[0]?.times, 1.75);
});

test('a team limit of 0 means no limit, and a negative limit is rejected', () => {
  const [team] = parseSettings(
    VALID_SETTINGS.replace('cpus_max = 20.0', 'cpus_max = 0.0\ngpus_max = 0.0'),
  ).teams;
  assert.equal(team?.cpusMax, Infinity);
  assert.equal(team?.gpusMax, Infinity);
  assert.throws(
    () => parseSettings(VALID_SETTINGS.replace('cpus_max = 20.0', 'cpus_max = -1.0')),
    /cpus_max/,
  );
});

test('the error for a missing or malformed field names the field', () => {
  assert.throws(() => parseSettings(VALID_SETTINGS.replace('lease_s = 22.0\n', '')), /lease_s/);
  assert.throws(() => parseSettings(VALID_SETTINGS.replace('txn_ops = 12', 'txn_ops = "many"')), /txn_ops/);
  assert.throws(() => parseSettings(VALID_SETTINGS.replace('10.0.0.1:8080', 'somewhere')), /listen/);
  assert.throws(() => parseSettings('label ='));
});
