import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { Configuration, ConfigurationChange } from '../src/index.js';
import {
  UNBOUNDED_GUARANTEES,
  InvalidChangeError,
  applyChanges,
  configurationFromSettings,
  decodePage,
  diffConfigurations,
  encodePage,
  formatChange,
  parseChange,
  parseProposal,
} from '../src/index.js';

const SETTINGS = configurationFromSettings(
  [{ name: 'red', cpus: 10, cpusMax: 20, gpus: 0, gpusMax: Infinity }],
  [{ kind: 'wait', class: 'urgent', withinS: 3.7, share: 0.99, times: null }],
);

/** The field that `applyChanges` reports as invalid, or '' if it accepts the change. */
function invalidFieldOf(
  change: ConfigurationChange,
  before: Configuration = SETTINGS,
  bound = UNBOUNDED_GUARANTEES,
): string {
  try {
    applyChanges(before, [change], bound);
  } catch (error) {
    assert.ok(error instanceof InvalidChangeError);
    return error.field;
  }
  return '';
}

test('applyChanges increments the version and keeps omitted fields, and diffConfigurations lists the changes', () => {
  const next = applyChanges(
    SETTINGS,
    [
      { team: 'red', cpusMax: 15 },
      { team: 'blue', cpus: 3 },
    ],
    UNBOUNDED_GUARANTEES,
  );
  assert.equal(next.version, 1);
  assert.deepEqual(next.teams[0], { ...SETTINGS.teams[0], cpusMax: 15 });
  assert.deepEqual(
    diffConfigurations(SETTINGS, next).map(({ path, from, to }) => `${path} ${from} ${to}`),
    [
      'teams.red.cpusMax 20 15',
      'teams.blue.cpus - 3',
      'teams.blue.cpusMax - no limit',
      'teams.blue.gpus - 0',
      'teams.blue.gpusMax - no limit',
    ],
  );
});

test('applyChanges rejects invalid amounts and excessive guarantees, and names the field', () => {
  assert.equal(invalidFieldOf({ team: 'red', cpus: 21 }), 'teams.red.cpus');
  assert.equal(invalidFieldOf({ team: 'red', cpus: -1 }), 'teams.red.cpus');
  assert.equal(invalidFieldOf({ team: 'red', cpus: Infinity }), 'teams.red.cpus');
  assert.equal(invalidFieldOf({ team: 'red', cpusMax: NaN }), 'teams.red.cpusMax');
  assert.equal(invalidFieldOf({ team: 'blue', cpus: 5 }, SETTINGS, { cpus: 14, gpus: 0 }), 'teams.cpus');
  assert.equal(invalidFieldOf({ team: 'blue', cpus: 4 }, SETTINGS, { cpus: 14, gpus: 0 }), '');
});

test('parsing rejects unknown fields, invalid amounts and empty requests, and reports the path of the field', () => {
  const proposal = { base: 0, changeId: 'x', author: 'me', changes: [{ team: 'red', cpu: 3 }] };
  assert.throws(() => parseProposal(proposal), /changes\[0\]\.cpu: /);
  assert.throws(
    () => parseProposal({ ...proposal, changes: [{ team: 'red', cpus: null }] }),
    /changes\[0\]\.cpus/,
  );
  assert.throws(
    () => parseProposal({ ...proposal, changes: [{ team: 'red', cpus: 1e999 }] }),
    /changes\[0\]\.cpus/,
  );
  assert.throws(() => parseProposal({ ...proposal, changes: [] }), /changes/);
  assert.throws(() => parseProposal({ ...proposal, changes: [{ team: 'red' }], forced: true }), /forced/);
  const objectives = [{ kind: 'wait', class: null, withinS: 1, share: 1, times: null, within: 2 }];
  assert.throws(() => parseChange({ objectives }, 'changes[0]'), /changes\[0\]\.objectives\[0\]\.within/);
});

const amount = fc.integer({ min: 0, max: 1000 }).map((quarters) => quarters / 4);
const team = fc.record(
  {
    name: fc.string({ minLength: 1, maxLength: 20 }),
    cpus: amount,
    cpusMax: fc.oneof(amount, fc.constant(Infinity)),
    gpus: amount,
    gpusMax: fc.oneof(amount, fc.constant(Infinity)),
    isRetired: fc.boolean(),
  },
  { noNullPrototype: true },
);

test('pages and changes are decoded unchanged, including limits that are not set', () => {
  fc.assert(
    fc.property(fc.array(team, { maxLength: 20 }), (teams) => {
      const page = { version: 3 as never, teams };
      assert.deepEqual(decodePage(JSON.parse(JSON.stringify(encodePage(page)))), page);
      for (const { name, ...rest } of teams) {
        const change = { team: name, ...rest };
        assert.deepEqual(parseChange(JSON.parse(JSON.stringify(formatChange(change))), 'x'), change);
      }
    }),
  );
});
