/**
 * The processes that a run starts: their output, messages, resource usage and termination.
 *
 * @module
 */
import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { readFileSync, readdirSync, readlinkSync } from 'node:fs';
import { createInterface } from 'node:readline';
import { SpurbridgeError } from '@spurbridge/wire';
import type { Notice, Order, Reading } from './messages.js';

const MAX_KEPT_LINES = 20;
const READ_TIMEOUT_MS = 10_000;
const START_TIMEOUT_MS = 30_000;
/** Rate of the clock ticks in which Linux counts processor time. */
const CPU_TICKS_PER_S = 100;
const BYTES_PER_KIB = 1024;

/** A process did not start or did not respond; the message ends with its last lines of output. */
export class ProcessError extends SpurbridgeError {
  constructor(name: string, failure: string, lines: readonly string[]) {
    super('PROCESS_FAILED', [`${name}: ${failure}`, ...lines.map((line) => `  ${line}`)].join('\n'));
  }
}

/** Resource counters that the kernel keeps for one process. */
export interface ProcessUsage {
  readonly cpuS: number;
  readonly residentBytes: number;
  readonly peakBytes: number;
  readonly sockets: number;
  /** Bytes of all read and write calls; for a process that uses no files, those on its sockets. */
  readonly readBytes: number;
  readonly writtenBytes: number;
}

function statusField(text: string, name: string): number {
  return Number(new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(text)?.[1] ?? 0);
}

function socketsOf(pid: number): number {
  let count = 0;
  for (const fd of readdirSync(`/proc/${pid}/fd`)) {
    try {
      if (readlinkSync(`/proc/${pid}/fd/${fd}`).startsWith('socket:')) count += 1;
    } catch {
      // The descriptor was closed after the directory had been read.
    }
  }
  return count;
}

/** Reads the kernel's counters of a process; null if it has ended. */
export function usageOf(pid: number): ProcessUsage | null {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const io = readFileSync(`/proc/${pid}/io`, 'utf8');
    return {
      cpuS: (Number(fields[11]) + Number(fields[12])) / CPU_TICKS_PER_S,
      residentBytes: statusField(status, 'VmRSS') * BYTES_PER_KIB,
      peakBytes: statusField(status, 'VmHWM') * BYTES_PER_KIB,
      sockets: socketsOf(pid),
      readBytes: statusField(io, 'rchar'),
      writtenBytes: statusField(io, 'wchar'),
    };
  } catch {
    return null;
  }
}

/** A process to start, and the callbacks for its output and its exit. */
export interface ProcessSpec {
  readonly name: string;
  readonly args: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
  /** Whether the process exchanges messages with the driver. Controllers do not. */
  readonly hasChannel: boolean;
  readonly onNotice?: (notice: Notice) => void;
  readonly onLine?: (line: string) => void;
  /** Called when the process ends unexpectedly. */
  readonly onEnd?: (code: number | null) => void;
}

/** One process of a run. */
export class RunProcess {
  private readonly child: ChildProcess;
  private readonly lines: string[] = [];
  private isEnding = false;
  private hasEnded = false;
  private resolveReading: ((reading: Reading) => void) | null = null;
  private resolveReady: (() => void) | null = null;
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
        if (this.lines.length > MAX_KEPT_LINES) this.lines.shift();
        spec.onLine?.(line);
      });
    this.child.on('message', (notice) => {
      this.onNotice(notice as Notice);
    });
    this.child.on('exit', (code) => {
      this.hasEnded = true;
      if (!this.isEnding) spec.onEnd?.(code);
    });
    // Sending an order may fail because the process has just ended, which 'exit' reports.
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
      this.resolveReady?.();
    } else if (notice.notice === 'reading') this.resolveReading?.(notice.reading);
    else this.spec.onNotice?.(notice);
  }

  /** Sends an order. Drops it if the process is not connected. */
  order(order: Order): void {
    if (this.child.connected) this.child.send(order);
  }

  /** Waits until the process reports that it is ready. Throws a `ProcessError` on timeout. */
  async ready(): Promise<void> {
    if (this.isReady) return;
    await this.within(
      START_TIMEOUT_MS,
      'process did not become ready',
      (resolve) => (this.resolveReady = () => resolve(undefined)),
    );
  }

  /** Requests the process's own counters. Throws a `ProcessError` on timeout. */
  async read(): Promise<Reading> {
    return this.within<Reading>(READ_TIMEOUT_MS, 'process did not return its counters', (resolve) => {
      this.resolveReading = resolve;
      this.order({ order: 'read' });
    });
  }

  private async within<T>(
    timeoutMs: number,
    failure: string,
    begin: (resolve: (value: T) => void) => void,
  ): Promise<T> {
    return new Promise<T>((resolve, reject) => {
      const fail = (): void => {
        reject(new ProcessError(this.name, failure, this.lines));
      };
      const timer = setTimeout(fail, timeoutMs);
      this.child.once('exit', fail);
      begin((value) => {
        clearTimeout(timer);
        this.child.off('exit', fail);
        resolve(value);
      });
    });
  }

  /** Sends a signal, unless the process has ended. */
  signal(name: 'SIGSTOP' | 'SIGCONT' | 'SIGKILL'): void {
    if (!this.hasEnded) this.child.kill(name);
  }

  /** Kills the process and waits for its exit. */
  async end(): Promise<void> {
    this.isEnding = true;
    if (this.hasEnded || this.child.pid === undefined) return;
    const ended = new Promise<void>((resolve) => this.child.once('exit', () => resolve()));
    this.child.kill('SIGKILL');
    await ended;
  }
}

/** All processes of a run. Each is killed by its own process id. */
export class Processes {
  private readonly all = new Set<RunProcess>();

  /** Starts a process and keeps track of it. */
  start(spec: ProcessSpec): RunProcess {
    const process = new RunProcess(spec);
    this.all.add(process);
    return process;
  }

  get running(): readonly RunProcess[] {
    return [...this.all].filter((process) => !process.ended);
  }

  /** Kills one process and removes it from the set. */
  async end(process: RunProcess): Promise<void> {
    await process.end();
    this.all.delete(process);
  }

  /** Kills all processes. */
  async endAll(): Promise<void> {
    await Promise.all([...this.all].map((process) => this.end(process)));
  }
}
