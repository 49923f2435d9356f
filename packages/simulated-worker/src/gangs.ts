/**
 * Gangs on simulated workers: what the tasks of one attempt know of each other.
 *
 * @module
 */
import type { Attempt, JobId, JobSpec, TaskPhase } from '@spurbridge/wire';

/** What the tasks of one attempt of a gang know of each other. */
export interface GangAttempt {
  /** All tasks were there at once, and began to run. */
  started: boolean;
  /** When the first of its tasks was told to stop, in milliseconds; null: none was. */
  firstStopAtMs: number | null;
  readonly toldToStop: Set<number>;
  readonly savedTasks: Set<number>;
  /** All had saved when the first of them exited. */
  isCheckpointed: boolean;
}

/** A worker as the other tasks of a gang see it. */
export interface GangWorker {
  readonly alive: boolean;
  readonly isHanging: boolean;
  /** The attempt at a task that is on the worker; null: there is none. */
  attemptOf(job: JobId, task: number): { readonly attempt: Attempt; readonly phase: TaskPhase } | null;
  /** All tasks of the gang are there: this one begins to run. */
  runGangTask(job: JobSpec, task: number): void;
  /** All tasks of the gang have saved: this one exits. */
  finishCheckpoint(job: JobSpec, task: number): void;
}

/** A task of a gang and the worker that it is on. */
export interface GangMember {
  readonly worker: GangWorker;
  readonly task: number;
}

/** Phases in which a task can't, or can no longer, act together with the others. */
const INACTIVE_PHASES: ReadonlySet<TaskPhase> = new Set(['fetching', 'exited']);

/** Every attempt of every gang on a set of workers that see each other. */
export class GangRegistry {
  private readonly byKey = new Map<string, GangAttempt>();

  constructor(private readonly workers: () => Iterable<GangWorker>) {}

  /** The attempt of a gang; it begins with the first call. */
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

  /** Tasks that wait, run or save under the same attempt on workers that do not hang. */
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

  /** How many attempts of each gang reached a worker. */
  get attemptCounts(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const key of this.byKey.keys()) {
      const job = key.slice(0, key.indexOf('#'));
      counts.set(job, (counts.get(job) ?? 0) + 1);
    }
    return counts;
  }

  /** The attempts whose progress was saved by a graceful stop, as `job#attempt`. */
  get checkpointedAttempts(): string[] {
    return [...this.byKey].filter(([, gang]) => gang.isCheckpointed).map(([key]) => key);
  }
}
