import type { LeaseId, Revision, Version } from './ids.js';
import * as r from './read.js';

export interface KeyValue {
  readonly key: string;
  readonly value: unknown;
  readonly version: Version;
}

export interface Compare {
  readonly key: string;
  readonly version: Version;
}

export type Mutation =
  { readonly put: string; readonly value: unknown; readonly lease?: LeaseId } | { readonly delete: string };

export type WatchEvent =
  | { readonly put: string; readonly value: unknown; readonly version: Version }
  | { readonly delete: string; readonly version: Version };

function parseListedKeyValue(value: unknown): KeyValue {
  const o = r.asObject(value, 'pairs');
  return { key: r.string(o, 'key'), value: o['value'], version: r.count(o, 'stamp') as Version };
}

export function parseKeyValue(body: unknown): KeyValue {
  return parseListedKeyValue(body);
}

export function parseKeyValuePage(body: unknown): {
  items: readonly KeyValue[];
  more: boolean;
  revision: Revision;
} {
  const o = r.asObject(body, 'body');
  return {
    items: r.asArray(o['pairs'], 'pairs').map(parseListedKeyValue),
    more: r.booleanOrFalse(o, 'more'),
    revision: r.count(o, 'ledger') as Revision,
  };
}

export function formatTransaction(
  conditions: readonly Compare[],
  changes: readonly Mutation[],
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

export function parseFailedKeys(body: unknown): readonly string[] {
  return r.optionalStrings(r.asObject(body, 'body'), 'failed') ?? [];
}

export function parseLeaseId(body: unknown): LeaseId {
  return r.count(r.asObject(body, 'body'), 'permit') as LeaseId;
}

export function parseWatchResponse(body: unknown): { revision: Revision; events: readonly WatchEvent[] } {
  const o = r.asObject(body, 'body');
  const events = o['log'] === undefined || o['log'] === null ? [] : r.asArray(o['log'], 'log');
  return {
    revision: r.count(o, 'ledger') as Revision,
    events: events.map((v) => {
      const e = r.asObject(v, 'log');
      const version = r.count(e, 'stamp') as Version;
      return typeof e['remove'] === 'string'
        ? { delete: e['remove'], version }
        : { put: r.string(e, 'set'), value: e['value'], version };
    }),
  };
}
