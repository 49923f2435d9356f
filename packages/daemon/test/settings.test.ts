import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSettings } from '../src/settings.js';
import { GOOD } from './good-settings.js';

test('settings are read, unknown fields ignored', () => {
  const settings = parseSettings(GOOD);
  assert.equal(settings.node, 'spur-0');
  assert.deepEqual(settings.teams, [{ name: 'red', cpus: 10, cpusMax: 20, gpus: 0, gpusMax: Infinity }]);
  assert.deepEqual(settings.peers, [{ node: 'spur-1', zone: 'west', address: '10.0.0.2:8081' }]);
  assert.equal(settings.objectives[0]?.times, 1.75);
});

test('a limit of 0 is none: a team without limits may use whatever there is', () => {
  const [team] = parseSettings(GOOD.replace('cpus_max = 20.0', 'cpus_max = 0.0\ngpus_max = 0.0')).teams;
  assert.equal(team?.cpusMax, Infinity);
  assert.equal(team?.gpusMax, Infinity);
  assert.throws(() => parseSettings(GOOD.replace('cpus_max = 20.0', 'cpus_max = -1.0')), /cpus_max/);
});

test('a missing or wrong field is named', () => {
  assert.throws(() => parseSettings(GOOD.replace('lease_s = 22.0\n', '')), /lease_s/);
  assert.throws(() => parseSettings(GOOD.replace('txn_ops = 12', 'txn_ops = "many"')), /txn_ops/);
  assert.throws(() => parseSettings(GOOD.replace('10.0.0.1:8080', 'somewhere')), /listen/);
  assert.throws(() => parseSettings('label ='));
});
