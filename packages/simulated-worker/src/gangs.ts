import type { Attempt, JobSpec } from '@spurbridge/wire';
import type { SimulatedWorker } from './worker.js';

/** What the tasks of one attempt of a gang know of each other. */
export interface GangAttempt {
  started: boolean;
  /** When the first of its tasks was told to stop, in milliseconds, and which tasks were told. */
  firstStopAtMs: number | null;
  readonly toldToStop: Set<number>;
  readonly savedTasks: Set<number>;
  /** All had saved when the first of them exited. */
  isCheckpointed: boolean;
}

export interface GangMember {
  readonly worker: SimulatedWorker;
  readonly task: number;
}

/** Every attempt of every gang on a set of workers that see each other. */
export class GangRegistry {
  private readonly byName = new Map<string, GangAttempt>();

  constructor(private readonly workers: () => Iterable<SimulatedWorker>) {}

  /** The attempt of a gang; it begins with the first call. */
  attempt(job: JobSpec, attempt: Attempt): GangAttempt {
    const name = `${job.id}#${attempt}`;
    let gang = this.byName.get(name);
    if (gang === undefined) {
      gang = {
        started: false,
        firstStopAtMs: null,
        toldToStop: new Set(),
        savedTasks: new Set(),
        isCheckpointed: false,
      };
      this.byName.set(name, gang);
    }
    return gang;
  }

  /** Tasks that wait, run or save under the same attempt on workers that do not hang. */
  activeMembers(job: JobSpec, attempt: Attempt): GangMember[] {
    const found: GangMember[] = [];
    for (const worker of this.workers())
      for (let task = 0; task < job.tasks && worker.alive && !worker.isHanging; task += 1) {
        const t = worker.attemptOf(job.id, task);
        if (t?.attempt === attempt && t.phase !== 'fetching' && t.phase !== 'exited')
          found.push({ worker, task });
      }
    return found;
  }

  /** How many attempts of each gang reached a worker. */
  get attemptCounts(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const name of this.byName.keys()) {
      const job = name.slice(0, name.indexOf('#'));
      counts.set(job, (counts.get(job) ?? 0) + 1);
    }
    return counts;
  }

  /** Names of the attempts whose progress was saved by an orderly stop. */
  get checkpointedAttempts(): string[] {
    return [...this.byName].filter(([, g]) => g.isCheckpointed).map(([name]) => name);
  }
}
