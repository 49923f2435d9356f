/**
 * Counts the steps of iterations, a measure of work that does not depend on the speed of the machine.
 *
 * @module
 */
import { SpurbridgeError } from '@spurbridge/wire';

/** An operation took more steps than allowed; it is ended at that point. */
export class StepLimitError extends SpurbridgeError {
  constructor(
    readonly operation: string,
    readonly limit: number,
  ) {
    super('STEP_LIMIT', `${operation}: more than ${limit} steps`);
  }
}

/** A prototype whose methods are replaced while steps are counted. */
type Prototype = Record<string, (this: unknown, ...args: unknown[]) => unknown>;

const ITERATOR_PROTOTYPES: readonly Prototype[] = [new Map().values(), new Set().values(), [].values()].map(
  (iterator) => Object.getPrototypeOf(iterator) as Prototype,
);
/** Methods of arrays that call back for each element, until they have a result. */
const ARRAY_METHODS = ['every', 'filter', 'find', 'findIndex', 'flatMap', 'forEach', 'map', 'reduce', 'some'];

/**
 * Runs the operation and returns its steps: over maps and sets, over arrays in `for...of`, spreads and destructuring, and
 * callbacks of array methods. Loops over an index are not counted.
 *
 * @throws {StepLimitError} once there were more steps than the limit, even if the operation handles the error itself
 */
export async function countSteps(
  operation: string,
  limit: number,
  run: () => void | Promise<void>,
): Promise<number> {
  let steps = 0;
  const count = (): void => {
    steps += 1;
    if (steps > limit) throw new StepLimitError(operation, limit);
  };
  const restore: (() => void)[] = [];
  for (const prototype of ITERATOR_PROTOTYPES) restore.push(countCalls(prototype, count));
  for (const name of ARRAY_METHODS) restore.push(countCallbacks(name, count));
  try {
    await run();
  } finally {
    for (let index = 0; index < restore.length; index += 1) restore[index]?.();
  }
  if (steps > limit) throw new StepLimitError(operation, limit);
  return steps;
}

/** Counts the calls of an iterator's `next`; returns a function that restores it. */
function countCalls(prototype: Prototype, count: () => void): () => void {
  const original = prototype['next'];
  if (original === undefined) return () => undefined;
  prototype['next'] = function next() {
    count();
    return original.call(this);
  };
  return () => {
    prototype['next'] = original;
  };
}

/** Counts the callbacks of an array method; returns a function that restores it. */
function countCallbacks(name: string, count: () => void): () => void {
  const prototype = Array.prototype as unknown as Prototype;
  const original = prototype[name];
  if (original === undefined) return () => undefined;
  prototype[name] = function counted(callback, ...args) {
    const countedCallback = (...values: unknown[]): unknown => {
      count();
      return (callback as (...values: unknown[]) => unknown)(...values);
    };
    return Reflect.apply(original, this, [countedCallback, ...args]);
  };
  return () => {
    prototype[name] = original;
  };
}
