/**
 * Generates jobs from a seed, and starts their users.
 *
 * @module
 */
import type { JobId, JobSpec } from '@spurbridge/wire';
import { jobId, jobSpec } from './fixtures.js';
import type { World } from './world.js';

const JOB_COUNT = 16;
const SUBMITTED_WITHIN_MS = 70_000;
const MIN_CANCELLATION_MS = 5000;
const CANCELLATION_SPREAD_MS = 90_000;
/** Three of five jobs are arrays. */
const KINDS = ['array', 'array', 'array', 'service', 'gang'] as const;
const PRIORITIES = ['production', 'high', 'normal', 'low'] as const;
const FINAL_PHASES: readonly string[] = ['done', 'cancelled'];

/** A job with the times at which its user submits and cancels it, in milliseconds. */
export interface GeneratedJob {
  readonly spec: JobSpec;
  readonly submitAtMs: number;
  readonly cancelAtMs: number | null;
}

/** Generates jobs of every kind; all services and some other jobs are cancelled. */
export function generateJobs(world: World): GeneratedJob[] {
  return Array.from({ length: JOB_COUNT }, (_, index) => generateJob(world, index));
}

/** Generates jobs, and starts a user for each at its time. */
export function startGeneratedJobs(world: World): void {
  for (const { spec, submitAtMs, cancelAtMs } of generateJobs(world))
    world.time.after(submitAtMs, () => {
      world.startUser(spec, cancelAtMs);
    });
}

/** Arrays that are neither done nor cancelled according to their records. */
export function unfinishedArrays(world: World): JobId[] {
  return [...world.checker.submitted.values()]
    .filter(({ kind, id }) => kind === 'array' && !FINAL_PHASES.includes(String(world.recordedPhaseOf(id))))
    .map(({ id }) => id);
}

/** The order of the random draws must not change, because it determines which jobs a seed generates. */
function generateJob(world: World, index: number): GeneratedJob {
  const kind = KINDS[world.random(KINDS.length)] ?? 'array';
  const submitAtMs = world.random(SUBMITTED_WITHIN_MS);
  const generated = jobSpec({
    id: jobId(index),
    class: kind,
    kind,
    team: world.random(3) === 0 ? 'blue' : 'red',
    tasks: 1 + world.random(kind === 'array' ? 8 : 3),
    cpus: 1 + world.random(kind === 'array' ? 4 : 3),
    priority: PRIORITIES[world.random(PRIORITIES.length)] ?? 'normal',
    image: `img-${world.random(3)}`,
    oneZone: kind === 'gang' && world.random(2) === 0,
    spread: kind === 'service',
    spot: kind !== 'service',
    zone: world.random(6) === 0 ? 'b' : null,
    estimateS: kind === 'service' ? 0 : 2 + world.random(12),
    checkpointS: world.random(3) === 0 ? 2 : 0,
    saveS: 1,
  });
  const gpus = kind === 'gang' && generated.team === 'red' ? index % 3 : 0;
  const isCancelled = kind === 'service' || world.random(4) === 0;
  const cancelAtMs = isCancelled
    ? submitAtMs + MIN_CANCELLATION_MS + world.random(CANCELLATION_SPREAD_MS)
    : null;
  return { spec: { ...generated, gpus }, submitAtMs, cancelAtMs };
}
