/**
 * The resource figures of the capacity tables, with the load that drives each of them and their limits.
 *
 * @module
 */
import { RUN_SETTINGS } from './controller-settings.js';
import type { StepResult } from './results.js';

/** Name of a load that drives resource figures. */
export type DriverName = 'starts/s' | 'workers' | 'tasks';

/** One figure that is fitted as a line over its driver. */
export interface Metric {
  readonly role: string;
  readonly quantity: string;
  readonly valueOf: (step: StepResult) => number;
  readonly driver: DriverName;
  /** The available amount; null if no limit is set. */
  readonly limit: number | null;
  /** Digits after the decimal point in the table. */
  readonly digits: number;
}

/** Reads the value of each driver from the result of a step. */
export const DRIVERS: Readonly<Record<DriverName, (step: StepResult) => number>> = {
  'starts/s': (step) => step.startsPerS,
  workers: (step) => step.workers,
  tasks: (step) => step.tasksOnLoneWorker,
};

/** Resources that the agent of a worker may use. */
const WORKER_LIMITS = { cores: 0.024, megabytes: 256, kilobytesPerS: 5 } as const;
/** Each node schedules in one thread. */
const CORES_PER_NODE = 1;
const MEMORY_MB = RUN_SETTINGS.resources.mem_mb;

/** The rows of the slope table, in its order. */
export const METRICS: readonly Metric[] = [
  {
    role: 'leader',
    quantity: 'cores',
    valueOf: (step) => step.roles.leader.cpu,
    driver: 'starts/s',
    limit: CORES_PER_NODE,
    digits: 3,
  },
  {
    role: 'leader',
    quantity: 'cores in its busiest second',
    valueOf: (step) => step.roles.leader.cpuPeak,
    driver: 'starts/s',
    limit: CORES_PER_NODE,
    digits: 3,
  },
  {
    role: 'leader',
    quantity: 'MB resident',
    valueOf: (step) => step.roles.leader.residentMb,
    driver: 'workers',
    limit: MEMORY_MB,
    digits: 0,
  },
  {
    role: 'leader',
    quantity: 'sockets',
    valueOf: (step) => step.roles.leader.sockets,
    driver: 'workers',
    limit: RUN_SETTINGS.resources.sockets,
    digits: 0,
  },
  {
    role: 'leader',
    quantity: 'KB/s in and out',
    valueOf: (step) => step.roles.leader.kbInPerS + step.roles.leader.kbOutPerS,
    driver: 'starts/s',
    limit: null,
    digits: 0,
  },
  {
    role: 'other node',
    quantity: 'cores',
    valueOf: (step) => step.roles.node.cpu,
    driver: 'starts/s',
    limit: CORES_PER_NODE,
    digits: 3,
  },
  {
    role: 'other node',
    quantity: 'MB resident',
    valueOf: (step) => step.roles.node.residentMb,
    driver: 'workers',
    limit: MEMORY_MB,
    digits: 0,
  },
  {
    role: 'other node',
    quantity: 'KB/s in and out',
    valueOf: (step) => step.roles.node.kbInPerS + step.roles.node.kbOutPerS,
    driver: 'starts/s',
    limit: null,
    digits: 0,
  },
  {
    role: 'state service',
    quantity: 'requests/s',
    valueOf: (step) => step.state.requestsPerS,
    driver: 'starts/s',
    limit: RUN_SETTINGS.state.rps,
    digits: 1,
  },
  {
    role: 'state service',
    quantity: 'changes/s',
    valueOf: (step) => step.state.changesPerS,
    driver: 'starts/s',
    limit: RUN_SETTINGS.state.write_rps,
    digits: 1,
  },
  {
    role: 'state service',
    quantity: 'cores (stand-in)',
    valueOf: (step) => step.roles.state.cpu,
    driver: 'starts/s',
    limit: null,
    digits: 3,
  },
  {
    role: 'cloud',
    quantity: 'cores (stand-in)',
    valueOf: (step) => step.roles.cloud.cpu,
    driver: 'workers',
    limit: null,
    digits: 3,
  },
  {
    role: 'all workers',
    quantity: 'reports/s',
    valueOf: (step) => step.reportsPerS,
    driver: 'starts/s',
    limit: null,
    digits: 0,
  },
  {
    role: 'one worker',
    quantity: 'cores',
    valueOf: (step) => step.roles.worker.cpu,
    driver: 'tasks',
    limit: WORKER_LIMITS.cores,
    digits: 4,
  },
  {
    role: 'one worker',
    quantity: 'MB resident',
    valueOf: (step) => step.roles.worker.residentMb,
    driver: 'tasks',
    limit: WORKER_LIMITS.megabytes,
    digits: 0,
  },
  {
    role: 'one worker',
    quantity: 'KB/s in and out',
    valueOf: (step) => step.roles.worker.kbInPerS + step.roles.worker.kbOutPerS,
    driver: 'tasks',
    limit: WORKER_LIMITS.kilobytesPerS,
    digits: 2,
  },
];
