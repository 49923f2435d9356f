/**
 * Collects what one plan of the fleet scales out to.
 *
 * @module
 */

import type { MachineType } from '@spurbridge/wire';
import type { ScaleOutRequest } from './types.js';

type MutableRequest = { -readonly [Field in keyof ScaleOutRequest]: ScaleOutRequest[Field] };

/** Requests of one plan, added up by machine type, zone and whether they are spot machines. */
export class ScaleOutRequests {
  private readonly requestsByKind = new Map<string, MutableRequest>();

  /** Adds machines to the request of their kind; a count of 0 or less adds nothing. */
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

  /** The number of machines over all requests. */
  get machineCount(): number {
    let count = 0;
    for (const request of this.requestsByKind.values()) count += request.count;
    return count;
  }
}
