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

const taskId = (name: string): GraphTaskId => name as GraphTaskId;

function run(graph: TaskGraph, name: string): void {
  graph.markSubmitted(taskId(name));
  graph.markDone(taskId(name));
}

function grown(...batches: Batch[]): TaskGraph {
  const graph = new TaskGraph(ID);
  for (const b of batches) graph.addBatch(b);
  return graph;
}

test('a diamond of tasks runs in dependency order, the longest chain first', () => {
  const graph = grown(
    batch('a', [{}, { after: [0], estimateS: 5 }, { after: [0], estimateS: 50 }, { after: [1, 2] }]),
  );
  assert.deepEqual(graph.readyTasks(), ['a:0']);
  assert.equal(graph.criticalPathS(taskId('a:0')), 70);
  run(graph, 'a:0');
  assert.deepEqual(graph.readyTasks(), ['a:2', 'a:1']);
  run(graph, 'a:1');
  run(graph, 'a:2');
  assert.deepEqual(graph.readyTasks(), ['a:3']);
  assert.deepEqual(graph.takeDroppedResults(), ['a:0']);
  run(graph, 'a:3');
  assert.ok(graph.isComplete);
  assert.deepEqual(graph.takeDroppedResults().sort(), ['a:1', 'a:2', 'a:3']);
});

test('a lost result makes its task run again once, for all tasks that need it', () => {
  const graph = grown(batch('a', [{}, { after: [0] }, { after: [1] }, { after: [1] }, { after: [1] }]));
  run(graph, 'a:0');
  run(graph, 'a:1');
  assert.equal(graph.resultState(taskId('a:0')), 'dropped');
  graph.markSubmitted(taskId('a:4'));
  graph.markResultLost(taskId('a:1'));
  // What the lost one takes is gone, too: it runs first.
  assert.deepEqual(graph.readyTasks(), ['a:0']);
  assert.deepEqual([graph.state(taskId('a:2')), graph.state(taskId('a:4'))], ['waiting', 'submitted']);
  run(graph, 'a:0');
  assert.deepEqual(graph.readyTasks(), ['a:1']);
  run(graph, 'a:1');
  assert.deepEqual(graph.readyTasks(), ['a:2', 'a:3']);
  graph.markDone(taskId('a:4'));
  run(graph, 'a:2');
  run(graph, 'a:3');
  assert.ok(graph.isComplete && graph.counts.done === 5);
});

test('a task that exhausts its retries fails its dependents, and each names the task that failed first', () => {
  const graph = grown(batch('a', [{ retries: 2 }, { after: [0] }, { after: [1] }, {}]));
  for (let n = 0; n < 3; n += 1) {
    assert.equal(graph.state(taskId('a:0')), 'ready');
    graph.markSubmitted(taskId('a:0'));
    graph.markFailed(taskId('a:0'));
  }
  assert.equal(graph.state(taskId('a:0')), 'failed');
  assert.deepEqual(graph.failure(taskId('a:2')), {
    kind: 'upstream',
    first: 'a:0',
    chain: ['a:0', 'a:1', 'a:2'],
  });
  assert.deepEqual(graph.failure(taskId('a:0')), { kind: 'error', first: 'a:0', chain: ['a:0'] });
  assert.equal(graph.state(taskId('a:3')), 'ready');
});

test('a recursive cancellation reaches spawned tasks: submitted ones are cancelling until stopped, and none becomes ready', () => {
  const graph = grown(batch('a', [{}, {}]));
  graph.markSubmitted(taskId('a:0'));
  graph.addBatch(batch('s', [{}, { after: [0] }], 'a:0'));
  graph.markSubmitted(taskId('s:0'));
  graph.addBatch(batch('ss', [{}], 's:0'));
  assert.deepEqual(graph.cancel([taskId('a:0')], true).sort(), ['a:0', 's:0']);
  assert.deepEqual(graph.readyTasks(), ['a:1']);
  assert.deepEqual([graph.state(taskId('s:1')), graph.state(taskId('ss:0'))], ['cancelled', 'cancelled']);
  // A spawn that comes after the cancellation is born cancelled.
  graph.addBatch(batch('late', [{}], 's:0'));
  assert.equal(graph.state(taskId('late:0')), 'cancelled');
  graph.markDone(taskId('s:0'));
  graph.markStopped(taskId('a:0'));
  assert.deepEqual(
    [graph.state(taskId('s:0')), graph.state(taskId('a:0')), graph.counts.cancelling],
    ['cancelled', 'cancelled', 0],
  );
});

test('a task that runs again and spawns the same batch adds no task twice', () => {
  const graph = grown(batch('a', [{}]));
  for (let n = 0; n < 2; n += 1) {
    graph.markSubmitted(taskId('a:0'));
    graph.addBatch(batch('a:0~0'.replace(':', '.'), [{}, {}], 'a:0'));
    graph.markStopped(taskId('a:0'));
  }
  assert.equal(graph.size, 3);
});

test('a chain of ten spawned tasks completes', () => {
  const graph = grown(batch('d0', [{}]));
  for (let depth = 0; depth < 10; depth += 1) {
    graph.markSubmitted(taskId(`d${depth}:0`));
    graph.addBatch(batch(`d${depth + 1}`, [{}], `d${depth}:0`));
    graph.markDone(taskId(`d${depth}:0`));
  }
  run(graph, 'd10:0');
  assert.ok(graph.isComplete && graph.counts.done === 11);
});

