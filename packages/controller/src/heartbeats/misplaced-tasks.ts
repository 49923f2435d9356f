/**
 * Stops tasks that are on machines which their jobs exclude, such as those of an earlier version that placed them there.
 *
 * @module
 */
import type { FixedTerm, Job, Machine, Placement } from '@spurbridge/model';
import { violatedFixedTerm } from '@spurbridge/model';
import type { MachineId } from '@spurbridge/wire';
import { formatTaskName } from '@spurbridge/wire';
import type { ClusterState, PlacedTask } from '../jobs/cluster-state.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

/** Added to the time that a task needs to save a checkpoint, for the delivery of the command, in seconds. */
export const CHECKPOINT_MARGIN_S = 4;

/** Checks every placement once, as soon as its machine has reported its attributes. */
export class MisplacedTasks {
  private readonly unchecked = new Map<MachineId, PlacedTask[]>();

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
  ) {
    const watch = (job: Job, task: number): void => {
      const machine = job.placements.get(task)?.machine;
      if (machine !== undefined) this.addUnchecked(machine, { job, task });
    };
    cluster.on('taskRestored', watch);
    cluster.on('taskPlaced', watch);
    cluster.on('taskRemoved', (_, { machine }) => {
      if (cluster.taskCountOn(machine) === 0) this.unchecked.delete(machine);
    });
  }

  /** Stops the misplaced tasks on a machine that has sent a heartbeat; they are placed again once they have ended. */
  stopOn(machine: Machine): void {
    const placedTasks = this.unchecked.get(machine.id) ?? [];
    this.unchecked.delete(machine.id);
    for (const { job, task } of placedTasks) {
      const placement = job.placements.get(task);
      if (placement?.machine !== machine.id || placement.stopRequest !== null) continue;
      const violated = job.state === 'active' ? violatedFixedTerm(job.spec, machine) : null;
      if (violated !== null) this.stop(job, placement, machine, violated);
    }
  }

  private addUnchecked(machine: MachineId, placedTask: PlacedTask): void {
    const placedTasks = this.unchecked.get(machine);
    if (placedTasks === undefined) this.unchecked.set(machine, [placedTask]);
    else placedTasks.push(placedTask);
  }

  private stop(job: Job, { task, state }: Placement, machine: Machine, violated: FixedTerm): void {
    const { id, types, zone, spot, checkpointS, saveS } = job.spec;
    const { clock, log } = this.term.context;
    const graceS = checkpointS > 0 ? saveS + CHECKPOINT_MARGIN_S : 0;
    this.term.metrics.misplacedTasks += 1;
    log.error(
      {
        task: formatTaskName(id, task),
        state,
        machine: machine.id,
        machineAttributes: { type: machine.type, zone: machine.zone, spot: machine.spot },
        terms: { types, zone, spot },
        violated,
      },
      'stopping a task on a machine that its job excludes',
    );
    if (job.gang === null) job.requestStop(task, graceS, 'misplaced', clock.now());
    else this.cluster.stopGang(job, graceS, 'misplaced');
    this.cluster.emit('commandsDue', machine.id);
  }
}
