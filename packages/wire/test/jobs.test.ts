import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { JobSpec } from '../src/index.js';
import { ValidationError, formatSubmission, parseHeartbeat, parseSubmission } from '../src/index.js';
import { RUNS, amount, jobId, label } from './arbitraries.js';

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
