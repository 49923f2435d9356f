import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type {
  Attempt,
  JobId,
  JobSpec,
  MachineId,
  NodeId,
  AgentEpoch,
  TaskStatus,
  FencingToken,
} from '../src/index.js';
import {
  ValidationError,
  decodePeerMessage,
  encodePeerMessage,
  formatHeartbeat,
  formatSubmission,
  parseHeartbeat,
  parseSubmission,
  parseTaskName,
} from '../src/index.js';

const RUNS = { seed: 20261201, numRuns: 200 };
const jobId = fc.stringMatching(/^wk-[0-9]{6}$/) as fc.Arbitrary<JobId>;
const amount = fc.double({ min: 0, max: 1e6, noNaN: true });
const label = fc.string({ minLength: 1, maxLength: 20 });

const spec: fc.Arbitrary<JobSpec> = fc.record({
  id: jobId,
  class: label,
  team: label,
  kind: fc.constantFrom('array', 'gang', 'service'),
  priority: fc.constantFrom('production', 'high', 'normal', 'low'),
  tasks: fc.integer({ min: 1, max: 100_000 }),
  cpus: amount,
  gpus: amount,
  memoryGb: amount,
  image: label,
  imageGb: amount,
  types: fc.option(fc.array(label, { maxLength: 3 })),
  zone: fc.option(label),
  oneZone: fc.boolean(),
  spread: fc.boolean(),
  spot: fc.boolean(),
  estimateS: amount,
  checkpointS: amount,
  saveS: amount,
  deadlineS: fc.option(amount),
});

test('a submission survives being written and read, unknown fields are ignored', () => {
  fc.assert(
    fc.property(spec, fc.jsonValue(), (s, extra) => {
      const text = JSON.stringify({ ...formatSubmission(s), somethingNew: extra });
      assert.equal(JSON.stringify(parseSubmission(JSON.parse(text))), JSON.stringify(s));
    }),
    RUNS,
  );
});

test('a submission with one field missing or of another type is malformed', () => {
  const optional = new Set(['builds', 'yard', 'dueS']);
  fc.assert(
    fc.property(spec, fc.nat(), fc.constantFrom<unknown>(undefined, {}, [], -1.5), (s, n, wrong) => {
      const body = formatSubmission(s);
      const fields = Object.keys(body).filter((f) => !optional.has(f));
      const field = fields[n % fields.length] as string;
      assert.throws(() => parseSubmission({ ...body, [field]: wrong }), ValidationError);
    }),
    RUNS,
  );
});

test('anything that is not an object is malformed, whatever JSON it is', () => {
  fc.assert(
    fc.property(fc.jsonValue(), (v) => {
      if (typeof v === 'object' && v !== null && !Array.isArray(v)) return;
      assert.throws(() => parseSubmission(v), ValidationError);
      assert.throws(() => parseHeartbeat(v), ValidationError);
    }),
    RUNS,
  );
});

const taskReport: fc.Arbitrary<TaskStatus> = fc.record({
  job: jobId,
  task: fc.nat(99_999),
  attempt: fc.nat(1e6) as unknown as fc.Arbitrary<Attempt>,
  phase: fc.constantFrom('fetching', 'waiting', 'running', 'saving', 'exited'),
  cause: fc.option(
    fc.constantFrom('done', 'stopped', 'peers', 'alone', 'error', 'no_room', 'busy', 'unknown'),
  ),
  saved: fc.boolean(),
});

test('a report survives being written and read', () => {
  fc.assert(
    fc.property(fc.array(taskReport, { maxLength: 8 }), fc.nat(), fc.option(amount), (tasks, n, noticeS) => {
      const report = {
        machine: 'n-000001' as MachineId,
        address: '10.0.0.1:9000',
        type: 'g8',
        zone: 'a',
        spot: n % 2 === 0,
        agentEpoch: n as AgentEpoch,
        sequence: n,
        fencingToken: n as FencingToken,
        preemptionNoticeS: noticeS,
        tasks,
      };
      const again = parseHeartbeat(JSON.parse(JSON.stringify(formatHeartbeat(report))));
      assert.deepEqual(JSON.parse(JSON.stringify(again)), JSON.parse(JSON.stringify(report)));
    }),
    RUNS,
  );
});

test('task names that name no task are malformed', () => {
  for (const bad of ['', '/', 'wk-1', 'wk-1/', 'wk-1/x', 'x/1', 'wk-1/-1', 'wk-1/1.5'])
    assert.throws(() => parseTaskName(bad), ValidationError, bad);
  assert.deepEqual(parseTaskName('wk-000412/3'), { job: 'wk-000412', task: 3 });
});

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
    tasks: fc.array(taskReport, { maxLength: 5 }),
  }),
});
const order = fc.record({
  job: jobId,
  task: fc.nat(),
  attempt: fc.nat() as unknown as fc.Arbitrary<Attempt>,
});
const forwardAnswer = fc.record({
  id: fc.nat(),
  machine: label as unknown as fc.Arbitrary<MachineId>,
  agentEpoch: fc.nat() as unknown as fc.Arbitrary<AgentEpoch>,
  sequence: fc.nat(),
  code: fc.constantFrom(200 as const, 503 as const),
  fencingToken: fc.nat(2 ** 31 - 1) as unknown as fc.Arbitrary<FencingToken>,
  delegatedLeaseMs: fc.nat(),
  commands: fc.array(
    fc.oneof(
      order.map((o) => ({ op: 'start' as const, ...o })),
      order.map((o) => ({ op: 'stop' as const, ...o, graceS: 4 })),
      order.map((o) => ({ op: 'forget' as const, ...o })),
    ),
    { maxLength: 4 },
  ),
});

test('peer messages are found again however the stream is cut', () => {
  const message = fc.record({
    status: fc.record({
      node: label as fc.Arbitrary<NodeId>,
      fencingToken: fc.nat(2 ** 31 - 1) as unknown as fc.Arbitrary<FencingToken>,
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
    forwardedHeartbeatResponses: fc.array(forwardAnswer, { minLength: 1, maxLength: 3 }),
  });
  fc.assert(
    fc.property(
      fc.array(message, { minLength: 1, maxLength: 4 }),
      fc.integer({ min: 1, max: 64 }),
      (sent, step) => {
        const stream = Buffer.concat(sent.map((m) => encodePeerMessage(m)));
        let held = Buffer.alloc(0);
        const received: unknown[] = [];
        for (let at = 0; at < stream.length; at += step) {
          held = Buffer.concat([held, stream.subarray(at, at + step)]);
          for (let f = decodePeerMessage(held); f !== null; f = decodePeerMessage(held)) {
            received.push(JSON.parse(JSON.stringify(f.message)));
            held = held.subarray(f.size);
          }
        }
        assert.deepEqual(received, JSON.parse(JSON.stringify(sent)));
      },
    ),
    RUNS,
  );
});
