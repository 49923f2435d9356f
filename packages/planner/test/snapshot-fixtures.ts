/**
 * Jobs, machines and snapshots for the tests of the scheduling pass.
 *
 * @module
 */

import type { JobId, JobSpec, MachineId } from '@spurbridge/wire';
import { TEAMS, TYPES, ZONES } from '@spurbridge/testkit';
import type { ClusterSnapshot, JobView, MachineView, Occupant } from '../src/index.js';

/** The job id with this number. */
export const jobId = (index: number): JobId => `wk-${String(index).padStart(6, '0')}` as JobId;

/** A job all of whose tasks are pending. */
export function jobView(spec: JobSpec, overrides: Partial<JobView> = {}): JobView {
  return {
    spec,
    pendingTasks: Array.from({ length: spec.tasks }, (_, task) => task),
    pendingCount: spec.tasks,
    unfinishedCount: spec.tasks,
    placedZones: [],
    totalWaitS: 0,
    ageS: 0,
    estimateS: Math.max(spec.estimateS, 0.5),
    completionMilestonesS: [],
    startMilestonesS: [],
    toleratedWaitS: 1,
    excludedMachines: new Set(),
    submissionOrder: Number(spec.id.slice(3)),
    isStartable: true,
    ...overrides,
  };
}

/** An empty machine. */
export function machine(index: number, type = 0, overrides: Partial<MachineView> = {}): MachineView {
  return {
    id: `n-${String(index).padStart(6, '0')}` as MachineId,
    type: TYPES[type] as MachineView['type'],
    zone: ZONES[index % 3] as string,
    spot: false,
    isSchedulable: true,
    images: new Map(),
    slowness: 1,
    occupants: [],
    ...overrides,
  };
}

/** A running task of team blue. */
export function occupant(overrides: Partial<Occupant> = {}): Occupant {
  return {
    job: jobId(900),
    task: 0,
    cpus: 4,
    gpus: 0,
    memoryGb: 2,
    remainingS: 60,
    lostWorkS: 5,
    priority: 'normal',
    team: 'blue',
    isStopping: false,
    isPreemptible: true,
    ...overrides,
  };
}

/** A snapshot of jobs and machines. */
export const snapshot = (jobs: JobView[], machines: MachineView[]): ClusterSnapshot => ({
  jobs,
  machines,
  teams: TEAMS,
  starvationThresholdS: 30,
  placeAheadS: 0,
  typicalTask: null,
  isCostAware: false,
});
