/**
 * Collects the machines that one plan of the fleet requests.
 *
 * @module
 */

import type { MachineType } from '@spurbridge/wire';
import type { ScaleOutRequest } from './types.js';

type MutableRequest = { -readonly [Field in keyof ScaleOutRequest]: ScaleOutRequest[Field] };

/** The requests of one plan, summed by machine type, zone and purchase option (spot or on-demand). */
export class ScaleOutRequests {
  private readonly requestsByKind = new Map<string, MutableRequest>();

  /** Adds machines to the request for their kind; a count of 0 or less is ignored. */
  add(type: MachineType, zone: string, spot: boolean, count: number): void {
    if (count <= 0) return;
    const kind = `${type.name}/${zone}/${spot}`;
    const request = this.requestsByKind.get(kind) ?? { type: type.name, zone, spot, count: 0 };
    request.count += count;
    this.requestsByKind.set(kind, request);
  }

  /** The requests in the order in which their kinds were first added. */
  list(): ScaleOutRequest[] {
    return [...this.requestsByKind.values()];
  }

  /** The number of machines in all requests. */
  get machineCount(): number {
    let count = 0;
    for (const request of this.requestsByKind.values()) count += request.count;
    return count;
  }
}
