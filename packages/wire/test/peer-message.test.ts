import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { AgentEpoch, Attempt, FencingToken, MachineId, NodeId } from '../src/index.js';
import { decodePeerMessage, encodePeerMessage } from '../src/index.js';
import { PROPERTY_PARAMETERS, jobId, label, taskStatus } from './arbitraries.js';

const forwarded = fc.record({
  id: fc.nat(),
  ageMs: fc.nat(),
  heartbeat: fc.record({
    machine: label as unknown as fc.Arbitrary<MachineId>,
    address: label,
    type: label,
    zone: label,
    spot: fc.boolean(),
    agentEpoch: fc.nat() as unknown as fc.Arbitrary<AgentEpoch>,
    sequence: fc.nat(),
    fencingToken: fc.nat(2 ** 31 - 1) as unknown as fc.Arbitrary<FencingToken>,
    preemptionNoticeS: fc.option(fc.integer({ min: 0, max: 100 })),
    tasks: fc.array(taskStatus, { maxLength: 5 }),
  }),
});
const commandTarget = fc.record({
  job: jobId,
  task: fc.nat(),
  attempt: fc.nat() as unknown as fc.Arbitrary<Attempt>,
});
const forwardedResponse = fc.record({
  id: fc.nat(),
  machine: label as unknown as fc.Arbitrary<MachineId>,
  agentEpoch: fc.nat() as unknown as fc.Arbitrary<AgentEpoch>,
  sequence: fc.nat(),
  code: fc.constantFrom(200 as const, 503 as const),
  fencingToken: fc.integer({ min: 2 ** 20, max: 2 ** 31 }) as unknown as fc.Arbitrary<FencingToken>,
  electionToken: fc.integer({ min: 1, max: 2 ** 20 }) as unknown as fc.Arbitrary<FencingToken>,
  delegatedLeaseMs: fc.nat(),
  commands: fc.array(
    fc.oneof(
      commandTarget.map((target) => ({ op: 'start' as const, ...target })),
      commandTarget.map((target) => ({ op: 'stop' as const, ...target, graceS: 4 })),
      commandTarget.map((target) => ({ op: 'forget' as const, ...target })),
    ),
    { maxLength: 4 },
  ),
});

test('peer messages are decoded unchanged from a stream that is split at any positions', () => {
  const message = fc.record({
    status: fc.record({
      node: label as fc.Arbitrary<NodeId>,
      fencingToken: fc.nat(2 ** 20) as unknown as fc.Arbitrary<FencingToken>,
      latestToken: fc.integer({ min: 2 ** 20, max: 2 ** 31 }) as unknown as fc.Arbitrary<FencingToken>,
      leader: label as fc.Arbitrary<NodeId>,
      isStoreReachable: fc.boolean(),
      storeEpoch: fc.nat(),
      storeEpochId: fc.string(),
      storeRevision: fc.nat(),
      isStoreTrusted: fc.boolean(),
      hasContinuousReplica: fc.boolean(),
      acceptsForwardedHeartbeats: fc.boolean(),
      leadershipPenalty: fc.nat(9),
      isLeaderReady: fc.boolean(),
      shardSize: fc.nat(),
      canServeWorkers: fc.boolean(),
      configurationVersion: fc.nat(),
      configurationAgeMs: fc.nat(),
    }),
    jobProgress: fc.array(fc.record({ job: jobId, done: fc.nat(), running: fc.nat() }), { maxLength: 30 }),
    sender: label as fc.Arbitrary<NodeId>,
    forwardedHeartbeats: fc.array(forwarded, { minLength: 1, maxLength: 3 }),
    forwardedHeartbeatResponses: fc.array(forwardedResponse, { minLength: 1, maxLength: 3 }),
  });
  fc.assert(
    fc.property(
      fc.array(message, { minLength: 1, maxLength: 4 }),
      fc.integer({ min: 1, max: 64 }),
      (sent, chunkSize) => {
        const stream = Buffer.concat(sent.map((peerMessage) => encodePeerMessage(peerMessage)));
        let pending = Buffer.alloc(0);
        const received: unknown[] = [];
        for (let offset = 0; offset < stream.length; offset += chunkSize) {
          pending = Buffer.concat([pending, stream.subarray(offset, offset + chunkSize)]);
          for (let frame = decodePeerMessage(pending); frame !== null; frame = decodePeerMessage(pending)) {
            received.push(JSON.parse(JSON.stringify(frame.message)));
            pending = pending.subarray(frame.size);
          }
        }
        assert.deepEqual(received, JSON.parse(JSON.stringify(sent)));
      },
    ),
    PROPERTY_PARAMETERS,
  );
});
