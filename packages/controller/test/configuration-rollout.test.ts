import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ConfigurationVersion } from '@spurbridge/configuration';
import type { Clock } from '@spurbridge/net';
import type { NodeId, PeerStatus } from '@spurbridge/wire';
import { ConfigurationRollout } from '../src/peers/configuration-rollout.js';
import type { Settings } from '../src/index.js';

const v = (n: number): ConfigurationVersion => n as ConfigurationVersion;
const SETTINGS = { node: 'a', peers: [{ node: 'b' }, { node: 'c' }] } as unknown as Settings;

test('on the leader a version is in force once a plan went by it; a new leader has planned by none', () => {
  let leads = true;
  const clock = { now: () => 1000 } as unknown as Clock;
  const own = { version: () => v(5), ageMs: () => 40, leads: () => leads };
  const inForce = new ConfigurationRollout(SETTINGS, clock, own);
  inForce.onElected();
  assert.equal(inForce.status().configurationVersion, 0);
  assert.equal(inForce.recordPlan(v(5)), true);
  assert.equal(inForce.recordPlan(v(5)), false);
  assert.equal(inForce.status().configurationVersion, 5);
  inForce.onElected();
  assert.equal(inForce.status().configurationVersion, 0);
  leads = false;
  assert.equal(inForce.status().configurationVersion, 5);
});

test('every node is listed with how old its knowledge is, also one that was never heard', () => {
  let now = 1000;
  const clock = { now: () => now } as unknown as Clock;
  const own = { version: () => v(5), ageMs: () => 40, leads: () => false };
  const inForce = new ConfigurationRollout(SETTINGS, clock, own);
  const status = {
    node: 'b' as NodeId,
    configurationVersion: 4,
    configurationAgeMs: 100,
    acceptsForwardedHeartbeats: true,
  };
  inForce.onPeerStatus(status as unknown as PeerStatus);
  now = 3000;
  const [a, b, c] = inForce.allNodes();
  assert.deepEqual([a?.version, a?.ageMs], [5, 40]);
  assert.deepEqual([b?.version, b?.ageMs, b?.leads], [4, 2100, true]);
  assert.equal(c?.version, null);
});
