import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ConfigurationVersion } from '@spurbridge/configuration';
import type { Clock } from '@spurbridge/net';
import type { NodeId, PeerStatus } from '@spurbridge/wire';
import { ConfigurationRollout } from '../src/peers/configuration-rollout.js';
import type { Settings } from '../src/index.js';

const asVersion = (version: number): ConfigurationVersion => version as ConfigurationVersion;
const SETTINGS = { node: 'a', peers: [{ node: 'b' }, { node: 'c' }] } as unknown as Settings;

test('a leader reports a configuration version only after a scheduling pass of its term has used it', () => {
  let leads = true;
  const clock = { now: () => 1000 } as unknown as Clock;
  const local = { version: () => asVersion(5), ageMs: () => 40, leads: () => leads };
  const rollout = new ConfigurationRollout(SETTINGS, clock, local);
  rollout.onElected();
  assert.equal(rollout.status().configurationVersion, 0);
  assert.equal(rollout.recordPlan(asVersion(5)), true);
  assert.equal(rollout.recordPlan(asVersion(5)), false);
  assert.equal(rollout.status().configurationVersion, 5);
  rollout.onElected();
  assert.equal(rollout.status().configurationVersion, 0);
  leads = false;
  assert.equal(rollout.status().configurationVersion, 5);
});

test('the rollout status lists every node with the age of its configuration version, including a node that never sent a status', () => {
  let now = 1000;
  const clock = { now: () => now } as unknown as Clock;
  const local = { version: () => asVersion(5), ageMs: () => 40, leads: () => false };
  const rollout = new ConfigurationRollout(SETTINGS, clock, local);
  const status = {
    node: 'b' as NodeId,
    configurationVersion: 4,
    configurationAgeMs: 100,
    acceptsForwardedHeartbeats: true,
  };
  rollout.onPeerStatus(status as unknown as PeerStatus);
  now = 3000;
  const [a, b, c] = rollout.allNodes();
  assert.deepEqual([a?.version, a?.ageMs], [5, 40]);
  assert.deepEqual([b?.version, b?.ageMs, b?.leads], [4, 2100, true]);
  assert.equal(c?.version, null);
});
