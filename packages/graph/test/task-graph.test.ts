import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Batch, BatchId, GraphId, GraphTaskId } from '@spurbridge/wire';
import { formatGraphTaskId } from '@spurbridge/wire';
import fc from 'fast-check';
import type { TaskStatesRecord } from '../src/index.js';
import { TaskGraph, GraphError } from '../src/index.js';

const ID = 'gr-test' as GraphId;

interface TaskInput {
  readonly after?: readonly (string | number)[];
  readonly held?: boolean;
  readonly retries?: number;
  readonly estimateS?: number;
}

function batch(id: string, inputs: readonly TaskInput[], parent: string | null = null): Batch {
  return {
    id: id as BatchId,
    parent: parent as GraphTaskId | null,
    shapes: inputs.map((input) => ({
      cpus: 1,
      gpus: 0,
      memoryGb: 1,
      image: 'img',
      imageGb: 0,
      estimateS: input.estimateS ?? 10,
      retries: input.retries ?? 0,
      spot: true,
    })),
    tasks: inputs.map((input, i) => ({
      shape: i,
      after: (input.after ?? []).map((a) =>
        typeof a === 'number' ? formatGraphTaskId(id as BatchId, a) : (a as GraphTaskId),
      ),
      held: input.held ?? false,
    })),
  };
}

const taskId = (name: string): GraphTaskId => name as GraphTaskId;

function run(graph: TaskGraph, name: string): void {
  graph.markSubmitted(taskId(name));
  graph.markDone(taskId(name));
}

function graphWith(...batches: Batch[]): TaskGraph {
  const graph = new TaskGraph(ID);
  for (const b of batches) graph.addBatch(b);
  return graph;
}

