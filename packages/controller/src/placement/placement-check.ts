/**
 * The last check of a placement before its intent is written.
 *
 * @module
 */
import type { Job, Machine, PlacementTerm } from '@spurbridge/model';
import { violatedTerm } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import type { JobId, MachineId } from '@spurbridge/wire';
import type { ClusterState } from '../jobs/cluster-state.js';

/** How many tasks of a job may be in each zone. */
type TasksByZone = Map<string, number>;

const NO_TASKS: TasksByZone = new Map();

/**
 * Compares the placements of one plan with the records of their jobs and machines, whatever the plan was derived from.
 * A placement takes constant time; the present zones of a job's tasks are counted once if its terms depend on them.
 */
export class PlacementCheck {
  private readonly zonesOfJobs = new Map<JobId, TasksByZone>();
  private readonly exclusionsOfJobs = new Map<JobId, ReadonlySet<MachineId>>();

  constructor(
    private readonly cluster: ClusterState,
    private readonly now: MonotonicMs,
  ) {}

  /**
   * The term that forbids one more task of the job on the machine; null if it may be placed there. Then it counts for
   * the further tasks of the job.
   */
  admit(job: Job, machine: Machine): PlacementTerm | null {
    const { type, zone, spot } = machine;
    const tasksByZone = this.tasksByZone(job);
    const term = violatedTerm(job.spec, {
      type,
      zone,
      spot,
      machineType: this.cluster.machineType(type),
      isExcluded: this.exclusions(job).has(machine.id),
      tasksByZone,
    });
    if (term === null && tasksByZone !== NO_TASKS) tasksByZone.set(zone, (tasksByZone.get(zone) ?? 0) + 1);
    return term;
  }

  private exclusions(job: Job): ReadonlySet<MachineId> {
    const { id } = job.spec;
    let excluded = this.exclusionsOfJobs.get(id);
    if (excluded === undefined) {
      excluded = job.machineExclusions.excludedAt(this.now);
      this.exclusionsOfJobs.set(id, excluded);
    }
    return excluded;
  }

  private tasksByZone(job: Job): TasksByZone {
    const { id, oneZone, spread } = job.spec;
    if (!oneZone && !spread) return NO_TASKS;
    let counts = this.zonesOfJobs.get(id);
    if (counts === undefined) {
      counts = this.cluster.tasksByZone(job);
      this.zonesOfJobs.set(id, counts);
    }
    return counts;
  }
}
