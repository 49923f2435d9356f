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
      tasks: b.tasks.map((t, i) => {
        // Of its own batch a task takes earlier ones, so that there is no circle.
        const own = i === 0 ? [] : t.own.map((n) => formatGraphTaskId(batch, n % i));
        const others = t.others
          .filter(([o]) => o !== b.id)
          .map(([o, n]) => formatGraphTaskId(o as BatchId, n));
        return {
          shape: t.shape % b.shapes.length,
          after: [...new Set<GraphTaskId>([...own, ...others])],
          held: t.held,
        };
      }),
    };
  });

test('a batch is read back as it was sent', () => {
  fc.assert(
    fc.property(batches, (b) => {
      assert.deepEqual(parseBatch(JSON.parse(JSON.stringify(formatBatch(b)))), b);
    }),
  );
});

test('whatever a client sends is read or refused with a field', () => {
  const changed = fc
    .tuple(batches, fc.constantFrom('batch', 'parent', 'shapes', 'tasks'), fc.jsonValue())
    .map(([b, field, junk]) => ({ ...formatBatch(b), [field]: junk }));
  const inner = fc
    .tuple(batches, fc.jsonValue(), fc.nat({ max: 2 }))
    .map(([b, junk, at]) => ({ ...formatBatch(b), tasks: [[0, [], false].with(at, junk as never)] }));
  for (const parse of [parseBatch, parseGraphSpec, parseResultUpdate]) {
    let read = 0;
    let refused = 0;
    fc.assert(
      fc.property(fc.oneof(changed, inner, fc.jsonValue()), (value) => {
        try {
          parse(value);
          read += 1;
        } catch (e) {
          assert.ok(e instanceof ValidationError, String(e));
          assert.notEqual(e.field, '');
          refused += 1;
        }
      }),
      { numRuns: 1500, seed: 3 },
    );
    assert.ok(refused > 200 && (parse !== parseBatch || read > 20), `${read} read, ${refused} refused`);
  }
});

test('what is wrong in a batch is named by its path', () => {
  const shapes = [{ cpus: 1, image: 'i', estimateS: 1 }];
  const cases: readonly [RegExp, object][] = [
    [/^batch:/, { batch: 'a b', shapes, tasks: [[0]] }],
    [/^shapes:/, { batch: 'a', shapes: [], tasks: [[0]] }],
    [/^shapes\[0\]\.cpus:/, { batch: 'a', shapes: [{ image: 'i', estimateS: 1 }], tasks: [[0]] }],
    [/^shapes\[0\]\.retries:/, { batch: 'a', shapes: [{ ...shapes[0], retries: 101 }], tasks: [[0]] }],
    [/^tasks:/, { batch: 'a', shapes, tasks: [] }],
    [/^tasks\[0\]\[0\]:/, { batch: 'a', shapes, tasks: [[1]] }],
    [
      /^tasks\[1\]\[1\]\[0\]: expected no task twice|^tasks\[1\]\[1\]\[1\]: expected no task twice/,
      { batch: 'a', shapes, tasks: [[0], [0, [0, 'a:0']]] },
    ],
    [/^tasks\[0\]\[1\]\[0\]: expected a task of the batch/, { batch: 'a', shapes, tasks: [[0, [5]]] }],
    [
      /^tasks\[0\]\[1\]: expected no circle/,
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
  for (const [why, body] of cases)
    assert.throws(
      () => parseBatch(body),
      (e) => e instanceof ValidationError && why.test(e.message),
      String(why),
    );
});
