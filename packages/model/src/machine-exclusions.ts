/**
 * The machines on which a job's tasks failed, and for how long the job keeps away from each of them.
 *
 * @module
 */
import type { MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { MachineId } from '@spurbridge/wire';

/** How long a machine is excluded after its first failure; each further failure there doubles the time. */
export const FIRST_EXCLUSION_MS = 10_000;
/** Less than the time for which a job may wait although a machine has room for it. */
export const MAX_EXCLUSION_MS = 60_000;

interface MachineFailures {
  readonly count: number;
  readonly excludedUntil: MonotonicMs;
}

/**
 * The failures of a job's tasks by machine, without a success in between. Every exclusion ends by itself: a machine that
 * was faulty for a moment may be the only one that fits the job.
 */
export class MachineExclusions {
  private readonly failures = new Map<MachineId, MachineFailures>();

  /** The machines on which tasks failed, whether still excluded or not. */
  get failedMachines(): ReadonlySet<MachineId> {
    return new Set(this.failures.keys());
  }

  /** Records that a task failed on the machine. Tasks that were started before its exclusion do not extend it. */
  recordFailure(machine: MachineId, now: MonotonicMs): void {
    const previous = this.failures.get(machine);
    if (previous !== undefined && now < previous.excludedUntil) return;
    const count = (previous?.count ?? 0) + 1;
    const durationMs = Math.min(MAX_EXCLUSION_MS, FIRST_EXCLUSION_MS * 2 ** (count - 1));
    this.failures.set(machine, { count, excludedUntil: addMs(now, durationMs) });
  }

  /** The machines that are excluded now. */
  excludedAt(now: MonotonicMs): ReadonlySet<MachineId> {
    const excluded = new Set<MachineId>();
    for (const [machine, { excludedUntil }] of this.failures) if (now < excludedUntil) excluded.add(machine);
    return excluded;
  }

  /** Ends all exclusions. */
  clear(): void {
    this.failures.clear();
  }
}
