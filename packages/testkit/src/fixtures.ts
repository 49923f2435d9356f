/**
 * Zones, machine types, teams and jobs for tests.
 *
 * @module
 */
import type { Team } from '@spurbridge/model';
import type { JobId, JobSpec, MachineType } from '@spurbridge/wire';

/** Zones of the test fleets. */
export const ZONES = ['a', 'b', 'c'] as const;

/** A machine type with memory, cache and prices in proportion to its CPUs; it boots in about five seconds. */
export function machineType(name: string, cpus: number, gpus = 0): MachineType {
  return {
    name,
    cpus,
    gpus,
    memoryGb: cpus * 4,
    cacheGb: 40,
    fetchGbPerS: 1,
    price: cpus * 0.04,
    spotPrice: cpus * 0.015,
    bootS: 5,
    zones: [...ZONES],
  };
}

/** Small, middle-sized and accelerated machines. */
export const TYPES: readonly MachineType[] = [
  machineType('s4', 4),
  machineType('m16', 16),
  machineType('g8', 8, 4),
];

/** Two teams, of which one has no accelerators. */
export const TEAMS: readonly Team[] = [
  { name: 'red', cpus: 16, cpusMax: 40, gpus: 4, gpusMax: 8 },
  { name: 'blue', cpus: 16, cpusMax: 24, gpus: 0, gpusMax: 0 },
];

/** An array of four short tasks; `overrides` replaces single fields. */
export function jobSpec(overrides: Partial<JobSpec> & { readonly id: JobId }): JobSpec {
  return {
    class: 'work',
    team: 'red',
    kind: 'array',
    priority: 'normal',
    tasks: 4,
    cpus: 2,
    gpus: 0,
    memoryGb: 2,
    image: 'img',
    imageGb: 1,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: true,
    estimateS: 5,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    ...overrides,
  };
}

const JOB_ID_DIGITS = 6;

/** The id of the job with this number. */
export function jobId(number: number): JobId {
  return `wk-${String(number).padStart(JOB_ID_DIGITS, '0')}` as JobId;
}
