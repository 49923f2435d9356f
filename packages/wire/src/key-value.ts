/**
 * Messages of the key-value store: Protocol, Controller nodes -> state service. The `format` functions of responses and
 * the `parse` functions of requests are for the simulated store.
 *
 * @module
 */
import type { LeaseId, Revision, Version } from './ids.js';
import * as read from './json-fields.js';

// --- reading -------------------------------------------------------------------------------------

/** A key with its value (Protocol, Controller nodes -> state service, GET /keys/{key}). */
export interface KeyValue {
  readonly key: string;
  /** Any JSON value. */
  readonly value: unknown;
  /** Revision of the key's last change. */
  readonly version: Version;
}

/** Some of the keys with a prefix, in order (Protocol, Controller nodes -> state service, GET /keys). */
export interface KeyValuePage {
  readonly items: readonly KeyValue[];
  /** Whether further keys follow. */
  readonly hasMore: boolean;
  /** Revision of the store when the page was read. */
  readonly revision: Revision;
}

/** Reads the response of 200 to GET /keys/{key}; throws a `ValidationError`. */
export function parseKeyValue(body: unknown): KeyValue {
  const fields = read.asObject(body, 'pairs');
  return {
    key: read.string(fields, 'key'),
    value: fields['value'],
    version: read.count(fields, 'stamp') as Version,
  };
}

/** The body of a response of 200 to GET /keys/{key}. */
export function formatKeyValue(entry: KeyValue): Record<string, unknown> {
  return { key: entry.key, value: entry.value, stamp: entry.version };
}

/** Reads the response to GET /keys; throws a `ValidationError`. */
export function parseKeyValuePage(body: unknown): KeyValuePage {
  const fields = read.asObject(body, 'body');
  return {
    items: read.asArray(fields['pairs'], 'pairs').map(parseKeyValue),
    hasMore: read.booleanOrFalse(fields, 'more'),
    revision: read.count(fields, 'ledger') as Revision,
  };
}

/** The body of a response to GET /keys. */
export function formatKeyValuePage(
  items: readonly KeyValue[],
  hasMore: boolean,
  revision: Revision,
): Record<string, unknown> {
  return { pairs: items.map(formatKeyValue), more: hasMore, ledger: revision };
}

/** Reads the store's revision in any response that states it; throws a `ValidationError`. */
export function parseRevision(body: unknown): Revision {
  return read.count(read.asObject(body, 'body'), 'ledger') as Revision;
}

/** The body of a response that states only the store's revision. */
export function formatRevision(revision: Revision): Record<string, unknown> {
  return { ledger: revision };
}

// --- transactions --------------------------------------------------------------------------------

/** A condition of a transaction: the key has this version, or does not exist if that is `KEY_ABSENT`. */
export interface Compare {
  readonly key: string;
  readonly version: Version;
}

/**
 * A change by a transaction. A key written with a lease is removed when the lease ends; writing it without one detaches
 * it from its lease.
 */
export type Mutation =
  { readonly put: string; readonly value: unknown; readonly lease?: LeaseId } | { readonly delete: string };

/** An atomic transaction (Protocol, Controller nodes -> state service, POST /commit). */
export interface Transaction {
  readonly compares: readonly Compare[];
  readonly mutations: readonly Mutation[];
}

function parseCompare(value: unknown): Compare {
  const fields = read.asObject(value, 'when');
  return { key: read.name(fields, 'key'), version: read.count(fields, 'stamp') as Version };
}

function formatCompare(compare: Compare): Record<string, unknown> {
  return { key: compare.key, stamp: compare.version };
}

function parseMutation(value: unknown): Mutation {
  const fields = read.asObject(value, 'apply');
  if (typeof fields['remove'] === 'string') return { delete: fields['remove'] };
  const lease = read.optionalCount(fields, 'permit');
  return {
    put: read.name(fields, 'set'),
    value: fields['value'],
    ...(lease === null ? {} : { lease: lease as LeaseId }),
  };
}

