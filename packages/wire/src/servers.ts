/** The protocols of workers, cloud and state service as their own side sees them: for stand-ins and real agents. */
import type { Attempt, LeaseId, MachineId, Revision, Session, Token, Version } from './ids.js';
import type { ListedMachine, MachineType, RentalRequest } from './cloud.js';
import type { Change, Condition, Item, WatchEvent } from './state.js';
import type { WorkerCommand } from './workers.js';
import { parseTaskName } from './workers.js';
import * as r from './read.js';

// --- workers -----------------------------------------------------------------------------------

function parseCommand(value: unknown): WorkerCommand {
  const o = r.asObject(value, 'orders');
  const { job, task } = parseTaskName(r.str(o, 'piece'));
  const attempt = r.count(o, 'try') as Attempt;
  switch (r.oneOf(o, 'verb', ['start', 'halt', 'forget'])) {
    case 'start':
      return { op: 'start', job, task, attempt };
    case 'halt':
      return { op: 'stop', job, task, attempt, graceS: r.optAmount(o, 'windDownS') ?? 0 };
    case 'forget':
      return { op: 'forget', job, task, attempt };
  }
}

function parseOrders(o: r.Fields): readonly WorkerCommand[] {
  return o['orders'] === undefined ? [] : r.asArray(o['orders'], 'orders').map(parseCommand);
}

export interface ReportAnswerBody {
  readonly token: Token;
  readonly commands: readonly WorkerCommand[];
}

/** A controller's answer of 200 to a report; without a token it counts as one with token 0. */
export function parseReportAnswer(body: unknown): ReportAnswerBody {
  const o = r.asObject(body, 'body');
  return { token: (r.optCount(o, 'baton') ?? 0) as Token, commands: parseOrders(o) };
}

/** The node that a controller's answer of 421 names; null: none. */
export function parseRedirect(body: unknown): string | null {
  return r.optStr(r.asObject(body, 'body'), 'foreman');
}

export interface DirectCommands extends ReportAnswerBody {
  readonly session: Session;
}

/** Commands sent straight to a worker; throws where token or session is missing. */
export function parseDirectCommands(body: unknown): DirectCommands {
  const o = r.asObject(body, 'body');
  return {
    token: r.count(o, 'baton') as Token,
    session: r.count(o, 'shift') as Session,
    commands: parseOrders(o),
  };
}

// --- cloud -------------------------------------------------------------------------------------

export function formatTypes(types: readonly MachineType[]): Record<string, unknown> {
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
    type: r.str(o, 'build'),
    zone: r.str(o, 'yard'),
    spot: r.optBool(o, 'loaners'),
    count: r.count(o, 'count', 1),
  };
}

/** Names of machines, as an answer to a rental and as a request for release hold them. */
export function formatMachineNames(machines: readonly MachineId[]): Record<string, unknown> {
  return { rigs: machines };
}

export function parseMachineNames(body: unknown): readonly MachineId[] {
  return (r.optNames(r.asObject(body, 'body'), 'rigs') ?? []) as readonly MachineId[];
}

// --- state service -----------------------------------------------------------------------------

export function formatItem(i: Item): Record<string, unknown> {
  return { key: i.key, value: i.value, stamp: i.version };
}

export function formatItems(
  items: readonly Item[],
  isPartial: boolean,
  revision: Revision,
): Record<string, unknown> {
  return { pairs: items.map(formatItem), more: isPartial, ledger: revision };
}

export function formatRevision(revision: Revision): Record<string, unknown> {
  return { ledger: revision };
}

export function formatFailed(failed: readonly string[], revision: Revision): Record<string, unknown> {
  return { failed, ledger: revision };
}

export function formatLease(lease: LeaseId): Record<string, unknown> {
  return { permit: lease };
}

export function formatEvents(revision: Revision, events: readonly WatchEvent[]): Record<string, unknown> {
  return {
    ledger: revision,
    log: events.map((e) =>
      'put' in e ? { set: e.put, value: e.value, stamp: e.version } : { remove: e.delete, stamp: e.version },
    ),
  };
}

function parseChange(value: unknown): Change {
  const o = r.asObject(value, 'apply');
  if (typeof o['remove'] === 'string') return { delete: o['remove'] };
  const lease = r.optCount(o, 'permit');
  return {
    put: r.name(o, 'set'),
    value: o['value'],
    ...(lease === null ? {} : { lease: lease as LeaseId }),
  };
}

export interface CommitBody {
  readonly conditions: readonly Condition[];
  readonly changes: readonly Change[];
}

export function parseCommit(body: unknown): CommitBody {
  const o = r.asObject(body, 'body');
  const conditions = o['when'] === undefined ? [] : r.asArray(o['when'], 'when');
  const changes = o['apply'] === undefined ? [] : r.asArray(o['apply'], 'apply');
  return {
    conditions: conditions.map((v) => {
      const c = r.asObject(v, 'when');
      return { key: r.name(c, 'key'), version: r.count(c, 'stamp') as Version };
    }),
    changes: changes.map(parseChange),
  };
}

export function parseTtlMs(body: unknown): number {
  return r.count(r.asObject(body, 'body'), 'ttlMs', 1);
}