test('a batch that refers to an unknown task is rejected and changes nothing', () => {
  const graph = grown(batch('a', [{}]));
  assert.throws(() => {
    graph.addBatch(batch('b', [{}, { after: ['x:0'] }]));
  }, GraphError);
  assert.throws(() => {
    graph.addBatch(batch('b', [{ after: ['a:1'] }]));
  }, /a:1: no such task/);
  assert.throws(() => {
    graph.addBatch(batch('b', [{}], 'a:9'));
  }, GraphError);
  assert.equal(graph.size, 1);
});

test('a graph of a hundred thousand tasks completes within seconds', () => {
  const graph = new TaskGraph(ID);
  const began = performance.now();
  for (let b = 0; b < 250; b += 1)
    graph.addBatch(
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
  for (let ready = graph.readyTasks(); ready.length > 0; ready = graph.readyTasks())
    for (const id of ready) run(graph, id);
  assert.equal(graph.counts.done, 100_000);
  assert.ok(performance.now() - began < 15_000);
});

// --- against a reference model -------------------------------------------------------------------

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
  graph: TaskGraph;
  batches: Batch[];
  records: Map<string, TaskStatesRecord>;
}

type Op = 'add' | 'submit' | 'done' | 'failed' | 'gone' | 'hold' | 'release' | 'lost' | 'cancel' | 'failover';

/** How the graph is told that a run of a task is over. */
const ENDINGS = { done: 'markDone', failed: 'markFailed', gone: 'markStopped' } as const;

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
    const named = (i: number): GraphTaskId => taskId((tasks[i] as Plain).name);
    if (this.op === 'add') this.add(model, real);
    else if (this.op === 'submit') {
      const i = among('ready');
      if (i !== undefined) {
        // Never before all that it takes is there.
        for (const d of (tasks[i] as Plain).deps) assert.equal(real.graph.resultState(named(d)), 'kept');
        real.graph.markSubmitted(named(i));
        (tasks[i] as Plain).state = 'submitted';
      }
    } else if (this.op === 'done' || this.op === 'failed' || this.op === 'gone') {
      const i = among(this.flag ? 'cancelling' : 'submitted');
      if (i !== undefined) {
        real.graph[ENDINGS[this.op]](named(i));
        const p = tasks[i] as Plain;
        if (p.state === 'cancelling') p.state = 'dead';
        else if (this.op === 'done') Object.assign(p, { state: 'done', kept: true });
        else if (this.op === 'failed' && ++p.errors > p.retries) p.state = 'dead';
        else p.state = 'waiting';
      }
    } else if (this.op === 'failover') {
      real.graph = TaskGraph.restore(
        ID,
        real.batches.map((b) => ({
          batch: b,
          record: JSON.parse(JSON.stringify(real.graph.encodeBatch(b.id))) as TaskStatesRecord,
        })),
      );
    } else if (any !== undefined) {
      const p = tasks[any] as Plain;
      if (this.op === 'hold' || this.op === 'release') {
        real.graph.setHeld(named(any), this.op === 'hold');
        p.held = this.op === 'hold';
      } else if (this.op === 'lost') {
        real.graph.markResultLost(named(any));
        p.kept = false;
      } else if (this.op === 'cancel') {
        const running = real.graph.cancel([named(any)], this.flag);
        model.cancel([any], this.flag);
        for (const r of running) assert.equal(real.graph.state(r), 'cancelling');
      }
    }
    model.fix();
    this.compare(model, real.graph);
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
    real.graph.addBatch(b);
    real.graph.addBatch(b);
    real.batches.push(b);
    wishes.forEach((w, i) => {
      const born = parent >= 0 && ['cancelling'].includes((model.tasks[parent] as Plain).state);
      const dead = parent >= 0 && real.graph.state(taskId(name(parent))) === 'cancelled';
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

  private compare(model: Reference, graph: TaskGraph): void {
    const seen = model.tasks.map((p) => {
      const s = graph.state(taskId(p.name));
      return [
        p.name,
        s === 'failed' || s === 'cancelled' ? 'dead' : s,
        graph.resultState(taskId(p.name)) === 'kept',
      ];
    });
    assert.deepEqual(
      seen,
      model.tasks.map((p) => [p.name, p.state, p.kept]),
    );
    const ready = model.tasks.filter((p) => p.state === 'ready').map((p) => p.name);
    assert.deepEqual([...graph.readyTasks()].sort(), ready.sort());
    assert.equal(
      Object.values(graph.counts).reduce((a, b) => a + b, 0),
      model.tasks.length,
    );
    for (const p of model.tasks) {
      const why = graph.failure(taskId(p.name));
      if (why !== null) assert.equal(why.chain.at(-1), p.name);
      assert.equal(why !== null, graph.state(taskId(p.name)) === 'failed');
    }
  }
}

test('the graph agrees with a plain reference model over generated commands and failovers', () => {
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
    'failover',
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
        () => ({
          model: new Reference(),
          real: { graph: new TaskGraph(ID), batches: [], records: new Map() },
        }),
        commands,
      );
    }),
    { numRuns: 500, seed: 21 },
  );
  assert.ok(played > 8000, `${played} steps`);
});
