import type { MachineId } from './ids.js';
import * as r from './read.js';

export interface MachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: number;
  readonly zones: readonly string[];
}

export type MachinePhase = 'booting' | 'running' | 'failed';

export interface ListedMachine {
  readonly id: MachineId;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly phase: MachinePhase;
  readonly ageS: number;
}

export function parseMachineTypes(body: unknown): readonly MachineType[] {
  return r.asArray(r.asObject(body, 'body')['builds'], 'builds').map((v) => {
    const o = r.asObject(v, 'builds');
    return {
      name: r.name(o, 'sku'),
      cpus: r.amount(o, 'cpus'),
      gpus: r.optionalAmount(o, 'accelerators') ?? 0,
      memoryGb: r.amount(o, 'memGb'),
      cacheGb: r.optionalAmount(o, 'cacheGb') ?? 0,
      fetchGbPerS: r.amount(o, 'fetchGbPerS'),
      price: r.amount(o, 'hourly'),
      spotPrice: r.optionalAmount(o, 'marketPrice') ?? r.amount(o, 'hourly'),
      bootS: r.amount(o, 'readyS'),
      zones: r.optionalStrings(o, 'yards') ?? [],
    };
  });
}

const PHASES: Record<string, MachinePhase> = { starting: 'booting', running: 'running', failed: 'failed' };

export function parseMachineList(body: unknown): { machines: readonly ListedMachine[]; more: boolean } {
  const o = r.asObject(body, 'body');
  const machines = r.asArray(o['rigs'], 'rigs').map((v) => {
    const m = r.asObject(v, 'rigs');
    return {
      id: r.name(m, 'nameId') as MachineId,
      address: r.optionalString(m, 'address') ?? '',
      type: r.string(m, 'build'),
      zone: r.string(m, 'yard'),
      spot: r.booleanOrFalse(m, 'loaners'),
      phase: PHASES[r.oneOf(m, 'phase', ['starting', 'running', 'failed'])] as MachinePhase,
      ageS: r.amount(m, 'ageS'),
    };
  });
  return { machines, more: r.booleanOrFalse(o, 'more') };
}

export interface RentalRequest {
  readonly request: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

export function formatRentalRequest(q: RentalRequest): Record<string, unknown> {
  return { hire: q.request, build: q.type, yard: q.zone, loaners: q.spot, count: q.count };
}

export function parseRentalResponse(body: unknown): readonly MachineId[] {
  return (r.optionalStrings(r.asObject(body, 'body'), 'rigs') ?? []) as readonly MachineId[];
}

export function formatReleaseRequest(machines: readonly MachineId[]): Record<string, unknown> {
  return { rigs: machines };
}
