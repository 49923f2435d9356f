import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Batch, BatchId, GraphId, GraphTaskId } from '@spurbridge/wire';
import { formatGraphTaskId } from '@spurbridge/wire';
import fc from 'fast-check';
import type { TaskStatesRecord } from '../src/index.js';
import { TaskGraph, GraphError } from '../src/index.js';

const ID = 'gr-test' as GraphId;

interface Wish {
  readonly after?: readonly (string | number)[];
  readonly held?: boolean;
  readonly retries?: number;
  readonly estimateS?: number;
}

function batch(id: string, wishes: readonly Wish[], parent: string | null = null): Batch {
  return {
    id: id as BatchId,
    parent: parent as GraphTaskId | null,
    shapes: wishes.map((w) => ({
      cpus: 1,
      gpus: 0,
      memoryGb: 1,
      image: 'img',
      imageGb: 0,
      estimateS: w.estimateS ?? 10,
      retries: w.retries ?? 0,
      spot: true,
    })),
    tasks: wishes.map((w, i) => ({
      shape: i,
      after: (w.after ?? []).map((a) =>
        typeof a === 'number' ? formatGraphTaskId(id as BatchId, a) : (a as GraphTaskId),
      ),
      held: w.held ?? false,
    })),
  };
}

const t = (name: string): GraphTaskId => name as GraphTaskId;

function run(g: TaskGraph, name: string): void {
  g.markSubmitted(t(name));
  g.done(t(name));
}

function grown(...batches: Batch[]): TaskGraph {
  const g = new TaskGraph(ID);
  for (const b of batches) g.addBatch(b);
  return g;
}

test('a diamond runs from its top to its bottom, the longest chain first', () => {
  const g = grown(
    batch('a', [{}, { after: [0], estimateS: 5 }, { after: [0], estimateS: 50 }, { after: [1, 2] }]),
  );
  assert.deepEqual(g.readyTasks(), ['a:0']);
  assert.equal(g.criticalPathS(t('a:0')), 70);
  run(g, 'a:0');
  assert.deepEqual(g.readyTasks(), ['a:2', 'a:1']);
  run(g, 'a:1');
  run(g, 'a:2');
  assert.deepEqual(g.readyTasks(), ['a:3']);
  assert.deepEqual(g.takeDroppedResults(), ['a:0']);
  run(g, 'a:3');
  assert.ok(g.isComplete);
  assert.deepEqual(g.takeDroppedResults().sort(), ['a:1', 'a:2', 'a:3']);
});

test('a lost result of a shared parent makes it run again once, for all who need it', () => {
  const g = grown(batch('a', [{}, { after: [0] }, { after: [1] }, { after: [1] }, { after: [1] }]));
  run(g, 'a:0');
  run(g, 'a:1');
  assert.equal(g.resultState(t('a:0')), 'dropped');
  g.markSubmitted(t('a:4'));
  g.markResultLost(t('a:1'));
  // What the lost one takes is gone, too: it runs first.
  assert.deepEqual(g.readyTasks(), ['a:0']);
  assert.deepEqual([g.state(t('a:2')), g.state(t('a:4'))], ['waiting', 'submitted']);
  run(g, 'a:0');
  assert.deepEqual(g.readyTasks(), ['a:1']);
  run(g, 'a:1');
  assert.deepEqual(g.readyTasks(), ['a:2', 'a:3']);
  g.done(t('a:4'));
  run(g, 'a:2');
  run(g, 'a:3');
  assert.ok(g.isComplete && g.counts.done === 5);
});

test('a task that fails for good ends what waits for it, and each says which one was the first', () => {
  const g = grown(batch('a', [{ retries: 2 }, { after: [0] }, { after: [1] }, {}]));
  for (let n = 0; n < 3; n += 1) {
    assert.equal(g.state(t('a:0')), 'ready');
    g.markSubmitted(t('a:0'));
    g.failed(t('a:0'));
  }
  assert.equal(g.state(t('a:0')), 'failed');
  assert.deepEqual(g.failure(t('a:2')), { kind: 'upstream', first: 'a:0', chain: ['a:0', 'a:1', 'a:2'] });
  assert.deepEqual(g.failure(t('a:0')), { kind: 'error', first: 'a:0', chain: ['a:0'] });
  assert.equal(g.state(t('a:3')), 'ready');
});