test('a diamond of tasks runs in dependency order, tasks on the longest chain first', () => {
  const graph = graphWith(
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

test('a task whose result is lost runs again once for all dependents that need it', () => {
  const graph = graphWith(batch('a', [{}, { after: [0] }, { after: [1] }, { after: [1] }, { after: [1] }]));
  run(graph, 'a:0');
  run(graph, 'a:1');
  assert.equal(graph.resultState(taskId('a:0')), 'dropped');
  graph.markSubmitted(taskId('a:4'));
  graph.markResultLost(taskId('a:1'));
  // The input of the lost result was dropped, so its task runs again first.
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

test('a task that exhausts its retries fails its dependents, and their failures name the task that failed first', () => {
  const graph = graphWith(batch('a', [{ retries: 2 }, { after: [0] }, { after: [1] }, {}]));
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

test('a recursive cancellation includes spawned tasks, and submitted tasks are cancelling until they are stopped', () => {
  const graph = graphWith(batch('a', [{}, {}]));
  graph.markSubmitted(taskId('a:0'));
  graph.addBatch(batch('s', [{}, { after: [0] }], 'a:0'));
  graph.markSubmitted(taskId('s:0'));
  graph.addBatch(batch('ss', [{}], 's:0'));
  assert.deepEqual(graph.cancel([taskId('a:0')], true).sort(), ['a:0', 's:0']);
  assert.deepEqual(graph.readyTasks(), ['a:1']);
  assert.deepEqual([graph.state(taskId('s:1')), graph.state(taskId('ss:0'))], ['cancelled', 'cancelled']);
  // Tasks spawned after the cancellation are cancelled when they are added.
  graph.addBatch(batch('late', [{}], 's:0'));
  assert.equal(graph.state(taskId('late:0')), 'cancelled');
  graph.markDone(taskId('s:0'));
  graph.markStopped(taskId('a:0'));
  assert.deepEqual(
    [graph.state(taskId('s:0')), graph.state(taskId('a:0')), graph.counts.cancelling],
    ['cancelled', 'cancelled', 0],
  );
});

test('a batch that a task spawns again on a second run adds no task twice', () => {
  const graph = graphWith(batch('a', [{}]));
  for (let n = 0; n < 2; n += 1) {
    graph.markSubmitted(taskId('a:0'));
    graph.addBatch(batch('a:0~0'.replace(':', '.'), [{}, {}], 'a:0'));
    graph.markStopped(taskId('a:0'));
  }
  assert.equal(graph.size, 3);
});

test('a chain of tasks with a spawn depth of ten completes', () => {
  const graph = graphWith(batch('d0', [{}]));
  for (let depth = 0; depth < 10; depth += 1) {
    graph.markSubmitted(taskId(`d${depth}:0`));
    graph.addBatch(batch(`d${depth + 1}`, [{}], `d${depth}:0`));
    graph.markDone(taskId(`d${depth}:0`));
  }
  run(graph, 'd10:0');
  assert.ok(graph.isComplete && graph.counts.done === 11);
});

test('a batch that refers to an unknown task is rejected and changes nothing', () => {
  const graph = graphWith(batch('a', [{}]));
  assert.throws(() => {
    graph.addBatch(batch('b', [{}, { after: ['x:0'] }]));
  }, GraphError);
  assert.throws(() => {
    graph.addBatch(batch('b', [{ after: ['a:1'] }]));
  }, /a:1: no such task in gr-test/);
  assert.throws(() => {
    graph.addBatch(batch('b', [{}], 'a:9'));
  }, GraphError);
  assert.equal(graph.size, 1);
});

test('a graph of a hundred thousand tasks completes within seconds', () => {
  const graph = new TaskGraph(ID);
  const startedAt = performance.now();
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
  assert.ok(performance.now() - startedAt < 15_000);
});

// --- comparison with a reference model -----------------------------------------------------------

interface ModelTask {
  readonly name: string;
  readonly deps: number[];
  readonly parent: number;
  readonly retries: number;
  /** `aborted` stands for failed and cancelled. */
  state: 'waiting' | 'ready' | 'submitted' | 'cancelling' | 'done' | 'aborted';
  kept: boolean;
  held: boolean;
  errors: number;
}

/** A simple model of the graph: applies each rule to all tasks until no rule changes a task. */
class ReferenceModel {
  readonly tasks: ModelTask[] = [];

  private hasEnded = (p: ModelTask): boolean => p.state === 'done' || p.state === 'aborted';
  private isNeeded(i: number): boolean {
    return (
      (this.tasks[i] as ModelTask).held || this.tasks.some((c) => c.deps.includes(i) && !this.hasEnded(c))
    );
  }

  /** Aborts tasks that can never run, and only then updates the states that depend on results. */
  settle(): void {
    for (let changed = true; changed;) {
      changed = this.applyRule((p, deps) => {
        const isUnrunnable = deps.some((d) => d.state === 'aborted' || d.state === 'cancelling');
        return isUnrunnable && (p.state === 'waiting' || p.state === 'ready') ? { state: 'aborted' } : null;
      });
      if (changed) continue;
      changed = this.applyRule((p, deps, i) => {
        if (p.state === 'done' && p.kept !== this.isNeeded(i))
          return p.kept ? { kept: false } : { state: 'waiting' };
        const hasInputs = deps.every((d) => d.state === 'done' && d.kept);
        if (p.state === 'waiting' && hasInputs) return { state: 'ready' };
        return p.state === 'ready' && !hasInputs ? { state: 'waiting' } : null;
      });
    }
  }

  private applyRule(
    rule: (p: ModelTask, deps: ModelTask[], i: number) => Partial<ModelTask> | null,
  ): boolean {
    let changed = false;
    this.tasks.forEach((p, i) => {
      const next = rule(
        p,
        p.deps.map((d) => this.tasks[d] as ModelTask),
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
    const cancelled = new Set(roots);
    for (let size = -1; recursive && size !== cancelled.size;) {
      size = cancelled.size;
      this.tasks.forEach((p, i) => {
        if (cancelled.has(p.parent)) cancelled.add(i);
      });
    }
    for (const i of cancelled) {
      const p = this.tasks[i] as ModelTask;
      if (p.state === 'submitted') p.state = 'cancelling';
      else if (p.state === 'waiting' || p.state === 'ready') p.state = 'aborted';
    }
  }
}

let commandCount = 0;

interface GraphUnderTest {
  graph: TaskGraph;
  batches: Batch[];
  records: Map<string, TaskStatesRecord>;
}

type Operation =
  'add' | 'submit' | 'done' | 'failed' | 'stopped' | 'hold' | 'release' | 'lost' | 'cancel' | 'failover';

/** The method that reports each end of a run. */
const END_METHODS = { done: 'markDone', failed: 'markFailed', stopped: 'markStopped' } as const;

class GraphCommand implements fc.Command<ReferenceModel, GraphUnderTest> {
  constructor(
    private readonly op: Operation,
    private readonly pick: number,
    private readonly inputs: readonly { deps: number[]; held: boolean; retries: number }[],
    private readonly flag: boolean,
  ) {}
  check = (): boolean => true;
  toString = (): string => `${this.op}(${this.pick},${String(this.flag)},${JSON.stringify(this.inputs)})`;

  run(model: ReferenceModel, real: GraphUnderTest): void {
    commandCount += 1;
    const { tasks } = model;
    const pickInState = (state: ModelTask['state']): number | undefined => {
      const found = [...tasks.keys()].filter((i) => tasks[i]?.state === state);
      return found[this.pick % Math.max(1, found.length)];
    };
    const any = tasks.length === 0 ? undefined : this.pick % tasks.length;
    const idOf = (i: number): GraphTaskId => taskId((tasks[i] as ModelTask).name);
    if (this.op === 'add') this.add(model, real);
    else if (this.op === 'submit') {
      const i = pickInState('ready');
      if (i !== undefined) {
        // All inputs must be available before a task is submitted.
        for (const d of (tasks[i] as ModelTask).deps) assert.equal(real.graph.resultState(idOf(d)), 'kept');
        real.graph.markSubmitted(idOf(i));
        (tasks[i] as ModelTask).state = 'submitted';
      }
    } else if (this.op === 'done' || this.op === 'failed' || this.op === 'stopped') {
      const i = pickInState(this.flag ? 'cancelling' : 'submitted');
      if (i !== undefined) {
        real.graph[END_METHODS[this.op]](idOf(i));
        const p = tasks[i] as ModelTask;
        if (p.state === 'cancelling') p.state = 'aborted';
        else if (this.op === 'done') Object.assign(p, { state: 'done', kept: true });
        else if (this.op === 'failed' && ++p.errors > p.retries) p.state = 'aborted';
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
      const p = tasks[any] as ModelTask;
      if (this.op === 'hold' || this.op === 'release') {
        real.graph.setHeld(idOf(any), this.op === 'hold');
        p.held = this.op === 'hold';
      } else if (this.op === 'lost') {
        real.graph.markResultLost(idOf(any));
        p.kept = false;
      } else if (this.op === 'cancel') {
        const running = real.graph.cancel([idOf(any)], this.flag);
        model.cancel([any], this.flag);
        for (const r of running) assert.equal(real.graph.state(r), 'cancelling');
      }
    }
    model.settle();
    this.compare(model, real.graph);
  }

  private add(model: ReferenceModel, real: GraphUnderTest): void {
    const first = model.tasks.length;
    const id = `b${real.batches.length}`;
    const parent = first > 0 && this.flag ? this.pick % first : -1;
    const inputs = this.inputs.map((w, i) => {
      const deps = [...new Set(w.deps.map((d) => d % Math.max(1, first + i)))].filter((d) => d < first + i);
      return { ...w, deps };
    });
    const name = (i: number): string =>
      i < first ? (model.tasks[i] as ModelTask).name : `${id}:${i - first}`;
    const b = batch(
      id,
      inputs.map((w) => ({ ...w, after: w.deps.map(name) })),
      parent < 0 ? null : name(parent),
    );
    real.graph.addBatch(b);
    real.graph.addBatch(b);
    real.batches.push(b);
    inputs.forEach((w, i) => {
      const isParentCancelling =
        parent >= 0 && ['cancelling'].includes((model.tasks[parent] as ModelTask).state);
      const isParentCancelled = parent >= 0 && real.graph.state(taskId(name(parent))) === 'cancelled';
      model.tasks.push({
        name: `${id}:${i}`,
        deps: w.deps,
        parent,
        retries: w.retries,
        state: isParentCancelling || isParentCancelled ? 'aborted' : 'waiting',
        kept: false,
        held: w.held,
        errors: 0,
      });
    });
  }

  private compare(model: ReferenceModel, graph: TaskGraph): void {
    const actual = model.tasks.map((p) => {
      const s = graph.state(taskId(p.name));
      return [
        p.name,
        s === 'failed' || s === 'cancelled' ? 'aborted' : s,
        graph.resultState(taskId(p.name)) === 'kept',
      ];
    });
    assert.deepEqual(
      actual,
      model.tasks.map((p) => [p.name, p.state, p.kept]),
    );
    const ready = model.tasks.filter((p) => p.state === 'ready').map((p) => p.name);
    assert.deepEqual([...graph.readyTasks()].sort(), ready.sort());
    assert.equal(
      Object.values(graph.counts).reduce((a, b) => a + b, 0),
      model.tasks.length,
    );
    for (const p of model.tasks) {
      const failure = graph.failure(taskId(p.name));
      if (failure !== null) assert.equal(failure.chain.at(-1), p.name);
      assert.equal(failure !== null, graph.state(taskId(p.name)) === 'failed');
    }
  }
}

test('the graph agrees with a reference model over generated commands and failovers', () => {
  const operations: Operation[] = [
    'add',
    'add',
    'submit',
    'submit',
    'submit',
    'done',
    'done',
    'done',
    'failed',
    'stopped',
    'hold',
    'release',
    'lost',
    'lost',
    'cancel',
    'failover',
  ];
  const inputArbitrary = fc.record({
    deps: fc.array(fc.nat({ max: 30 }), { maxLength: 3 }),
    held: fc.boolean(),
    retries: fc.nat({ max: 1 }),
  });
  const commandArbitrary = fc
    .tuple(
      fc.constantFrom(...operations),
      fc.nat({ max: 40 }),
      fc.array(inputArbitrary, { minLength: 1, maxLength: 4 }),
      fc.boolean(),
    )
    .map(([op, pick, inputs, flag]) => new GraphCommand(op, pick, inputs, flag));
  fc.assert(
    fc.property(fc.commands([commandArbitrary], { maxCommands: 60, size: 'max' }), (commands) => {
      fc.modelRun(
        () => ({
          model: new ReferenceModel(),
          real: { graph: new TaskGraph(ID), batches: [], records: new Map() },
        }),
        commands,
      );
    }),
    { numRuns: 500, seed: 21 },
  );
  assert.ok(commandCount > 8000, `${commandCount} commands`);
});
