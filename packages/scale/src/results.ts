import type { ConfigurationResult } from './configuration-load.js';
import type { LatencySummary } from './messages.js';

/** What one process of a role used while it was measured. */
export interface RoleUsage {
  /** Processor time a second, in cores: the mean, and the most in any one second. */
  readonly cpu: number;
  readonly cpuPeak: number;
  readonly residentMb: number;
  readonly peakMb: number;
  readonly sockets: number;
  readonly kbInPerS: number;
  readonly kbOutPerS: number;
}

export const ROLES = ['leader', 'node', 'state', 'cloud', 'users', 'workers', 'worker'] as const;
/** `workers` is a process of many simulated workers, `worker` one that is alone. */
export type RoleName = (typeof ROLES)[number];

/** A summary of a trouble that was played while the run went on. */
export interface FaultResult {
  readonly trouble: string;
  readonly watchedS: number;
  readonly startsPerS: number;
  /** Longest time in which no task started anywhere in the run, in seconds. */
  readonly longestPauseS: number;
  readonly urgentMs: LatencySummary;
  readonly killedByLease: number;
  readonly brokenRules: number;
}

/** One step of a scale run; figures are means of one region, over the measured time. */
export interface StepResult {
  readonly regions: number;
  readonly share: number;
  readonly workers: number;
  readonly teams: number;
  readonly nodes: number;
  readonly processes: number;
  readonly warmS: number;
  readonly seconds: number;
  readonly startsAskedPerS: number;
  /** Tasks of the jobs that came while it was measured, a second: arrivals are drawn, so it differs from what was asked. */
  readonly tasksCamePerS: number;
  readonly startsPerS: number;
  readonly jobsPerS: number;
  readonly running: number;
  readonly roles: Readonly<Record<RoleName, RoleUsage>>;
  /** Tasks on one of the workers that are alone: what their use goes with. */
  readonly tasksOnLoneWorker: number;
  readonly state: {
    readonly requestsPerS: number;
    readonly changesPerS: number;
    readonly refusedPerS: number;
    readonly conflicts: number;
  };
  readonly reportsPerS: number;
  readonly commandsPerS: number;
  readonly unanswered: number;
  readonly redirects: number;
  readonly urgentMs: LatencySummary;
  /** Tasks of urgent jobs that had not started when it ended, though they had waited for longer than the aim. */
  readonly urgentNotStarted: number;
  readonly acceptedMs: LatencySummary;
  readonly users: Readonly<Record<string, number>>;
  readonly killedByLease: number;
  /** Processes that ended though nobody asked them to. */
  readonly ends: readonly string[];
  /** From the start of the controllers until one leads and has read its records, in seconds; null: none did. */
  readonly readySeconds?: number | null;
  /** Records of ended jobs that were there from the start. */
  readonly endedJobs?: number;
  readonly elections: number;
  readonly brokenRules: readonly string[];
  readonly troubles: readonly FaultResult[];
  /** Changes of configuration of the first region; null: none were made. */
  readonly configuration?: ConfigurationResult | null;
  /** Share of the machine's cores that all processes on it used, and memory that those of the run held. */
  readonly machineCpu: number;
  readonly memoryMb: number;
}

export interface ScaleResult {
  readonly at: string;
  readonly seed: number;
  readonly cores: number;
  readonly memoryMb: number;
  readonly steps: readonly StepResult[];
  /** Why it went no further. */
  readonly stopped: string;
}
