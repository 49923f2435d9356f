/**
 * The orders in which simulated workers list their tasks. The protocol sets none, so a controller must not depend on
 * it.
 *
 * @module
 */
import type { WorkerHost, WorkerTask } from '@spurbridge/simulated-worker';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Arranges the tasks of a worker for one heartbeat. */
export type TaskListOrder = WorkerHost['listTasks'];

/** Tasks that are on the machine before exited ones. */
export function unexitedFirst(tasks: readonly WorkerTask[]): readonly WorkerTask[] {
  return [...tasks].sort((left, right) => Number(left.phase === 'exited') - Number(right.phase === 'exited'));
}

/**
 * Draws an order for each worker. Some keep one order, because a list whose order changes with every heartbeat shows
 * what it hid before. The draws come from a generator of their own, so that the other draws of a seed do not depend on
 * the number of heartbeats.
 */
export class TaskListOrders {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** The order for a new worker. */
  draw(): TaskListOrder {
    const orders: readonly TaskListOrder[] = [
      unexitedFirst,
      (tasks) => [...tasks].reverse(),
      (tasks) => this.shuffle(tasks),
    ];
    return orders[this.random(orders.length)] ?? unexitedFirst;
  }

  private random(below: number): number {
    return uniformInt(this.generator, 0, below - 1);
  }

  private shuffle<Item>(items: readonly Item[]): readonly Item[] {
    const remaining = [...items];
    return items.flatMap(() => remaining.splice(this.random(remaining.length), 1));
  }
}