test('cancelled with its children: those on machines count until they are gone, and none starts after', () => {
  const g = grown(batch('a', [{}, {}]));
  g.markSubmitted(t('a:0'));
  g.addBatch(batch('s', [{}, { after: [0] }], 'a:0'));
  g.markSubmitted(t('s:0'));
  g.addBatch(batch('ss', [{}], 's:0'));
  assert.deepEqual(g.cancel([t('a:0')], true).sort(), ['a:0', 's:0']);
  assert.deepEqual(g.readyTasks(), ['a:1']);
  assert.deepEqual([g.state(t('s:1')), g.state(t('ss:0'))], ['cancelled', 'cancelled']);
  // A spawn that comes after the cancellation is born cancelled.
  g.addBatch(batch('late', [{}], 's:0'));
  assert.equal(g.state(t('late:0')), 'cancelled');
  g.done(t('s:0'));
  g.gone(t('a:0'));
  assert.deepEqual(
    [g.state(t('s:0')), g.state(t('a:0')), g.counts.cancelling],
    ['cancelled', 'cancelled', 0],
  );
});

test('a task that runs again and spawns the same children makes none twice', () => {
  const g = grown(batch('a', [{}]));
  for (let n = 0; n < 2; n += 1) {
    g.markSubmitted(t('a:0'));
    g.addBatch(batch('a:0~0'.replace(':', '.'), [{}, {}], 'a:0'));
    g.gone(t('a:0'));
  }
  assert.equal(g.size, 3);
});

test('ten deep, each task spawns the next, and the chain ends with all of them', () => {
  const g = grown(batch('d0', [{}]));
  for (let depth = 0; depth < 10; depth += 1) {
    g.markSubmitted(t(`d${depth}:0`));
    g.addBatch(batch(`d${depth + 1}`, [{}], `d${depth}:0`));
    g.done(t(`d${depth}:0`));
  }
  run(g, 'd10:0');
  assert.ok(g.isComplete && g.counts.done === 11);
});

test('a batch that names a task nobody knows changes nothing', () => {
  const g = grown(batch('a', [{}]));
  assert.throws(() => {
    g.addBatch(batch('b', [{}, { after: ['x:0'] }]));
  }, GraphError);
  assert.throws(() => {
    g.addBatch(batch('b', [{ after: ['a:1'] }]));
  }, /a:1: no such task/);
  assert.throws(() => {
    g.addBatch(batch('b', [{}], 'a:9'));
  }, GraphError);
  assert.equal(g.size, 1);
});

test('a hundred thousand tasks are added, run and ended within seconds', () => {
  const g = new TaskGraph(ID);
  const began = performance.now();
  for (let b = 0; b < 250; b += 1)
    g.addBatch(
      batch(
        `b${b}`,
        Array.from({ length: 400 }, (_, i) =>
          b === 0
            ? {}
            : {
                after: [`b${b - 1}:${i}`, `b${b - 1}:${(i * 7) % 400}`].filter(
                  (x, k, all) => all.indexOf(x) === k,
                ),
              },
        ),
      ),
    );
  for (let ready = g.readyTasks(); ready.length > 0; ready = g.readyTasks())
    for (const id of ready) run(g, id);
  assert.equal(g.counts.done, 100_000);
  assert.ok(performance.now() - began < 15_000);
});

// --- against a plain reference -------------------------------------------------------------------

interface Plain {
  readonly name: string;
  readonly deps: number[];
  readonly parent: number;
  readonly retries: number;
  state: 'waiting' | 'ready' | 'submitted' | 'cancelling' | 'done' | 'dead';
  kept: boolean;
  held: boolean;
  errors: number;
}

/** The same rules, each stated once and applied until nothing changes any more. */
class Reference {
  readonly tasks: Plain[] = [];

  private over = (p: Plain): boolean => p.state === 'done' || p.state === 'dead';
  private needed(i: number): boolean {
    return (this.tasks[i] as Plain).held || this.tasks.some((c) => c.deps.includes(i) && !this.over(c));
  }

