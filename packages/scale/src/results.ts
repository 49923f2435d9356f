/**
 * Results of a run, in the form in which they are kept as JSON under docs/capacity.
 *
 * @module
 */
import type { ConfigurationResult } from './configuration-load.js';
import type { LatencySummary } from './messages.js';

/** Mean resource usage of one process of a role in the measured interval. */
export interface RoleUsage {
  /** Processor time per second, in cores: the mean, and the maximum in any one second. */
  readonly cpu: number;
  readonly cpuPeak: number;
  readonly residentMb: number;
  readonly peakMb: number;
  readonly sockets: number;
  readonly kbInPerS: number;
  readonly kbOutPerS: number;
}

/** The roles of processes whose usage is measured. */
export const ROLES = ['leader', 'node', 'state', 'cloud', 'users', 'workers', 'worker'] as const;
/** `workers` is a process of many simulated workers, `worker` one of a single worker. */
export type RoleName = (typeof ROLES)[number];

/** Result of one fault that was injected while the run went on. */
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

/** Result of one step; figures are means of one region over the measured interval. */
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
  /** Tasks submitted per second. Arrivals are random, so this differs from the rate asked for. */
  readonly tasksCamePerS: number;
  readonly startsPerS: number;
  readonly jobsPerS: number;
  readonly running: number;
  readonly roles: Readonly<Record<RoleName, RoleUsage>>;
  /** Mean number of tasks on a worker with a process of its own. */
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
  /** Urgent tasks that had not started by the end though they had waited for longer than the objective. */
  readonly urgentNotStarted: number;
  readonly acceptedMs: LatencySummary;
  readonly users: Readonly<Record<string, number>>;
  readonly killedByLease: number;
  /** Processes that ended unexpectedly. */
  readonly ends: readonly string[];
  /** From the start of the controllers until one leads with its records read, in seconds; null if none did. */
  readonly readySeconds?: number | null;
  /** Records of ended jobs that the store held from the start. */
  readonly endedJobs?: number;
  readonly elections: number;
  readonly brokenRules: readonly string[];
  readonly troubles: readonly FaultResult[];
  /** Configuration changes in the first region; null if none were made. */
  readonly configuration?: ConfigurationResult | null;
  /** Share of the machine's cores that all its processes used, and memory resident in those of the run. */
  readonly machineCpu: number;
  readonly memoryMb: number;
}

/** Result of a whole run. */
export interface ScaleResult {
  readonly at: string;
  readonly seed: number;
  readonly cores: number;
  readonly memoryMb: number;
  readonly steps: readonly StepResult[];
  /** Why the run ended. */
  readonly stopped: string;
}
