/**
 * Resource usage of processes and of the whole machine over an interval.
 *
 * @module
 */
import { readFileSync } from 'node:fs';
import type { ProcessUsage, RunProcess } from './processes.js';
import { usageOf } from './processes.js';
import type { RoleUsage } from './results.js';

const BYTES_PER_MB = 1e6;
const BYTES_PER_KB = 1000;
const SAMPLE_INTERVAL_MS = 1000;

/** Samples the resource usage of processes every second until `end` is called. */
export class ProcessUsageSampler {
  private readonly began = new Map<RunProcess, ProcessUsage>();
  private readonly last = new Map<RunProcess, { readonly usage: ProcessUsage; readonly at: number }>();
  private readonly peaks = new Map<RunProcess, number>();
  private readonly beganAt = performance.now();
  private readonly timer: NodeJS.Timeout;

  constructor(processes: readonly RunProcess[]) {
    for (const process of processes) {
      const usage = usageOf(process.pid);
      if (usage === null) continue;
      this.began.set(process, usage);
      this.last.set(process, { usage, at: this.beganAt });
    }
    this.timer = setInterval(() => {
      this.sample();
    }, SAMPLE_INTERVAL_MS);
  }

  private sample(): void {
    const now = performance.now();
    for (const [process, before] of this.last) {
      const usage = usageOf(process.pid);
      if (usage === null) continue;
      const cores = (usage.cpuS - before.usage.cpuS) / ((now - before.at) / 1000);
      this.peaks.set(process, Math.max(this.peaks.get(process) ?? 0, cores));
      this.last.set(process, { usage, at: now });
    }
  }

  /** Ends the sampling; returns a function that gives the usage of a process, or null if it was not sampled. */
  end(): (process: RunProcess) => RoleUsage | null {
    clearInterval(this.timer);
    this.sample();
    return (process) => {
      const before = this.began.get(process);
      const after = this.last.get(process);
      if (before === undefined || after === undefined) return null;
      const seconds = (after.at - this.beganAt) / 1000;
      const { usage } = after;
      return {
        cpu: (usage.cpuS - before.cpuS) / seconds,
        cpuPeak: this.peaks.get(process) ?? 0,
        residentMb: usage.residentBytes / BYTES_PER_MB,
        peakMb: usage.peakBytes / BYTES_PER_MB,
        sockets: usage.sockets,
        kbInPerS: (usage.readBytes - before.readBytes) / BYTES_PER_KB / seconds,
        kbOutPerS: (usage.writtenBytes - before.writtenBytes) / BYTES_PER_KB / seconds,
      };
    };
  }
}

/** Mean usage of several processes of one role. The peak of the processor time is the maximum of their peaks. */
export function meanUsage(all: readonly RoleUsage[]): RoleUsage {
  const mean = (of: (usage: RoleUsage) => number): number =>
    all.length === 0 ? 0 : all.reduce((sum, usage) => sum + of(usage), 0) / all.length;
  const most = (of: (usage: RoleUsage) => number): number => Math.max(0, ...all.map(of));
  return {
    cpu: mean((usage) => usage.cpu),
    cpuPeak: most((usage) => usage.cpuPeak),
    residentMb: mean((usage) => usage.residentMb),
    peakMb: most((usage) => usage.peakMb),
    sockets: mean((usage) => usage.sockets),
    kbInPerS: mean((usage) => usage.kbInPerS),
    kbOutPerS: mean((usage) => usage.kbOutPerS),
  };
}

/** Rounds a figure to the three decimal places with which results are kept. */
export function roundFigure(value: number): number {
  return Number(value.toFixed(3));
}

/** Rounds every figure of a usage. */
export function roundUsage(usage: RoleUsage): RoleUsage {
  return {
    cpu: roundFigure(usage.cpu),
    cpuPeak: roundFigure(usage.cpuPeak),
    residentMb: roundFigure(usage.residentMb),
    peakMb: roundFigure(usage.peakMb),
    sockets: roundFigure(usage.sockets),
    kbInPerS: roundFigure(usage.kbInPerS),
    kbOutPerS: roundFigure(usage.kbOutPerS),
  };
}

interface CpuTicks {
  readonly busy: number;
  readonly all: number;
}

function cpuTicks(): CpuTicks {
  const fields = (readFileSync('/proc/stat', 'utf8').split('\n')[0] ?? '').trim().split(/\s+/).slice(1, 9);
  const ticks = fields.map(Number);
  const all = ticks.reduce((a, b) => a + b, 0);
  return { all, busy: all - (ticks[3] ?? 0) - (ticks[4] ?? 0) };
}

/** Measures the share of the machine's cores in use since this object was created. */
export class MachineLoad {
  private readonly began = cpuTicks();

  /** The share so far, from 0 to 1. */
  read(): number {
    const now = cpuTicks();
    return (now.busy - this.began.busy) / Math.max(1, now.all - this.began.all);
  }
}