  /** What can never run is dead; only then is anything thought of that others need. */
  fix(): void {
    for (let changed = true; changed;) {
      changed = this.each((p, deps) => {
        const stuck = deps.some((d) => d.state === 'dead' || d.state === 'cancelling');
        return stuck && (p.state === 'waiting' || p.state === 'ready') ? { state: 'dead' } : null;
      });
      if (changed) continue;
      changed = this.each((p, deps, i) => {
        if (p.state === 'done' && p.kept !== this.needed(i))
          return p.kept ? { kept: false } : { state: 'waiting' };
        const all = deps.every((d) => d.state === 'done' && d.kept);
        if (p.state === 'waiting' && all) return { state: 'ready' };
        return p.state === 'ready' && !all ? { state: 'waiting' } : null;
      });
    }
  }

  private each(rule: (p: Plain, deps: Plain[], i: number) => Partial<Plain> | null): boolean {
    let changed = false;
    this.tasks.forEach((p, i) => {
      const next = rule(
        p,
        p.deps.map((d) => this.tasks[d] as Plain),
        i,
      );
      if (next !== null) {
        Object.assign(p, next);
        changed = true;
      }
    });
    return changed;
  }

  cancel(roots: number[], recursive: boolean): void {
    const hit = new Set(roots);
    for (let size = -1; recursive && size !== hit.size;) {
      size = hit.size;
      this.tasks.forEach((p, i) => {
        if (hit.has(p.parent)) hit.add(i);
      });
    }
    for (const i of hit) {
      const p = this.tasks[i] as Plain;
      if (p.state === 'submitted') p.state = 'cancelling';
      else if (p.state === 'waiting' || p.state === 'ready') p.state = 'dead';
    }
  }
}

let played = 0;

interface Real {
  g: TaskGraph;
  batches: Batch[];
  records: Map<string, TaskStatesRecord>;
}

type Op = 'add' | 'submit' | 'done' | 'failed' | 'gone' | 'hold' | 'release' | 'lost' | 'cancel' | 'takeover';

class Act implements fc.Command<Reference, Real> {
  constructor(
    private readonly op: Op,
    private readonly pick: number,
    private readonly wishes: readonly { deps: number[]; held: boolean; retries: number }[],
    private readonly flag: boolean,
  ) {}
  check = (): boolean => true;
  toString = (): string => `${this.op}(${this.pick},${String(this.flag)},${JSON.stringify(this.wishes)})`;

  run(model: Reference, real: Real): void {
    played += 1;
    const { tasks } = model;
    const among = (state: Plain['state']): number | undefined => {
      const found = [...tasks.keys()].filter((i) => tasks[i]?.state === state);
      return found[this.pick % Math.max(1, found.length)];
    };
    const any = tasks.length === 0 ? undefined : this.pick % tasks.length;
    const named = (i: number): GraphTaskId => t((tasks[i] as Plain).name);
    if (this.op === 'add') this.add(model, real);
    else if (this.op === 'submit') {
      const i = among('ready');
      if (i !== undefined) {
        // Never before all that it takes is there.
        for (const d of (tasks[i] as Plain).deps) assert.equal(real.g.resultState(named(d)), 'kept');
        real.g.markSubmitted(named(i));
        (tasks[i] as Plain).state = 'submitted';
      }
    } else if (this.op === 'done' || this.op === 'failed' || this.op === 'gone') {
      const i = among(this.flag ? 'cancelling' : 'submitted');
      if (i !== undefined) {
        real.g[this.op](named(i));
        const p = tasks[i] as Plain;
        if (p.state === 'cancelling') p.state = 'dead';
        else if (this.op === 'done') Object.assign(p, { state: 'done', kept: true });
        else if (this.op === 'failed' && ++p.errors > p.retries) p.state = 'dead';
        else p.state = 'waiting';
      }
    } else if (this.op === 'takeover') {
      real.g = TaskGraph.restore(
        ID,
        real.batches.map((b) => ({
          batch: b,
          record: JSON.parse(JSON.stringify(real.g.encodeBatch(b.id))) as TaskStatesRecord,
        })),
      );
    } else if (any !== undefined) {
      const p = tasks[any] as Plain;
      if (this.op === 'hold' || this.op === 'release') {
        real.g.setHeld(named(any), this.op === 'hold');
        p.held = this.op === 'hold';
      } else if (this.op === 'lost') {
        real.g.markResultLost(named(any));
        p.kept = false;
      } else if (this.op === 'cancel') {
        const running = real.g.cancel([named(any)], this.flag);
        model.cancel([any], this.flag);
        for (const r of running) assert.equal(real.g.state(r), 'cancelling');
      }
    }
    model.fix();
    this.compare(model, real.g);
  }

