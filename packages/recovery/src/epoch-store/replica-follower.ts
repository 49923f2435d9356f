/**
 * Keeping the replica up to date by a watch on all keys.
 *
 * @module
 */
import type { Clock, MonotonicMs } from '@spurbridge/net';
import type { KeyValueStore, ListOutcome } from '@spurbridge/store';
import type { Revision, WatchEvent } from '@spurbridge/wire';
import { EPOCH_KEY } from '../epoch/control-keys.js';
import type { Epoch } from '../epoch/epoch-record.js';
import { decodeEpoch } from '../epoch/epoch-record.js';
import type { Replica } from '../replica/replica.js';
import { CONTROL_PRIORITY } from '../request-priorities.js';
import type { EpochTrust, ResponseValidator } from './response-validator.js';
import { withoutTombstone } from './watch-events.js';

/** Pause between two watches. It lets events accumulate, because a watch per event would use too many requests. */
const WATCH_PAUSE_MS = 300;
/** Time for which the store blocks a watch while nothing changes. */
const WATCH_TIMEOUT_MS = 2000;
const RETRY_MS = 150;

/** The dependencies of a `ReplicaFollower`. */
export interface ReplicaFollowerDependencies {
  readonly underlyingStore: KeyValueStore;
  readonly clock: Clock;
  readonly epoch: Epoch;
  readonly replica: Replica;
  readonly validator: ResponseValidator;
  readonly trust: EpochTrust;
  /** Reads all records, with pending repairs in place of the values that they replace. */
  readonly listAll: () => Promise<ListOutcome>;
  /** Called for each event before the replica applies it. */
  readonly onEvent: (event: WatchEvent) => void;
  /** Called after the replica has changed. */
  readonly onReplicaChanged: () => void;
}

/** Keeps the replica up to date while its epoch is trusted. */
export class ReplicaFollower {
  /** Everything that was durable at this time is in the replica; null until the first watch has returned. */
  private upToDateAt: MonotonicMs | null = null;

  constructor(private readonly dependencies: ReplicaFollowerDependencies) {}

  /** Age of the replica in milliseconds, counted from when the latest request that brought it up to date was sent. */
  get ageMs(): number {
    return this.upToDateAt === null ? Infinity : this.dependencies.clock.now() - this.upToDateAt;
  }

  /** Waits for changes once, and applies them. */
  async follow(): Promise<void> {
    const { underlyingStore, clock, replica, validator, trust, onReplicaChanged } = this.dependencies;
    const sentAt = clock.now();
    const watched = await validator.send(() => underlyingStore.watch('', replica.revision, WATCH_TIMEOUT_MS));
    if (!trust.isCurrent()) return;
    if (watched.outcome === 'compacted') return this.reread();
    if (watched.outcome !== 'events') return clock.sleep(RETRY_MS);
    if (watched.events.some((event) => this.replacesEpoch(event))) await this.checkEpochRecord();
    this.apply(watched.events, watched.revision);
    this.upToDateAt = sentAt;
    if (watched.events.length > 0) onReplicaChanged();
    if (watched.events.length > 0) await clock.sleep(WATCH_PAUSE_MS);
  }

  /**
   * Reads everything after the store has discarded the events since the last watch, and compares it with what was
   * known.
   */
  private async reread(): Promise<void> {
    const { clock, replica, validator, trust, onReplicaChanged } = this.dependencies;
    const listed = await this.dependencies.listAll();
    if (listed.outcome !== 'listed' || !trust.isCurrent()) return clock.sleep(RETRY_MS);
    const fenceVersion = validator.fence.version;
    replica.replaceAll(
      // Virtual versions of pending repairs are negative; a repair is as old as the fence. A key that was written since
      // is listed with its own version.
      listed.items.map((item) => (item.version < 0 ? { ...item, version: fenceVersion } : item)),
      listed.revision,
    );
    onReplicaChanged();
  }

  private replacesEpoch(event: WatchEvent): boolean {
    const fenceVersion = this.dependencies.validator.fence.version;
    return 'put' in event && event.put === EPOCH_KEY && event.version > fenceVersion;
  }

  private async checkEpochRecord(): Promise<void> {
    const { underlyingStore, epoch, trust } = this.dependencies;
    const found = await underlyingStore.read(EPOCH_KEY, CONTROL_PRIORITY);
    const id = found.outcome === 'found' ? decodeEpoch(found.item.value)?.id : null;
    if ((found.outcome === 'found' && id !== epoch.id) || found.outcome === 'absent')
      trust.suspect('the epoch record was replaced or removed');
  }

  private apply(events: readonly WatchEvent[], revision: Revision): void {
    const visibleEvents = events.map(withoutTombstone);
    for (const event of visibleEvents) this.dependencies.onEvent(event);
    this.dependencies.replica.applyWatchEvents(visibleEvents, revision);
  }
}
