/**
 * Commits transactions of a recovery, and retries each one until it is confirmed.
 *
 * @module
 */
import type { Compare, Mutation } from '@spurbridge/wire';
import { CONTROL_PRIORITY } from '../request-priorities.js';
import type { StoreRecoveryDependencies } from './recovery-dependencies.js';
import { RETRY_MS } from './recovery-dependencies.js';

const MAX_ATTEMPTS = 20;

/** Commits until the store confirms. Returns false once a comparison fails, or after too many attempts. */
export async function commitWithRetry(
  { underlyingStore, clock }: StoreRecoveryDependencies,
  compares: readonly Compare[],
  mutations: readonly Mutation[],
): Promise<boolean> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const outcome = await underlyingStore.commit(compares, mutations, CONTROL_PRIORITY);
    if (outcome.outcome === 'committed') return true;
    if (outcome.outcome === 'conflict' || outcome.outcome === 'no_lease') return false;
    await clock.sleep(RETRY_MS);
  }
  return false;
}
