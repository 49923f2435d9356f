/**
 * The state of the cluster in the leader's memory.
 *
 * @module
 */
import { EventEmitter } from 'node:events';
import type { JobRecord, Machine, Placement, StopReason, WallClockMs } from '@spurbridge/model';
import { Job, restoreChunk } from '@spurbridge/model';
import type { Clock, MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type {
  AgentEpoch,
  Attempt,
  JobId,
  KeyValue,
  MachineId,
  MachineType,
  TaskStatus,
  Version,
} from '@spurbridge/wire';
import { formatTaskName } from '@spurbridge/wire';
import type { Logger } from '../logger.js';
import { MachineRegistry } from '../machines/machine-registry.js';
import type { ClusterEvents } from './cluster-events.js';
import type { PlacedTask } from './placement-index.js';
import { PlacementIndex } from './placement-index.js';

export type { ClusterEvents } from './cluster-events.js';
export type { PlacedTask } from './placement-index.js';
export { compareMachineIds } from '../machines/machine-registry.js';

/** The dependencies of `ClusterState`. */
export interface ClusterStateOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /** The machine types that the cloud offers; empty until they are known. */
  readonly machineTypes: () => readonly MachineType[];
  /** Age of a recorded time of day, in milliseconds, never negative. */
  readonly ageMs: (at: WallClockMs) => number;
  /**
   * Until when the previous leader may have renewed the lease of a machine that has not sent a heartbeat to this one.
   */
  readonly previousLeaderRenewsUntil: MonotonicMs;
}

/** One attempt of a task. */
export interface TaskAttempt {
  readonly job: Job;
  readonly task: number;
  readonly attempt: Attempt;
}

/**
 * The state of the cluster as known to its leader: jobs, machines and the tasks that may be on them, rebuilt from
 * records and heartbeats after an election. Only its methods change it; each change emits an event, so that this class
 * does not depend on the components that react to it.
 */
export class ClusterState extends EventEmitter<ClusterEvents> {
  readonly jobs = new Map<JobId, Job>();
  readonly machines: ReadonlyMap<MachineId, Machine>;
  private readonly placements = new PlacementIndex();
  private readonly registry: MachineRegistry;

  constructor(private readonly options: ClusterStateOptions) {
    super();
    this.registry = new MachineRegistry({
      clock: options.clock,
      log: options.log,
      placements: this.placements,
      previousLeaderRenewsUntil: options.previousLeaderRenewsUntil,
      onAvailable: () => this.emit('replanNeeded'),
    });
    this.machines = this.registry.machines;
  }

  /** The machine type of that name, or undefined while the types are not known. */
  machineType(name: string): MachineType | undefined {
    return this.options.machineTypes().find((type) => type.name === name);
  }

  private now(): MonotonicMs {
    return this.options.clock.now();
  }

  /** Converts a recorded time of day to monotonic time. */
  private monotonicTimeOf(at: WallClockMs): MonotonicMs {
    return addMs(this.now(), -this.options.ageMs(at));
  }

  // --- jobs ------------------------------------------------------------------------------------

  /**
   * Adds or updates a job from its record. Returns null for a job that has ended, because status requests for it are
   * served from the record.
   */
  applyJobRecord(record: JobRecord, version: Version): Job | null {
    let job = this.jobs.get(record.spec.id);
    if (job === undefined) {
      if (record.phase === 'done') return null;
      job = this.addJob(record, version);
    }
    if (version >= job.version) {
      job.version = version;
      if (record.phase === 'cancelled' && job.state !== 'cancelled') {
        if (record.cancelledAt !== undefined) job.cancelledAt = this.monotonicTimeOf(record.cancelledAt);
        this.cancelJob(job);
      }
    }
    this.emit('jobChanged', job);
    return job;
  }

  private addJob(record: JobRecord, version: Version): Job {
    const { spec, chunkSize, graph } = record;
    const job = new Job(spec, chunkSize, version, this.monotonicTimeOf(record.submittedAt), graph ?? null);
    if (record.phase === 'active') {
      const { id, class: jobClass, tasks, cpus, memoryGb, team } = spec;
      this.options.log.debug({ job: id, class: jobClass, tasks, cpus, memoryGb, team }, 'job added');
    }
    this.jobs.set(spec.id, job);
    this.emit('jobAdded', job);
    return job;
  }

  /** Restores the tasks of one task record; a record that cannot be read is logged and ignored. */
  applyTaskRecord(item: KeyValue): void {
    const [, id, index] = item.key.split('/');
    const job = this.jobs.get(id as JobId);
    if (job === undefined || job.state === 'done') return;
    try {
      restoreChunk(job, Number(index), item.value, item.version, this.now());
    } catch (error) {
      this.options.log.error({ key: item.key, error: String(error) }, 'task record cannot be read');
    }
  }

