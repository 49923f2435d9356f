/**
 * Results of a run, in the format that is kept as JSON under docs/capacity.
 *
 * @module
 */
import type { ConfigurationResult } from './configuration-load.js';
import type { LatencySummary } from './messages.js';

/** Mean resource usage of one process of a role in the measured interval. */
export interface RoleUsage {
  /** Mean processor usage in cores; `cpuPeak` is the maximum in any one second. */
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
/** `workers` is a process that hosts many simulated workers; `worker` is one that hosts a single worker. */
export type RoleName = (typeof ROLES)[number];

/** Result of one fault that was injected during the run. */
export interface FaultResult {
  readonly trouble: string;
  readonly watchedS: number;
  readonly startsPerS: number;
  /** Longest time without a task start in any region, in seconds. */
  readonly longestPauseS: number;
  readonly urgentMs: LatencySummary;
  readonly killedByLease: number;
  readonly brokenRules: number;
}

/** Result of one step. Figures are per region, as means over the measured interval. */
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
  /** Tasks submitted per second. Arrivals are random, so this differs from the target rate. */
  readonly tasksCamePerS: number;
  readonly startsPerS: number;
  readonly jobsPerS: number;
  readonly running: number;
  readonly roles: Readonly<Record<RoleName, RoleUsage>>;
  /** Mean number of tasks on a worker that runs in a dedicated process. */
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
  /** Number of urgent tasks that had waited for longer than the objective and had not started by the end. */
  readonly urgentNotStarted: number;
  readonly acceptedMs: LatencySummary;
  readonly users: Readonly<Record<string, number>>;
  readonly killedByLease: number;
  /** Processes that exited unexpectedly. */
  readonly ends: readonly string[];
  /** Time from the start of the controllers until a leader had read its records, in seconds; null if none had. */
  readonly readySeconds?: number | null;
  /** Number of records of ended jobs that the store held from the start. */
  readonly endedJobs?: number;
  readonly elections: number;
  readonly brokenRules: readonly string[];
  readonly troubles: readonly FaultResult[];
  /** Configuration changes in the first region; null if none were made. */
  readonly configuration?: ConfigurationResult | null;
  /** Share of the machine's cores in use by all its processes, from 0 to 1. */
  readonly machineCpu: number;
  /** Resident memory of the run's processes together. */
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
