/**
 * Gangs on simulated workers: the state shared by the tasks of one attempt.
 *
 * @module
 */
import type { Attempt, JobId, JobSpec, TaskPhase } from '@spurbridge/wire';

/** The state shared by the tasks of one attempt of a gang. */
export interface GangAttempt {
  /** Whether all tasks were present at once and began to run. */
  started: boolean;
  /** When the first of its tasks was told to stop, in milliseconds; null if none was. */
  firstStopAtMs: number | null;
  readonly toldToStop: Set<number>;
  readonly savedTasks: Set<number>;
  /** Whether all tasks had saved a checkpoint when the first of them exited. */
  isCheckpointed: boolean;
}

/** A worker, as visible to the other tasks of a gang. */
export interface GangWorker {
  readonly alive: boolean;
  readonly isHanging: boolean;
  /** The attempt at a task that is on the worker; null if there is none. */
  attemptOf(job: JobId, task: number): { readonly attempt: Attempt; readonly phase: TaskPhase } | null;
  /** Starts the run of this task, once all tasks of the gang are present. */
  runGangTask(job: JobSpec, task: number): void;
  /** Ends this task, once all tasks of the gang have saved a checkpoint. */
  finishCheckpoint(job: JobSpec, task: number): void;
}

/** A task of a gang and its worker. */
export interface GangMember {
  readonly worker: GangWorker;
  readonly task: number;
}

/** Phases in which a task does not take part in its gang yet, or no longer does. */
const INACTIVE_PHASES: ReadonlySet<TaskPhase> = new Set(['fetching', 'exited']);

/** All attempts of all gangs on a set of workers that can reach each other. */
export class GangRegistry {
  private readonly byKey = new Map<string, GangAttempt>();

  constructor(private readonly workers: () => Iterable<GangWorker>) {}

  /** Returns the attempt of a gang; the first call creates it. */
  attempt(job: JobSpec, attempt: Attempt): GangAttempt {
    const key = `${job.id}#${attempt}`;
    const known = this.byKey.get(key);
    if (known !== undefined) return known;
    const gang: GangAttempt = {
      started: false,
      firstStopAtMs: null,
      toldToStop: new Set(),
      savedTasks: new Set(),
      isCheckpointed: false,
    };
    this.byKey.set(key, gang);
    return gang;
  }

  /** The tasks of the attempt that wait, run or save, on workers that are alive and do not hang. */
  activeMembers(job: JobSpec, attempt: Attempt): GangMember[] {
    const members: GangMember[] = [];
    for (const worker of this.workers()) {
      if (!worker.alive || worker.isHanging) continue;
      for (let task = 0; task < job.tasks; task += 1) {
        const found = worker.attemptOf(job.id, task);
        if (found?.attempt === attempt && !INACTIVE_PHASES.has(found.phase)) members.push({ worker, task });
      }
    }
    return members;
  }

  /** The number of attempts of each gang that reached a worker. */
  get attemptCounts(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const key of this.byKey.keys()) {
      const job = key.slice(0, key.indexOf('#'));
      counts.set(job, (counts.get(job) ?? 0) + 1);
    }
    return counts;
  }

  /** The attempts whose checkpoints were saved by a graceful stop, as `job#attempt`. */
  get checkpointedAttempts(): string[] {
    return [...this.byKey].filter(([, gang]) => gang.isCheckpointed).map(([key]) => key);
  }
}
