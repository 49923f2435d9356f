import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { AgentEpoch, FencingToken, MachineId } from '../src/index.js';
import { ValidationError, formatHeartbeat, parseHeartbeat, parseTaskName } from '../src/index.js';
import { PROPERTY_PARAMETERS, amount, taskStatus } from './arbitraries.js';

test('parseHeartbeat reads back a formatted heartbeat unchanged', () => {
  fc.assert(
    fc.property(fc.array(taskStatus, { maxLength: 8 }), fc.nat(), fc.option(amount), (tasks, n, noticeS) => {
      const heartbeat = {
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
      const parsed = parseHeartbeat(JSON.parse(JSON.stringify(formatHeartbeat(heartbeat))));
      assert.deepEqual(JSON.parse(JSON.stringify(parsed)), JSON.parse(JSON.stringify(heartbeat)));
    }),
    PROPERTY_PARAMETERS,
  );
});

test('parseTaskName rejects malformed task names', () => {
  for (const malformed of ['', '/', 'wk-1', 'wk-1/', 'wk-1/x', 'x/1', 'wk-1/-1', 'wk-1/1.5'])
    assert.throws(() => parseTaskName(malformed), ValidationError, malformed);
  assert.deepEqual(parseTaskName('wk-000412/3'), { job: 'wk-000412', task: 3 });
});
