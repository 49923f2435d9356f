/**
 * Counters and resource usage of the processes of a run in one measured interval.
 *
 * @module
 */
import type { LatencySummary, Reading } from './messages.js';
import type { RunProcess } from './processes.js';
import type { Region } from './region.js';
import { DEDICATED_WORKERS } from './region.js';
import type { RoleName, RoleUsage } from './results.js';
import { meanUsage, roundUsage } from './usage.js';

const BYTES_PER_KB = 1000;
const NO_LATENCY: LatencySummary = { count: 0, p50: 0, p99: 0, most: 0 };

/** Counters of the helper processes at one moment. */
export type Readings = ReadonlyMap<RunProcess, Reading>;

/** Measurements over one interval. */
export interface IntervalMeasurements {
  readonly seconds: number;
  /** Usage of a process in the interval, or null if it was not sampled. */
  readonly usage: (process: RunProcess) => RoleUsage | null;
  readonly before: Readings;
  readonly after: Readings;
  /** Share of the machine's cores in use, from 0 to 1. */
  readonly machineCpu: number;
}

type MaybeProcess = RunProcess | null | undefined;

/** Reads the counters of all helper processes of the regions. */
export async function readHelpers(regions: readonly Region[]): Promise<Readings> {
  const helpers = regions.flatMap((region) =>
    [region.store, region.cloud, region.users, ...region.hosts.values()].filter(
      (process): process is RunProcess => process !== null,
    ),
  );
  const readings = helpers.map(async (process) => [process, await process.read()] as const);
  return new Map(await Promise.all(readings));
}

/** Number of tasks that workers killed because their lease had expired, since the start of the processes. */
export function killedByLease(readings: Readings): number {
  let sum = 0;
  for (const reading of readings.values()) sum += reading.counts['killedByLease'] ?? 0;
  return sum;
}

/** Aggregates the measurements of an interval over the regions of a step. */
export class MeasuredInterval {
  constructor(
    private readonly regions: readonly Region[],
    private readonly measurements: IntervalMeasurements,
  ) {}

  get seconds(): number {
    return this.measurements.seconds;
  }

  get machineCpu(): number {
    return this.measurements.machineCpu;
  }

  /** Number of tasks that workers killed in the interval because their lease had expired. */
  get killedByLease(): number {
    return killedByLease(this.measurements.after) - killedByLease(this.measurements.before);
  }

  /** A counter of the key-value store of a region, as the mean of all regions. */
  storeCount(kind: string): number {
    return this.meanCount((region) => [region.store], kind);
  }

  /** A counter of the workers of a region, as the mean of all regions. */
  workerCount(kind: string): number {
    return this.meanCount((region) => [...region.hosts.values()], kind);
  }

  /** Counters of the users of all regions, by kind. */
  userCounts(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { users } of this.regions) {
      if (users === null) continue;
      const after = this.measurements.after.get(users)?.counts ?? {};
      const before = this.measurements.before.get(users)?.counts ?? {};
      for (const [kind, count] of Object.entries(after))
        counts[kind] = (counts[kind] ?? 0) + count - (before[kind] ?? 0);
    }
    return counts;
  }

  /** A user latency of the region in which its 99th percentile is highest. */
  worstUserLatency(kind: string): LatencySummary {
    const summaries = this.regions.flatMap(({ users }) => {
      const found = users === null ? undefined : this.measurements.after.get(users)?.latencies[kind];
      return found === undefined ? [] : [found];
    });
    return summaries.sort((a, b) => b.p99 - a.p99)[0] ?? NO_LATENCY;
  }

  /** Mean usage of one process of each role. */
  roleUsage(): Record<RoleName, RoleUsage> {
    const isLeader = (region: Region, process: RunProcess): boolean =>
      region.leader !== null && region.controllers[region.leader] === process;
    return {
      leader: this.usageOf((region) => region.controllers.filter((process) => isLeader(region, process))),
      node: this.usageOf((region) => region.controllers.filter((process) => !isLeader(region, process))),
      state: this.usageOf((region) => [region.store]),
      cloud: this.usageOf((region) => [region.cloud]),
      users: this.usageOf((region) => [region.users]),
      workers: this.usageOf((region) => region.shape.zones.map((zone) => region.hosts.get(zone))),
      worker: roundUsage(meanUsage(this.dedicatedWorkerUsage())),
    };
  }

  /** Mean number of tasks on a worker that runs in a dedicated process, from the readings before and after. */
  tasksPerDedicatedWorker(): number {
    const { before, after } = this.measurements;
    const means = this.dedicatedWorkers.map(
      (process) => ((before.get(process)?.tasks ?? 0) + (after.get(process)?.tasks ?? 0)) / 2,
    );
    return means.reduce((sum, mean) => sum + mean, 0) / Math.max(1, means.length);
  }

  /** Resident memory of the given processes together, in MB. */
  residentMb(processes: readonly RunProcess[]): number {
    return processes.reduce((sum, process) => sum + (this.measurements.usage(process)?.residentMb ?? 0), 0);
  }

  private meanCount(processesOf: (region: Region) => readonly MaybeProcess[], kind: string): number {
    const { before, after } = this.measurements;
    let sum = 0;
    for (const process of this.regions.flatMap(processesOf)) {
      if (process === null || process === undefined) continue;
      sum += (after.get(process)?.counts[kind] ?? 0) - (before.get(process)?.counts[kind] ?? 0);
    }
    return sum / this.regions.length;
  }

  private usageOf(processesOf: (region: Region) => readonly MaybeProcess[]): RoleUsage {
    const usages = this.regions.flatMap(processesOf).flatMap((process) => {
      const usage = process === null || process === undefined ? null : this.measurements.usage(process);
      return usage === null ? [] : [usage];
    });
    return roundUsage(meanUsage(usages));
  }

  /** Counts only bytes on the workers' sockets: messages to the driver are not part of the protocol. */
  private dedicatedWorkerUsage(): RoleUsage[] {
    return this.dedicatedWorkers.flatMap((process) => {
      const usage = this.measurements.usage(process);
      const before = this.measurements.before.get(process);
      const after = this.measurements.after.get(process);
      if (usage === null || before === undefined || after === undefined) return [];
      const kbPerS = (bytes: number): number => bytes / BYTES_PER_KB / this.seconds;
      const kbInPerS = kbPerS(after.bytesIn - before.bytesIn);
      const kbOutPerS = kbPerS(after.bytesOut - before.bytesOut);
      return [{ ...usage, kbInPerS, kbOutPerS }];
    });
  }

  private get dedicatedWorkers(): RunProcess[] {
    return this.regions.flatMap((region) =>
      DEDICATED_WORKERS.flatMap((name) => region.hosts.get(name) ?? []),
    );
  }
}