  private add(model: Reference, real: Real): void {
    const first = model.tasks.length;
    const id = `b${real.batches.length}`;
    const parent = first > 0 && this.flag ? this.pick % first : -1;
    const wishes = this.wishes.map((w, i) => {
      const deps = [...new Set(w.deps.map((d) => d % Math.max(1, first + i)))].filter((d) => d < first + i);
      return { ...w, deps };
    });
    const name = (i: number): string => (i < first ? (model.tasks[i] as Plain).name : `${id}:${i - first}`);
    const b = batch(
      id,
      wishes.map((w) => ({ ...w, after: w.deps.map(name) })),
      parent < 0 ? null : name(parent),
    );
    real.g.addBatch(b);
    real.g.addBatch(b);
    real.batches.push(b);
    wishes.forEach((w, i) => {
      const born = parent >= 0 && ['cancelling'].includes((model.tasks[parent] as Plain).state);
      const dead = parent >= 0 && real.g.state(t(name(parent))) === 'cancelled';
      model.tasks.push({
        name: `${id}:${i}`,
        deps: w.deps,
        parent,
        retries: w.retries,
        state: born || dead ? 'dead' : 'waiting',
        kept: false,
        held: w.held,
        errors: 0,
      });
    });
  }

  private compare(model: Reference, g: TaskGraph): void {
    const seen = model.tasks.map((p) => {
      const s = g.state(t(p.name));
      return [p.name, s === 'failed' || s === 'cancelled' ? 'dead' : s, g.resultState(t(p.name)) === 'kept'];
    });
    assert.deepEqual(
      seen,
      model.tasks.map((p) => [p.name, p.state, p.kept]),
    );
    const ready = model.tasks.filter((p) => p.state === 'ready').map((p) => p.name);
    assert.deepEqual([...g.readyTasks()].sort(), ready.sort());
    assert.equal(
      Object.values(g.counts).reduce((a, b) => a + b, 0),
      model.tasks.length,
    );
    for (const p of model.tasks) {
      const why = g.failure(t(p.name));
      if (why !== null) assert.equal(why.chain.at(-1), p.name);
      assert.equal(why !== null, g.state(t(p.name)) === 'failed');
    }
  }
}

test('the graph is what a plain reference says, over generated lives with takeovers between', () => {
  const ops: Op[] = [
    'add',
    'add',
    'submit',
    'submit',
    'submit',
    'done',
    'done',
    'done',
    'failed',
    'gone',
    'hold',
    'release',
    'lost',
    'lost',
    'cancel',
    'takeover',
  ];
  const wish = fc.record({
    deps: fc.array(fc.nat({ max: 30 }), { maxLength: 3 }),
    held: fc.boolean(),
    retries: fc.nat({ max: 1 }),
  });
  const act = fc
    .tuple(
      fc.constantFrom(...ops),
      fc.nat({ max: 40 }),
      fc.array(wish, { minLength: 1, maxLength: 4 }),
      fc.boolean(),
    )
    .map(([op, pick, wishes, flag]) => new Act(op, pick, wishes, flag));
  fc.assert(
    fc.property(fc.commands([act], { maxCommands: 60, size: 'max' }), (commands) => {
      fc.modelRun(
        () => ({ model: new Reference(), real: { g: new TaskGraph(ID), batches: [], records: new Map() } }),
        commands,
      );
    }),
    { numRuns: 500, seed: 21 },
  );
  assert.ok(played > 8000, `${played} steps`);
});
