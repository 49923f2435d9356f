/**
 * Helpers for mutations and watch events.
 *
 * @module
 */
import type { Mutation, WatchEvent } from '@spurbridge/wire';
import { isTombstone } from '../epoch/tombstone.js';

/** Returns the key of a mutation or of a watch event. */
export function mutatedKey(mutation: Mutation | WatchEvent): string {
  return 'put' in mutation ? mutation.put : mutation.delete;
}

/** Returns an event as readers see it: a tombstone is a deletion. */
export function withoutTombstone(event: WatchEvent): WatchEvent {
  return 'put' in event && isTombstone(event.value) ? { delete: event.put, version: event.version } : event;
}
