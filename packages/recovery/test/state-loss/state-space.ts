/**
 * Breadth-first search of the model's states for one that violates an invariant.
 *
 * @module
 */
import type { Guards, ModelState } from './model-state.js';
import { initialState, isInvariantViolated } from './model-state.js';
import { possibleSteps } from './model-steps.js';

/** Result of a search. */
export interface SearchResult {
  readonly stateCount: number;
  /** The steps from the start of the search to a violation, without the prefix; null if no violation was found. */
  readonly stepsToViolation: readonly string[] | null;
}

/** How a state was reached: the key of the state before, and the step from there. */
interface Origin {
  readonly previousKey: string | null;
  readonly step: string;
}

/**
 * Takes the steps of the prefix from the initial state, then searches all states that can be reached by up to
 * `maxSteps` further steps, until one of them violates an invariant.
 */
export function searchStates(guards: Guards, maxSteps: number, prefix: readonly string[] = []): SearchResult {
  const start = stateAfter(guards, prefix);
  const origins = new Map<string, Origin>([[keyOf(start), { previousKey: null, step: 'initial state' }]]);
  let level: ModelState[] = [start];
  for (let depth = 0; depth < maxSteps && level.length > 0; depth += 1) {
    const nextLevel: ModelState[] = [];
    for (const state of level)
      for (const [step, next] of possibleSteps(guards, state)) {
        const key = keyOf(next);
        if (origins.has(key)) continue;
        origins.set(key, { previousKey: keyOf(state), step });
        if (isInvariantViolated(guards, next))
          return { stateCount: origins.size, stepsToViolation: stepsTo(origins, key) };
        nextLevel.push(next);
      }
    level = nextLevel;
  }
  return { stateCount: origins.size, stepsToViolation: null };
}

function stateAfter(guards: Guards, prefix: readonly string[]): ModelState {
  let state = initialState();
  for (const description of prefix) {
    const found = [...possibleSteps(guards, state)].find(([step]) => step === description);
    if (found === undefined) throw new Error(`step "${description}" is not possible in this state`);
    state = found[1];
  }
  return state;
}

function keyOf(state: ModelState): string {
  return JSON.stringify(state);
}

function stepsTo(origins: ReadonlyMap<string, Origin>, key: string): string[] {
  const steps: string[] = [];
  for (let origin = origins.get(key); origin !== undefined;) {
    steps.unshift(origin.step);
    origin = origin.previousKey === null ? undefined : origins.get(origin.previousKey);
  }
  return steps;
}