  /** To be called when all of the job's records have been applied. */
  finishRestore(job: Job): void {
    for (const placement of [...job.placements.values()]) {
      this.addPlacement(job, placement);
      this.emit('taskRestored', job, placement.task);
      const agentEpoch = this.machines.get(placement.machine)?.agentEpoch ?? null;
      // A machine whose heartbeat was received while the records were being read has already reported its newer agent
      // epoch, which is not detected again. Without this check its task would count as running forever.
      if (agentEpoch !== null && placement.agentEpoch < agentEpoch)
        this.removePlacement(job, placement, false, 'newer session', true);
      else if (job.state === 'cancelled') job.requestStop(placement.task, 0, 'cancelled', this.now());
    }
    this.announceIfEnded(job);
  }

  private cancelJob(job: Job): void {
    job.transitionTo('cancelled');
    this.options.log.info({ job: job.spec.id, placed: job.placements.size }, 'job cancelled');
    this.stopTasks(job, [...job.placements.values()], 0, 'cancelled');
    this.emit('jobEnded', job);
    this.emit('replanNeeded');
  }

  private announceIfEnded(job: Job): void {
    if (job.state === 'active' && job.doneCount === job.spec.tasks) {
      job.transitionTo('closing');
      this.emit('jobEnded', job);
    } else if (job.state === 'cancelled' && job.placements.size === 0) this.emit('jobEnded', job);
  }

  /** Removes a job that has ended and whose task records are deleted. */
  releaseJob(job: Job): void {
    this.jobs.delete(job.spec.id);
    this.emit('jobReleased', job);
  }

  // --- placements ------------------------------------------------------------------------------

  /** The tasks that may be on the machine. */
  tasksOn(id: MachineId): Iterable<PlacedTask> {
    return this.placements.tasksOn(id);
  }

  taskCountOn(id: MachineId): number {
    return this.placements.countOn(id);
  }

