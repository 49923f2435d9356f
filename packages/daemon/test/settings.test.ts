import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSettings } from '../src/settings.js';

const GOOD = `
label = "spur-0"
domain = "east"
listen = "10.0.0.1:8080"
back = "10.0.0.1:8081"
novelty = 1
[[peers]]
label = "spur-1"
domain = "west"
address = "10.0.0.2:8081"
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[cluster]
nodes = 3
[[cluster.teams]]
name = "red"
cpus = 10.0
cpus_max = 20.0
[[cluster.objectives]]
kind = "deadline"
class = "work"
times = 1.75
[cluster.workers]
report_s = 3.0
lease_s = 22.0
gang_wait_s = 50.0
gang_peer_s = 8.0
cancel_s = 42.0
[cluster.state]
rps = 250.0
write_rps = 100.0
value_kb = 16.0
txn_ops = 12
[cluster.cloud]
rps = 4.0
list_lag_s = 10.0
[cluster.resources]
cpu = 0.17
mem_mb = 242.0
sockets = 2000
`;

test('settings are read, unknown fields ignored', () => {
  const s = parseSettings(GOOD);
  assert.equal(s.node, 'spur-0');
  assert.deepEqual(s.teams, [{ name: 'red', cpus: 10, cpusMax: 20, gpus: 0, gpusMax: Infinity }]);
  assert.deepEqual(s.peers, [{ node: 'spur-1', zone: 'west', address: '10.0.0.2:8081' }]);
  assert.equal(s.objectives[0]?.times, 1.75);
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
