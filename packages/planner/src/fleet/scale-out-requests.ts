import type { MachineType } from '@spurbridge/wire';
import type { ScaleOutRequest } from './plan-fleet.js';

/** What one plan of the fleet rents, by type, zone and kind. */
export class ScaleOutRequests {
  private readonly all = new Map<string, { -readonly [K in keyof ScaleOutRequest]: ScaleOutRequest[K] }>();

  add(type: MachineType, zone: string, spot: boolean, count: number): void {
    if (count <= 0) return;
    const key = `${type.name}/${zone}/${spot}`;
    const rent = this.all.get(key) ?? { type: type.name, zone, spot, count: 0 };
    rent.count += count;
    this.all.set(key, rent);
  }

  list(): ScaleOutRequest[] {
    return [...this.all.values()];
  }
}
