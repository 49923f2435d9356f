import type { Machine } from '@spurbridge/model';
import type { MachineId } from '@spurbridge/wire';
import type { ClusterState } from '../jobs/cluster-state.js';

/** What decides whether a job's task may be on a machine. */
export interface MachineShape {
  /** Empty where the machine is known by its id alone. */
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

interface ResourceUsage {
  cpus: number;
  gpus: number;
}

interface Entry {
  readonly place: MachineShape;
  readonly key: string;
  readonly size: ResourceUsage;
  /** What the records place on it, by team. */
  readonly recorded: ReadonlyMap<string, ResourceUsage>;
}

/**
 * The machines that are still to be heard, as far as decisions depend on them. Each of some thousand reports changes it by one
 * machine: summed up anew each time, it took a new leader's time from the reports that it waited for.
 */
export class UnconfirmedMachines {
  private readonly entries = new Map<MachineId, Entry>();
  private readonly kinds = new Map<string, { readonly place: MachineShape; count: number }>();
  private readonly known: ResourceUsage = { cpus: 0, gpus: 0 };
  private readonly byTeam = new Map<string, ResourceUsage>();
  /** Known by their ids alone, they may be as large as any. */
  private unsized = 0;

  constructor(private readonly cluster: ClusterState) {}

  get count(): number {
    return this.entries.size;
  }

  machineIds(): Iterable<MachineId> {
    return this.entries.keys();
  }

  shapes(): Iterable<{ readonly place: MachineShape }> {
    return this.kinds.values();
  }

  get capacity(): Readonly<ResourceUsage> {
    return this.unsized > 0 ? { cpus: Infinity, gpus: Infinity } : this.known;
  }

  recordedUsage(team: string): Readonly<ResourceUsage> {
    return this.byTeam.get(team) ?? { cpus: 0, gpus: 0 };
  }

  add(m: Machine): void {
    if (this.entries.has(m.id)) return;
    const type = this.cluster.machineType(m.type);
    const place = { type: m.type, zone: m.zone, spot: m.spot };
    const recorded = new Map<string, ResourceUsage>();
    for (const { job } of this.cluster.tasksOn(m.id)) {
      const sum = recorded.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
      sum.cpus += job.spec.cpus;
      sum.gpus += job.spec.gpus;
      recorded.set(job.spec.team, sum);
    }
    const size = { cpus: type?.cpus ?? Infinity, gpus: type?.gpus ?? Infinity };
    const e: Entry = { place, key: `${m.type}/${m.zone}/${m.spot}`, size, recorded };
    this.entries.set(m.id, e);
    const kind = this.kinds.get(e.key);
    if (kind === undefined) this.kinds.set(e.key, { place, count: 1 });
    else kind.count += 1;
    this.tally(e, 1);
  }

  remove(id: MachineId): void {
    const e = this.entries.get(id);
    if (e === undefined) return;
    this.entries.delete(id);
    const kind = this.kinds.get(e.key);
    if (kind !== undefined && (kind.count -= 1) === 0) this.kinds.delete(e.key);
    this.tally(e, -1);
  }

  clear(): void {
    for (const id of [...this.entries.keys()]) this.remove(id);
  }

  private tally(e: Entry, sign: 1 | -1): void {
    if (e.size.cpus === Infinity) this.unsized += sign;
    else {
      this.known.cpus += sign * e.size.cpus;
      this.known.gpus += sign * e.size.gpus;
    }
    for (const [team, use] of e.recorded) {
      const sum = this.byTeam.get(team) ?? { cpus: 0, gpus: 0 };
      sum.cpus += sign * use.cpus;
      sum.gpus += sign * use.gpus;
      this.byTeam.set(team, sum);
    }
  }
}