  /** The number of the job's tasks in each zone; '' is the zone of machines of which only the id is known. */
  tasksByZone(job: Job): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { machine } of job.placements.values()) {
      const zone = this.machines.get(machine)?.zone ?? '';
      counts.set(zone, (counts.get(zone) ?? 0) + 1);
    }
    return counts;
  }

  /** Places a task. Its start is not sent before the placement is durable. */
  placeTask(
    job: Job,
    task: number,
    machine: MachineId,
    agentEpoch: AgentEpoch,
    sharedAttempt: Attempt | null,
  ): Placement {
    const placement = job.recordIntent(task, machine, agentEpoch, this.now(), sharedAttempt);
    this.addPlacement(job, placement);
    this.emit('taskPlaced', job, task);
    return placement;
  }

  /** Adopts a task that its machine reports and that no record places there. */
  adoptTask(job: Job, status: TaskStatus, machine: MachineId, agentEpoch: AgentEpoch): void {
    const { task, attempt, phase } = status;
    job.adoptPlacement(task, machine, agentEpoch, attempt, this.now());
    const placement = job.placements.get(task);
    if (placement === undefined) return;
    this.addPlacement(job, placement);
    if (phase !== 'exited') job.applyReportedPhase(task, phase, this.now());
    this.emit('taskPlaced', job, task);
    this.emit('jobChanged', job);
  }

  private addPlacement(job: Job, placement: Placement): void {
    this.placements.add(job, placement);
    const machine = this.machines.get(placement.machine);
    if (machine === undefined) {
      this.registry.addUnidentified(placement.machine);
      return;
    }
    machine.idleSince = null;
    this.registry.confirm(machine);
  }

  /**
   * Records that the placements of these attempts are durable: their starts may be sent to machines with free capacity.
   */
  markDurable(attempts: readonly TaskAttempt[]): void {
    const machines = new Set<MachineId>();
    for (const { job, task, attempt } of attempts) {
      job.markDurable(task, attempt, this.now());
      const placement = job.placements.get(task);
      if (placement?.state === 'queued' || placement?.state === 'starting') machines.add(placement.machine);
    }
    for (const id of machines) this.emit('commandsDue', id);
  }

  /**
   * Removes a task that is proven to be off its machine.
   *
   * @param isDone whether the task was completed
   * @param reason the proof, for the log and the listeners
   * @param isMachineCleared whether the machine's agent has no state of earlier tasks left either
   */
  removePlacement(
    job: Job,
    placement: Placement,
    isDone: boolean,
    reason: string,
    isMachineCleared = false,
  ): void {
    const now = this.now();
    const { task, attempt, machine: id, state } = placement;
    const name = formatTaskName(job.spec.id, task);
    this.options.log.debug({ task: name, try: attempt, machine: id, why: reason, state }, 'task removed');
    job.removePlacement(task, isDone, now);
    this.placements.remove(job, placement);
    const machine = this.machines.get(id);
    if (machine !== undefined && this.taskCountOn(id) === 0) machine.idleSince = now;
    this.emit('jobChanged', job);
    this.emit('taskRemoved', job, placement, isDone, reason);
    // A gang that has lost a task cannot continue: the other tasks are stopped, so that all restart together. A gang
    // that has certainly not started can be completed by a replacement under the same attempt, but not on a machine
    // whose agent still knows this attempt of the task, because that agent would not start it again.
    const canReplace = isMachineCleared && job.awaitsReplacementTask;
    if (job.spec.kind === 'gang' && !isDone && job.state === 'active' && !canReplace)
      this.stopGang(job, 0, 'gang');
    this.announceIfEnded(job);
    this.emit('replanNeeded');
  }

  /**
   * Removes the placements on a machine whose tasks are proven to be gone.
   *
   * @param before limits the removal to placements of agent epochs earlier than this; null removes all of them
   */
  removePlacementsOn(id: MachineId, reason: string, before: AgentEpoch | null = null): void {
    for (const { job, task } of [...this.tasksOn(id)]) {
      const placement = job.placements.get(task);
      if (placement?.machine === id && (before === null || placement.agentEpoch < before))
        this.removePlacement(job, placement, false, reason, true);
    }
  }

  /** Abandons a task for good: it is stopped if it may be on a machine, and never started again. */
  abandonTask(job: Job, task: number): void {
    const placement = job.placements.get(task);
    if (placement !== undefined) {
      this.stopTasks(job, [placement], 0, 'cancelled');
      return;
    }
    job.abandon(task);
    this.emit('taskAbandoned', job, task);
    this.announceIfEnded(job);
  }

  /** Stops all tasks of a gang that are not being stopped yet, each with `graceS` seconds to save its state. */
  stopGang(job: Job, graceS: number, reason: StopReason): void {
    const unstopped = [...(job.gang?.unstoppedTasks ?? [])];
    const placements = unstopped.flatMap((task) => job.placements.get(task) ?? []);
    this.stopTasks(job, placements, graceS, reason);
  }

  private stopTasks(job: Job, placements: readonly Placement[], graceS: number, reason: StopReason): void {
    const machines = new Set<MachineId>();
    for (const { task, machine } of placements) {
      job.requestStop(task, graceS, reason, this.now());
      machines.add(machine);
    }
    for (const id of machines) this.emit('commandsDue', id);
  }

  // --- machines --------------------------------------------------------------------------------

  /** Id of the last machine of the initial fleet, empty if there was none; null until it is known. */
  get lastInitialMachineId(): string | null {
    return this.registry.lastInitialMachineId;
  }

  /** Sets the initial fleet, which the service found at its very first start. */
  setInitialFleet(upTo: string): void {
    this.registry.setInitialFleet(upTo);
  }

  /** Whether the service provisioned the machine itself. */
  isScaledOut(id: MachineId): boolean {
    return this.registry.isScaledOut(id);
  }

  /** Whether the service provisions all machines itself, so that it minimizes their cost. */
  get minimizesCost(): boolean {
    return this.registry.minimizesCost;
  }

  /**
   * Whether records or the cloud's list show that the machine was up, whether or not this leader has received a
   * heartbeat from it.
   */
  isKnownToHaveRun(machine: Machine): boolean {
    return this.taskCountOn(machine.id) > 0 || machine.isListedRunning;
  }

  /**
   * Adds a machine, or fills in the attributes of one of which only the id was known.
   *
   * @param isConfirmed whether the source shows that the machine exists now. A heartbeat may not show it, because it
   * may have been delayed until after the release of the machine
   */
  registerMachine(id: MachineId, type: string, zone: string, spot: boolean, isConfirmed = true): Machine {
    return this.registry.register(id, type, zone, spot, isConfirmed);
  }

  /** No further tasks are placed on the machine; it is released once it is empty. */
  drainMachine(machine: Machine, reason: string): void {
    this.registry.drain(machine, reason);
  }

  /** Puts a draining machine back into use, unless the cloud is about to reclaim it. */
  cancelDrain(machine: Machine): void {
    this.registry.cancelDrain(machine);
  }
}
