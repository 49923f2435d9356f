/**
 * Random choices of generated days.
 *
 * @module
 */
import type { World } from './world.js';

/**
 * Draws one of the items.
 *
 * @throws {RangeError} when there is none
 */
export function pick<Item>(world: World, items: readonly Item[]): Item {
  const item = items[world.random(items.length)];
  if (item === undefined) throw new RangeError('nothing to choose from');
  return item;
}
