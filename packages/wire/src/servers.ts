/** The protocols of workers, cloud and state service as their own side sees them: for stand-ins and real agents. */
import type { Attempt, LeaseId, MachineId, Revision, AgentEpoch, FencingToken, Version } from './ids.js';
import type { ListedMachine, MachineType, RentalRequest } from './cloud.js';
import type { Mutation, Compare, KeyValue, WatchEvent } from './state.js';
import type { WorkerCommand } from './workers.js';
import { parseTaskName } from './workers.js';
import * as r from './read.js';

// --- workers -----------------------------------------------------------------------------------

function parseCommand(value: unknown): WorkerCommand {
  const o = r.asObject(value, 'orders');
  const { job, task } = parseTaskName(r.string(o, 'piece'));
  const attempt = r.count(o, 'try') as Attempt;
  switch (r.oneOf(o, 'verb', ['start', 'halt', 'forget'])) {
    case 'start':
      return { op: 'start', job, task, attempt };
    case 'halt':
      return { op: 'stop', job, task, attempt, graceS: r.optionalAmount(o, 'windDownS') ?? 0 };
    case 'forget':
      return { op: 'forget', job, task, attempt };
  }
}

function parseOrders(o: r.JsonObject): readonly WorkerCommand[] {
  return o['orders'] === undefined ? [] : r.asArray(o['orders'], 'orders').map(parseCommand);
}

export interface HeartbeatResponse {
  readonly token: FencingToken;
  readonly commands: readonly WorkerCommand[];
}

/** A controller's answer of 200 to a report; without a token it counts as one with token 0. */
export function parseHeartbeatResponse(body: unknown): HeartbeatResponse {
  const o = r.asObject(body, 'body');
  return { token: (r.optionalCount(o, 'baton') ?? 0) as FencingToken, commands: parseOrders(o) };
}

/** The node that a controller's answer of 421 names; null: none. */
export function parseRedirect(body: unknown): string | null {
  return r.optionalString(r.asObject(body, 'body'), 'foreman');
}

export interface DirectCommands extends HeartbeatResponse {
  readonly agentEpoch: AgentEpoch;
}

/** Commands sent straight to a worker; throws where token or session is missing. */
export function parseDirectCommands(body: unknown): DirectCommands {
  const o = r.asObject(body, 'body');
  return {
    token: r.count(o, 'baton') as FencingToken,
    agentEpoch: r.count(o, 'shift') as AgentEpoch,
    commands: parseOrders(o),
  };
}

// --- cloud -------------------------------------------------------------------------------------

export function formatMachineTypes(types: readonly MachineType[]): Record<string, unknown> {
  return {
    builds: types.map((t) => ({
      sku: t.name,
      cpus: t.cpus,
      accelerators: t.gpus,
      memGb: t.memoryGb,
      cacheGb: t.cacheGb,
      fetchGbPerS: t.fetchGbPerS,
      hourly: t.price,
      marketPrice: t.spotPrice,
      readyS: t.bootS,
      yards: t.zones,
    })),
  };
}

const PHASE_NAMES = { booting: 'starting', running: 'running', failed: 'failed' } as const;

export function formatMachineList(
  machines: readonly ListedMachine[],
  isPartial: boolean,
): Record<string, unknown> {
  return {
    rigs: machines.map((m) => ({
      nameId: m.id,
      address: m.address,
      build: m.type,
      yard: m.zone,
      loaners: m.spot,
      phase: PHASE_NAMES[m.phase],
      ageS: m.ageS,
    })),
    more: isPartial,
  };
}

export function parseRentalRequest(body: unknown): RentalRequest {
  const o = r.asObject(body, 'body');
  return {
    request: r.name(o, 'hire'),
    type: r.string(o, 'build'),
    zone: r.string(o, 'yard'),
    spot: r.booleanOrFalse(o, 'loaners'),
    count: r.count(o, 'count', 1),
  };
}

/** Names of machines, as an answer to a rental and as a request for release hold them. */
export function formatRentalResponse(machines: readonly MachineId[]): Record<string, unknown> {
  return { rigs: machines };
}

export function parseReleaseRequest(body: unknown): readonly MachineId[] {
  return (r.optionalStrings(r.asObject(body, 'body'), 'rigs') ?? []) as readonly MachineId[];
}

// --- state service -----------------------------------------------------------------------------

export function formatKeyValue(i: KeyValue): Record<string, unknown> {
  return { key: i.key, value: i.value, stamp: i.version };
}

export function formatKeyValuePage(
  items: readonly KeyValue[],
  isPartial: boolean,
  revision: Revision,
): Record<string, unknown> {
  return { pairs: items.map(formatKeyValue), more: isPartial, ledger: revision };
}

export function formatRevision(revision: Revision): Record<string, unknown> {
  return { ledger: revision };
}

export function formatConflict(failed: readonly string[], revision: Revision): Record<string, unknown> {
  return { failed, ledger: revision };
}

export function formatLeaseId(lease: LeaseId): Record<string, unknown> {
  return { permit: lease };
}

export function formatWatchResponse(
  revision: Revision,
  events: readonly WatchEvent[],
): Record<string, unknown> {
  return {
    ledger: revision,
    log: events.map((e) =>
      'put' in e ? { set: e.put, value: e.value, stamp: e.version } : { remove: e.delete, stamp: e.version },
    ),
  };
}

function parseChange(value: unknown): Mutation {
  const o = r.asObject(value, 'apply');
  if (typeof o['remove'] === 'string') return { delete: o['remove'] };
  const lease = r.optionalCount(o, 'permit');
  return {
    put: r.name(o, 'set'),
    value: o['value'],
    ...(lease === null ? {} : { lease: lease as LeaseId }),
  };
}

export interface Transaction {
  readonly compares: readonly Compare[];
  readonly mutations: readonly Mutation[];
}

export function parseTransaction(body: unknown): Transaction {
  const o = r.asObject(body, 'body');
  const conditions = o['when'] === undefined ? [] : r.asArray(o['when'], 'when');
  const changes = o['apply'] === undefined ? [] : r.asArray(o['apply'], 'apply');
  return {
    compares: conditions.map((v) => {
      const c = r.asObject(v, 'when');
      return { key: r.name(c, 'key'), version: r.count(c, 'stamp') as Version };
    }),
    mutations: changes.map(parseChange),
  };
}

export function parseLeaseTtlMs(body: unknown): number {
  return r.count(r.asObject(body, 'body'), 'ttlMs', 1);
}
