import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WallClockMs } from '@spurbridge/model';
import type { JobId, Version } from '@spurbridge/wire';
import fc from 'fast-check';
import type { DeferralState } from '../src/index.js';
import { Deferral, DeferralTable, deferralPageKey } from '../src/index.js';

function deferral(n: number): Deferral {
  return new Deferral(
    `wk-${String(n).padStart(64, '0')}` as JobId,
    1e12 as WallClockMs,
    2e12 as WallClockMs,
    'no-saving',
    99,
  );
}

test('a deferral that has ended cannot change any more', () => {
  for (const end of ['released', 'forced'] as const) {
    const d = deferral(1);
    d.change('deferred', 3 as WallClockMs, 'blind', 2);
    assert.deepEqual([d.state, d.until, d.reason, d.revision], ['deferred', 3, 'blind', 2]);
    d.change(end, 4 as WallClockMs, 'latest', 3);
    for (const next of ['deferred', 'released', 'forced'] as const)
      assert.throws(() => {
        d.change(next, 5 as WallClockMs, 'cheaper', 4);
      });
    assert.equal(d.state, end);
  }
});

/** The expected state of each deferral. */
type Model = Map<string, DeferralState>;

/** The table under test, and the pages in the simulated key-value store. */
interface Stored {
  table: DeferralTable;
  pages: Map<string, unknown>;
}

class Step implements fc.Command<Model, Stored> {
  constructor(
    private readonly kind: 'add' | 'release' | 'remove' | 'flush' | 'failover',
    private readonly n: number,
  ) {}
  check = (): boolean => true;
  toString = (): string => `${this.kind}(${this.n})`;
  run(model: Model, real: Stored): void {
    const d = deferral(this.n);
    const id = d.job;
    if (this.kind === 'add' && !model.has(id)) {
      real.table.add(d);
      model.set(id, 'deferred');
    } else if (this.kind === 'release' && model.get(id) === 'deferred') {
      real.table.get(id)?.change('released', 5 as WallClockMs, 'cheapest', 1);
      real.table.markChanged(id);
      model.set(id, 'released');
    } else if (this.kind === 'remove') {
      real.table.remove(id);
      model.delete(id);
    }
    if (this.kind === 'flush' || this.kind === 'failover')
      for (const page of real.table.pages) {
        if (page.generation === page.durableGeneration) continue;
        const value = real.table.encode(page);
        assert.ok(JSON.stringify(value).length <= 1024, 'the page exceeds the size limit of a value');
        real.pages.set(deferralPageKey(page.index), JSON.parse(JSON.stringify(value)));
        page.durableGeneration = page.generation;
      }
    if (this.kind === 'failover') {
      real.table = new DeferralTable(1);
      for (const [key, value] of real.pages) real.table.restore(Number(key.slice(2)), value, 7 as Version);
    }
    const actual = new Map([...real.table.all()].map((x) => [x.job as string, x.state]));
    assert.deepEqual(actual, new Map([...actual.keys()].map((k) => [k, model.get(k)])));
    assert.equal(actual.size, model.size);
    if (this.kind === 'flush') for (const k of model.keys()) assert.ok(real.table.isDurable(k as JobId));
  }
}

test('the deferral table agrees with a reference map over pages, writes and failovers', () => {
  const kinds = ['add', 'add', 'release', 'remove', 'flush', 'failover'] as const;
  const step = fc.tuple(fc.constantFrom(...kinds), fc.nat({ max: 25 })).map(([k, n]) => new Step(k, n));
  fc.assert(
    fc.property(fc.commands([step], { maxCommands: 80, size: 'max' }), (commands) => {
      fc.modelRun(
        () => ({ model: new Map(), real: { table: new DeferralTable(1), pages: new Map() } }),
        commands,
      );
    }),
    { numRuns: 200, seed: 4 },
  );
});
