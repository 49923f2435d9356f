import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { JobSpec } from '../src/index.js';
import { ValidationError, formatSubmission, parseHeartbeat, parseSubmission } from '../src/index.js';
import { PROPERTY_PARAMETERS, amount, jobId, label } from './arbitraries.js';

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

test('parseSubmission reads back a formatted submission and ignores unknown fields', () => {
  fc.assert(
    fc.property(spec, fc.jsonValue(), (submitted, extra) => {
      const text = JSON.stringify({ ...formatSubmission(submitted), somethingNew: extra });
      assert.equal(JSON.stringify(parseSubmission(JSON.parse(text))), JSON.stringify(submitted));
    }),
    PROPERTY_PARAMETERS,
  );
});

test('parseSubmission rejects a required field that is missing or has the wrong type', () => {
  const optional = new Set(['builds', 'yard', 'dueS']);
  fc.assert(
    fc.property(
      spec,
      fc.nat(),
      fc.constantFrom<unknown>(undefined, {}, [], -1.5),
      (submitted, n, invalidValue) => {
        const body = formatSubmission(submitted);
        const fields = Object.keys(body).filter((name) => !optional.has(name));
        const field = fields[n % fields.length] as string;
        assert.throws(() => parseSubmission({ ...body, [field]: invalidValue }), ValidationError);
      },
    ),
    PROPERTY_PARAMETERS,
  );
});

test('parseSubmission and parseHeartbeat reject every JSON value that is not an object', () => {
  fc.assert(
    fc.property(fc.jsonValue(), (value) => {
      if (typeof value === 'object' && value !== null && !Array.isArray(value)) return;
      assert.throws(() => parseSubmission(value), ValidationError);
      assert.throws(() => parseHeartbeat(value), ValidationError);
    }),
    PROPERTY_PARAMETERS,
  );
});
