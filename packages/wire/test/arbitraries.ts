/**
 * Generators of message fields for property tests.
 *
 * @module
 */
import fc from 'fast-check';
import type { Attempt, JobId, TaskStatus } from '../src/index.js';

/** Seed and number of runs of the property tests that import it. */
export const PROPERTY_PARAMETERS = { seed: 20261201, numRuns: 200 };

export const jobId = fc.stringMatching(/^wk-[0-9]{6}$/) as fc.Arbitrary<JobId>;
export const amount = fc.double({ min: 0, max: 1e6, noNaN: true });
export const label = fc.string({ minLength: 1, maxLength: 20 });

export const taskStatus: fc.Arbitrary<TaskStatus> = fc.record({
  job: jobId,
  task: fc.nat(99_999),
  attempt: fc.nat(1e6) as unknown as fc.Arbitrary<Attempt>,
  phase: fc.constantFrom('fetching', 'waiting', 'running', 'saving', 'exited'),
  cause: fc.option(
    fc.constantFrom('done', 'stopped', 'peers', 'alone', 'error', 'no_room', 'busy', 'unknown'),
  ),
  saved: fc.boolean(),
});
