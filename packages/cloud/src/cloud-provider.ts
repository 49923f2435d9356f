/**
 * The interface of the cloud that rents machines.
 *
 * @module
 */
import type { RequestPriority } from '@spurbridge/net';
import type { ListedMachine, MachineId, MachineType, RentalRequest } from '@spurbridge/wire';

/** Outcome of a rental request. */
export type RentalOutcome =
  /** These machines were rented: as many as were requested, or fewer. */
  | { readonly outcome: 'rented'; readonly machines: readonly MachineId[] }
  /** No such machine is available now. */
  | { readonly outcome: 'no_capacity' }
  /** Certainly not executed. */
  | { readonly outcome: 'refused' }
  /** May have been executed or may still be executed. Repeating the same request is safe. */
  | { readonly outcome: 'unknown' };

/** Maximum number of machines in one rental request. */
export const MAX_MACHINES_PER_RENTAL = 50;
/** Maximum number of machines in one release request. */
export const MAX_MACHINES_PER_RELEASE = 100;

/** The cloud as the controllers use it; the simulated one implements it too. */
export interface CloudProvider {
  /** All machine types with their current prices; null if the request was not served. */
  listMachineTypes(): Promise<readonly MachineType[] | null>;
  /** Rents machines. */
  rent(request: RentalRequest): Promise<RentalOutcome>;
  /** Releases machines. Returns true if the machines and all tasks on them have certainly ended. */
  release(machines: readonly MachineId[], priority: RequestPriority): Promise<boolean>;
  /** All rented machines. The cloud's list lags behind its state. Null if a request was not served. */
  listMachines(): Promise<readonly ListedMachine[] | null>;
}
