import { readFileSync } from 'node:fs';
import type { ProcessUsage, RunProcess } from './processes.js';
import { usageOf } from './processes.js';
import type { RoleUsage } from './results.js';

const MB = 1e6;
const KB = 1000;
const SAMPLE_MS = 1000;

/** Watches what processes use, second by second, between two moments. */
export class ProcessUsageSampler {
  private readonly began = new Map<RunProcess, ProcessUsage>();
  private readonly last = new Map<RunProcess, { readonly usage: ProcessUsage; readonly at: number }>();
  private readonly peaks = new Map<RunProcess, number>();
  private readonly beganAt = performance.now();
  private readonly timer: NodeJS.Timeout;

  constructor(processes: readonly RunProcess[]) {
    for (const p of processes) {
      const usage = usageOf(p.pid);
      if (usage === null) continue;
      this.began.set(p, usage);
      this.last.set(p, { usage, at: this.beganAt });
    }
    this.timer = setInterval(() => {
      this.sample();
    }, SAMPLE_MS);
  }

  private sample(): void {
    const now = performance.now();
    for (const [p, before] of this.last) {
      const usage = usageOf(p.pid);
      if (usage === null) continue;
      const cores = (usage.cpuS - before.usage.cpuS) / ((now - before.at) / 1000);
      this.peaks.set(p, Math.max(this.peaks.get(p) ?? 0, cores));
      this.last.set(p, { usage, at: now });
    }
  }

  /** Ends the watch; what each process used since its beginning. */
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
        residentMb: usage.residentBytes / MB,
        peakMb: usage.peakBytes / MB,
        sockets: usage.sockets,
        kbInPerS: (usage.readBytes - before.readBytes) / KB / seconds,
        kbOutPerS: (usage.writtenBytes - before.writtenBytes) / KB / seconds,
      };
    };
  }
}

/** Mean of several processes of one role. */
export function meanUsage(all: readonly RoleUsage[]): RoleUsage {
  const mean = (of: (u: RoleUsage) => number): number =>
    all.length === 0 ? 0 : all.reduce((sum, u) => sum + of(u), 0) / all.length;
  const most = (of: (u: RoleUsage) => number): number => Math.max(0, ...all.map(of));
  return {
    cpu: mean((u) => u.cpu),
    cpuPeak: most((u) => u.cpuPeak),
    residentMb: mean((u) => u.residentMb),
    peakMb: most((u) => u.peakMb),
    sockets: mean((u) => u.sockets),
    kbInPerS: mean((u) => u.kbInPerS),
    kbOutPerS: mean((u) => u.kbOutPerS),
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

/** Share of the machine's cores in use since it was made. */
export class MachineLoad {
  private readonly began = cpuTicks();

  read(): number {
    const now = cpuTicks();
    return (now.busy - this.began.busy) / Math.max(1, now.all - this.began.all);
  }
}
