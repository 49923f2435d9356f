/**
 * The machines that a leader knows, and which of them are part of the initial fleet.
 *
 * @module
 */
import { Machine } from '@spurbridge/model';
import type { Clock, MonotonicMs } from '@spurbridge/net';
import type { MachineId } from '@spurbridge/wire';
import type { Logger } from '../logger.js';
import type { PlacementIndex } from '../jobs/placement-index.js';

/** The dependencies of a `MachineRegistry`. */
export interface MachineRegistryOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly placements: PlacementIndex;
  /**
   * Until when the previous leader may have renewed the lease of a machine that has not sent a heartbeat to this one.
   */
  readonly previousLeaderRenewsUntil: MonotonicMs;
  /** Called when a machine becomes available for tasks. */
  readonly onAvailable: () => void;
}

/** Creates machines as records, heartbeats and the cloud's list mention them, and marks them as draining. */
export class MachineRegistry {
  readonly machines = new Map<MachineId, Machine>();
  /** Id of the last machine of the initial fleet, which existed at the very first start; null until it is known. */
  private initialFleetEnd: string | null = null;

  constructor(private readonly options: MachineRegistryOptions) {}

  /** Id of the last machine of the initial fleet, empty if there was none; null until it is known. */
  get lastInitialMachineId(): string | null {
    return this.initialFleetEnd;
  }

  setInitialFleet(lastId: string): void {
    this.initialFleetEnd = lastId;
    for (const machine of this.machines.values()) machine.isProvisioned = this.isScaledOut(machine.id);
  }

  /** Whether the service provisioned the machine itself: its id is later than those of the initial fleet. */
  isScaledOut(id: MachineId): boolean {
    return this.initialFleetEnd !== null && compareMachineIds(id, this.initialFleetEnd) > 0;
  }

  /** Whether the service provisions all machines itself, so that it minimizes their cost. */
  get minimizesCost(): boolean {
    return this.initialFleetEnd === '';
  }

  /** Adds a machine that a record mentions, of which only the id is known. */
  addUnidentified(id: MachineId): void {
    this.add(id, '', '', false, true);
  }

  /**
   * Adds a machine, or fills in the attributes of one of which only the id was known.
   *
   * @param isConfirmed whether the source shows that the machine exists now. A heartbeat may not show it, because it
   * may have been delayed until after the release of the machine
   */
  register(id: MachineId, type: string, zone: string, spot: boolean, isConfirmed: boolean): Machine {
    const known = this.machines.get(id);
    if (known !== undefined && known.type !== '') {
      if (isConfirmed) this.confirm(known);
      return known;
    }
    const machine = this.add(id, type, zone, spot, this.isScaledOut(id));
    // If only the id of the machine was known, a record places a task there, which confirms the machine.
    machine.isConfirmed = isConfirmed || known !== undefined;
    return machine;
  }

  private add(id: MachineId, type: string, zone: string, spot: boolean, isProvisioned: boolean): Machine {
    const machine = new Machine(id, type, zone, spot, isProvisioned, this.options.clock.now());
    // Until the machine reports this leader's token, the previous leader may renew its lease.
    machine.latestPossibleRenewalAt = this.options.previousLeaderRenewsUntil;
    if (this.options.placements.countOn(id) > 0) machine.idleSince = null;
    this.machines.set(id, machine);
    return machine;
  }

  /** Records that the machine exists, so that tasks may be placed on it. */
  confirm(machine: Machine): void {
    if (machine.isConfirmed) return;
    machine.isConfirmed = true;
    this.options.onAvailable();
  }

  /** No further tasks are placed on the machine; it is released once it is empty. */
  drain(machine: Machine, reason: string): void {
    if (machine.state !== 'ready' && machine.state !== 'silent' && machine.state !== 'booting') return;
    machine.drainReason = reason;
    machine.transitionTo('draining');
    this.options.log.info({ machine: machine.id, reason }, 'machine draining');
  }

  /** Puts a draining machine back into use, unless the cloud is about to reclaim it. */
  cancelDrain(machine: Machine): void {
    if (machine.state !== 'draining' || machine.preemptionDeadline !== null) return;
    machine.drainReason = '';
    machine.transitionTo('ready');
    this.options.log.info({ machine: machine.id }, 'machine drain cancelled');
    this.options.onAvailable();
  }
}

/** Compares machine ids by their order of creation: a longer id is a later one. */
export function compareMachineIds(left: string, right: string): number {
  return left.length - right.length || (left < right ? -1 : left > right ? 1 : 0);
}
