import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { readFileSync, readdirSync, readlinkSync } from 'node:fs';
import { createInterface } from 'node:readline';
import type { Notice, Order, Reading } from './messages.js';

const LAST_LINES = 20;
const READING_MS = 10_000;
const READY_MS = 30_000;
/** Ticks of processor time a second, as Linux counts them for every process. */
const TICKS_PER_S = 100;
const KIB = 1024;

/** A process that did not come up, or did not answer, with its last lines of output. */
export class ProcessError extends Error {
  constructor(name: string, what: string, lines: readonly string[]) {
    super([`${name}: ${what}`, ...lines.map((l) => `  ${l}`)].join('\n'));
  }
}

/** What the kernel counts for one process. */
export interface ProcessUsage {
  readonly cpuS: number;
  readonly residentBytes: number;
  readonly peakBytes: number;
  readonly sockets: number;
  /** Bytes of all read and write calls: for a process without files, those of its sockets. */
  readonly readBytes: number;
  readonly writtenBytes: number;
}

function field(text: string, name: string): number {
  return Number(new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(text)?.[1] ?? 0);
}

function socketsOf(pid: number): number {
  let count = 0;
  for (const fd of readdirSync(`/proc/${pid}/fd`)) {
    try {
      if (readlinkSync(`/proc/${pid}/fd/${fd}`).startsWith('socket:')) count += 1;
    } catch {
      // Closed since the folder was read.
    }
  }
  return count;
}

/** Reads the kernel's counts; null where the process has ended. */
export function usageOf(pid: number): ProcessUsage | null {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const io = readFileSync(`/proc/${pid}/io`, 'utf8');
    return {
      cpuS: (Number(fields[11]) + Number(fields[12])) / TICKS_PER_S,
      residentBytes: field(status, 'VmRSS') * KIB,
      peakBytes: field(status, 'VmHWM') * KIB,
      sockets: socketsOf(pid),
      readBytes: field(io, 'rchar'),
      writtenBytes: field(io, 'wchar'),
    };
  } catch {
    return null;
  }
}

export interface ProcessSpec {
  readonly name: string;
  readonly args: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
  /** Whether it talks with the driver; a controller does not. */
  readonly hasChannel: boolean;
  readonly onNotice?: (notice: Notice) => void;
  readonly onLine?: (line: string) => void;
  /** Told when it ends though nobody asked it to. */
  readonly onEnd?: (code: number | null) => void;
}

/** One process that this run started. */
export class RunProcess {
  private readonly child: ChildProcess;
  private readonly lines: string[] = [];
  private isEnding = false;
  private hasEnded = false;
  private takeReading: ((reading: Reading) => void) | null = null;
  private takeReady: (() => void) | null = null;
  private isReady = false;

  constructor(private readonly spec: ProcessSpec) {
    this.child = spawn(process.execPath, spec.args, {
      stdio: ['ignore', 'ignore', 'pipe', ...(spec.hasChannel ? (['ipc'] as const) : [])],
      env: { ...process.env, ...spec.env },
      serialization: 'advanced',
    });
    if (this.child.stderr !== null)
      createInterface(this.child.stderr).on('line', (line) => {
        this.lines.push(line);
        if (this.lines.length > LAST_LINES) this.lines.shift();
        spec.onLine?.(line);
      });
    this.child.on('message', (notice) => {
      this.onNotice(notice as Notice);
    });
    this.child.on('exit', (code) => {
      this.hasEnded = true;
      if (!this.isEnding) spec.onEnd?.(code);
    });
    // An order to a process that has just ended is of no use to anybody.
    this.child.on('error', () => undefined);
  }

  get name(): string {
    return this.spec.name;
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  get ended(): boolean {
    return this.hasEnded;
  }

  private onNotice(notice: Notice): void {
    if (notice.notice === 'ready') {
      this.isReady = true;
      this.takeReady?.();
    } else if (notice.notice === 'reading') this.takeReading?.(notice.reading);
    else this.spec.onNotice?.(notice);
  }

  order(order: Order): void {
    if (this.child.connected) this.child.send(order);
  }

  /** Resolves when the process says that it is ready; throws a `ProcessError` when it does not. */
  async ready(): Promise<void> {
    if (this.isReady) return;
    await this.within(READY_MS, 'did not come up', (resolve) => (this.takeReady = () => resolve(undefined)));
  }

  /** The process's own counts; throws a `ProcessError` without an answer. */
  async read(): Promise<Reading> {
    return this.within<Reading>(READING_MS, 'did not answer', (resolve) => {
      this.takeReading = resolve;
      this.order({ order: 'read' });
    });
  }

  private async within<T>(
    ms: number,
    what: string,
    begin: (resolve: (value: T) => void) => void,
  ): Promise<T> {
    return new Promise<T>((resolve, reject) => {
      const fail = (): void => {
        reject(new ProcessError(this.name, what, this.lines));
      };
      const timer = setTimeout(fail, ms);
      this.child.once('exit', fail);
      begin((value) => {
        clearTimeout(timer);
        this.child.off('exit', fail);
        resolve(value);
      });
    });
  }

  signal(name: 'SIGSTOP' | 'SIGCONT' | 'SIGKILL'): void {
    if (!this.hasEnded) this.child.kill(name);
  }

  /** Ends the process and waits for its end. */
  async end(): Promise<void> {
    this.isEnding = true;
    if (this.hasEnded || this.child.pid === undefined) return;
    const ended = new Promise<void>((resolve) => this.child.once('exit', () => resolve()));
    this.child.kill('SIGKILL');
    await ended;
  }
}

/** All processes of a run: whatever happens, each is ended by its id. */
export class Processes {
  private readonly all = new Set<RunProcess>();

  start(spec: ProcessSpec): RunProcess {
    const process = new RunProcess(spec);
    this.all.add(process);
    return process;
  }

  get running(): readonly RunProcess[] {
    return [...this.all].filter((p) => !p.ended);
  }

  async end(process: RunProcess): Promise<void> {
    await process.end();
    this.all.delete(process);
  }

  async endAll(): Promise<void> {
    await Promise.all([...this.all].map((p) => this.end(p)));
  }
}
