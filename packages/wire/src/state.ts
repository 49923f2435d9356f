import type { LeaseId, Revision, Version } from './ids.js';
import * as r from './read.js';

export interface Item {
  readonly key: string;
  readonly value: unknown;
  readonly version: Version;
}

export interface Condition {
  readonly key: string;
  readonly version: Version;
}

export type Change =
  { readonly put: string; readonly value: unknown; readonly lease?: LeaseId } | { readonly delete: string };

export type WatchEvent =
  | { readonly put: string; readonly value: unknown; readonly version: Version }
  | { readonly delete: string; readonly version: Version };

function parseItem(value: unknown): Item {
  const o = r.asObject(value, 'pairs');
  return { key: r.str(o, 'key'), value: o['value'], version: r.count(o, 'stamp') as Version };
}

export function parseItemAnswer(body: unknown): Item {
  return parseItem(body);
}

export function parseItems(body: unknown): { items: readonly Item[]; more: boolean; revision: Revision } {
  const o = r.asObject(body, 'body');
  return {
    items: r.asArray(o['pairs'], 'pairs').map(parseItem),
    more: r.optBool(o, 'more'),
    revision: r.count(o, 'ledger') as Revision,
  };
}

export function formatCommit(
  conditions: readonly Condition[],
  changes: readonly Change[],
): Record<string, unknown> {
  const when = conditions.map((c) => ({ key: c.key, stamp: c.version }));
  // Without changes a transaction only compares.
  if (changes.length === 0) return { when };
  return {
    when,
    apply: changes.map((c) =>
      'put' in c
        ? { set: c.put, value: c.value, ...(c.lease === undefined ? {} : { permit: c.lease }) }
        : { remove: c.delete },
    ),
  };
}

export function parseRevision(body: unknown): Revision {
  return r.count(r.asObject(body, 'body'), 'ledger') as Revision;
}

export function parseFailed(body: unknown): readonly string[] {
  return r.optNames(r.asObject(body, 'body'), 'failed') ?? [];
}

export function parseLease(body: unknown): LeaseId {
  return r.count(r.asObject(body, 'body'), 'permit') as LeaseId;
}

export function parseEvents(body: unknown): { revision: Revision; events: readonly WatchEvent[] } {
  const o = r.asObject(body, 'body');
  const events = o['log'] === undefined || o['log'] === null ? [] : r.asArray(o['log'], 'log');
  return {
    revision: r.count(o, 'ledger') as Revision,
    events: events.map((v) => {
      const e = r.asObject(v, 'log');
      const version = r.count(e, 'stamp') as Version;
      return typeof e['remove'] === 'string'
        ? { delete: e['remove'], version }
        : { put: r.str(e, 'set'), value: e['value'], version };
    }),
  };
}
