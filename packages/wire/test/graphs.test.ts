import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { Batch, BatchId, GraphTaskId } from '../src/index.js';
import {
  ValidationError,
  formatBatch,
  formatGraphTaskId,
  parseBatch,
  parseGraphSpec,
  parseResultUpdate,
} from '../src/index.js';

const id = fc.stringMatching(/^[A-Za-z0-9_-]{1,12}$/);
const batches: fc.Arbitrary<Batch> = fc
  .record({
    id,
    parent: fc.option(fc.tuple(id, fc.nat({ max: 399 }))),
    shapes: fc.array(
      fc.record({
        cpus: fc.nat({ max: 64 }),
        gpus: fc.nat({ max: 8 }),
        memoryGb: fc.nat({ max: 512 }),
        image: id,
        imageGb: fc.nat({ max: 40 }),
        estimateS: fc.nat({ max: 1e5 }),
        retries: fc.nat({ max: 100 }),
        spot: fc.boolean(),
      }),
      { minLength: 1, maxLength: 4 },
    ),
    tasks: fc.array(
      fc.record({
        shape: fc.nat(),
        own: fc.array(fc.nat(), { maxLength: 3 }),
        others: fc.array(fc.tuple(id, fc.nat({ max: 9 })), { maxLength: 3 }),
        held: fc.boolean(),
      }),
      { minLength: 1, maxLength: 12 },
    ),
  })
  .map((b) => {
    const batch = b.id as BatchId;
    return {
      id: batch,
      parent: b.parent === null ? null : formatGraphTaskId(b.parent[0] as BatchId, b.parent[1]),
      shapes: structuredClone(b.shapes),
      tasks: b.tasks.map((task, index) => {
        // A task depends only on earlier tasks of its batch, so that the dependencies have no cycle.
        const own = index === 0 ? [] : task.own.map((n) => formatGraphTaskId(batch, n % index));
        const others = task.others
          .filter(([otherBatch]) => otherBatch !== b.id)
          .map(([otherBatch, n]) => formatGraphTaskId(otherBatch as BatchId, n));
        return {
          shape: task.shape % b.shapes.length,
          after: [...new Set<GraphTaskId>([...own, ...others])],
          held: task.held,
        };
      }),
    };
  });

test('parseBatch reads back a formatted batch unchanged', () => {
  fc.assert(
    fc.property(batches, (batch) => {
      assert.deepEqual(parseBatch(JSON.parse(JSON.stringify(formatBatch(batch)))), batch);
    }),
  );
});

test('graph requests with arbitrary content are parsed or rejected with the name of a field', () => {
  const withChangedField = fc
    .tuple(batches, fc.constantFrom('batch', 'parent', 'shapes', 'tasks'), fc.jsonValue())
    .map(([batch, field, value]) => ({ ...formatBatch(batch), [field]: value }));
  const withChangedTask = fc
    .tuple(batches, fc.jsonValue(), fc.nat({ max: 2 }))
    .map(([batch, value, position]) => ({
      ...formatBatch(batch),
      tasks: [[0, [], false].with(position, value as never)],
    }));
  for (const parse of [parseBatch, parseGraphSpec, parseResultUpdate]) {
    let accepted = 0;
    let rejected = 0;
    fc.assert(
      fc.property(fc.oneof(withChangedField, withChangedTask, fc.jsonValue()), (value) => {
        try {
          parse(value);
          accepted += 1;
        } catch (error) {
          assert.ok(error instanceof ValidationError, String(error));
          assert.notEqual(error.field, '');
          rejected += 1;
        }
      }),
      { numRuns: 1500, seed: 3 },
    );
    assert.ok(
      rejected > 200 && (parse !== parseBatch || accepted > 20),
      `${accepted} accepted, ${rejected} rejected`,
    );
  }
});

test('parseBatch reports the path of the invalid field', () => {
  const shapes = [{ cpus: 1, image: 'i', estimateS: 1 }];
  const cases: readonly [RegExp, object][] = [
    [/^batch:/, { batch: 'a b', shapes, tasks: [[0]] }],
    [/^shapes:/, { batch: 'a', shapes: [], tasks: [[0]] }],
    [/^shapes\[0\]\.cpus:/, { batch: 'a', shapes: [{ image: 'i', estimateS: 1 }], tasks: [[0]] }],
    [/^shapes\[0\]\.retries:/, { batch: 'a', shapes: [{ ...shapes[0], retries: 101 }], tasks: [[0]] }],
    [/^tasks:/, { batch: 'a', shapes, tasks: [] }],
    [/^tasks\[0\]\[0\]:/, { batch: 'a', shapes, tasks: [[1]] }],
    [
      /^tasks\[1\]\[1\]\[0\]: expected each task at most once|^tasks\[1\]\[1\]\[1\]: expected each task at most once/,
      { batch: 'a', shapes, tasks: [[0], [0, [0, 'a:0']]] },
    ],
    [/^tasks\[0\]\[1\]\[0\]: expected a task of the batch/, { batch: 'a', shapes, tasks: [[0, [5]]] }],
    [
      /^tasks\[0\]\[1\]: expected no dependency cycle/,
      {
        batch: 'a',
        shapes,
        tasks: [
          [0, [2]],
          [0, [0]],
          [0, [1]],
        ],
      },
    ],
    [/^tasks\[0\]\[2\]:/, { batch: 'a', shapes, tasks: [[0, [], 'yes']] }],
    [/^parent:/, { batch: 'a', parent: 'x', shapes, tasks: [[0]] }],
  ];
  for (const [expectedMessage, body] of cases)
    assert.throws(
      () => parseBatch(body),
      (error) => error instanceof ValidationError && expectedMessage.test(error.message),
      String(expectedMessage),
    );
});
