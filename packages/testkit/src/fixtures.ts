import type { Team } from '@spurbridge/model';
import type { JobId, JobSpec, MachineType } from '@spurbridge/wire';

export const ZONES = ['a', 'b', 'c'] as const;

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

export const TYPES: readonly MachineType[] = [
  machineType('s4', 4),
  machineType('m16', 16),
  machineType('g8', 8, 4),
];

export const TEAMS: readonly Team[] = [
  { name: 'red', cpus: 16, cpusMax: 40, gpus: 4, gpusMax: 8 },
  { name: 'blue', cpus: 16, cpusMax: 24, gpus: 0, gpusMax: 0 },
];

export function jobSpec(over: Partial<JobSpec> & { readonly id: JobId }): JobSpec {
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
    ...over,
  };
}

export function jobId(n: number): JobId {
  return `wk-${String(n).padStart(6, '0')}` as JobId;
}