function formatMutation(mutation: Mutation): Record<string, unknown> {
  if (!('put' in mutation)) return { remove: mutation.delete };
  const { put, value, lease } = mutation;
  return { set: put, value, ...(lease === undefined ? {} : { permit: lease }) };
}

/** Reads the body of POST /commit; throws a `ValidationError`. */
export function parseTransaction(body: unknown): Transaction {
  const fields = read.asObject(body, 'body');
  const compares = fields['when'] === undefined ? [] : read.asArray(fields['when'], 'when');
  const mutations = fields['apply'] === undefined ? [] : read.asArray(fields['apply'], 'apply');
  return { compares: compares.map(parseCompare), mutations: mutations.map(parseMutation) };
}

/** The body of POST /commit; without mutations the transaction only compares. */
export function formatTransaction(
  compares: readonly Compare[],
  mutations: readonly Mutation[],
): Record<string, unknown> {
  const when = compares.map(formatCompare);
  return mutations.length === 0 ? { when } : { when, apply: mutations.map(formatMutation) };
}

/** Reads the keys whose versions differed, from a response of 409 to POST /commit; throws a `ValidationError`. */
export function parseFailedKeys(body: unknown): readonly string[] {
  return read.optionalStrings(read.asObject(body, 'body'), 'failed') ?? [];
}

/** The body of a response of 409 to POST /commit. */
export function formatConflict(failed: readonly string[], revision: Revision): Record<string, unknown> {
  return { failed, ledger: revision };
}

// --- leases --------------------------------------------------------------------------------------

/** Reads the body of POST /leases (Protocol, Controller nodes -> state service): the lease's duration in milliseconds. */
export function parseLeaseTtlMs(body: unknown): number {
  return read.count(read.asObject(body, 'body'), 'ttlMs', 1);
}

/** The body of POST /leases. */
export function formatLeaseTtlMs(ttlMs: number): Record<string, unknown> {
  return { ttlMs };
}

/** Reads the response of 200 to POST /leases; throws a `ValidationError`. */
export function parseLeaseId(body: unknown): LeaseId {
  return read.count(read.asObject(body, 'body'), 'permit') as LeaseId;
}

/** The body of a response of 200 to POST /leases. */
export function formatLeaseId(lease: LeaseId): Record<string, unknown> {
  return { permit: lease };
}

// --- watches -------------------------------------------------------------------------------------

/** One change that a watch reports. */
export type WatchEvent =
  | { readonly put: string; readonly value: unknown; readonly version: Version }
  | { readonly delete: string; readonly version: Version };

/** All changes of a prefix after the requested revision (Protocol, Controller nodes -> state service, GET /follow). */
export interface WatchResponse {
  /** Revision up to which the response is complete. */
  readonly revision: Revision;
  readonly events: readonly WatchEvent[];
}

function parseWatchEvent(value: unknown): WatchEvent {
  const fields = read.asObject(value, 'log');
  const version = read.count(fields, 'stamp') as Version;
  return typeof fields['remove'] === 'string'
    ? { delete: fields['remove'], version }
    : { put: read.string(fields, 'set'), value: fields['value'], version };
}

function formatWatchEvent(event: WatchEvent): Record<string, unknown> {
  return 'put' in event
    ? { set: event.put, value: event.value, stamp: event.version }
    : { remove: event.delete, stamp: event.version };
}

/** Reads the response of 200 to GET /follow; throws a `ValidationError`. */
export function parseWatchResponse(body: unknown): WatchResponse {
  const fields = read.asObject(body, 'body');
  const log = fields['log'];
  const events = log === undefined || log === null ? [] : read.asArray(log, 'log');
  return { revision: read.count(fields, 'ledger') as Revision, events: events.map(parseWatchEvent) };
}

/** The body of a response of 200 to GET /follow. */
export function formatWatchResponse(
  revision: Revision,
  events: readonly WatchEvent[],
): Record<string, unknown> {
  return { ledger: revision, log: events.map(formatWatchEvent) };
}
