/**
 * Second phase of a recovery: each controller writes the records of its replica that the store lacks, and then its
 * marker.
 *
 * @module
 */
import { addMs } from '@spurbridge/net';
import type { Compare, KeyValue, Revision } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';
import { fenceKey, isControlKey } from '../epoch/control-keys.js';
import type { Epoch } from '../epoch/epoch-record.js';
import { isTombstone } from '../epoch/tombstone.js';
import type { EpochReplica, RecordRepair } from '../replica/merge.js';
import { mergeReplicas } from '../replica/merge.js';
import { Replica } from '../replica/replica.js';
import { CONTROL_PRIORITY } from '../request-priorities.js';
import { commitWithRetry } from './commit-with-retry.js';
import { decodeContributions, mergeContributions, toReplicas } from './contributed-replicas.js';
import type { ContributionMarker, EncodedPages } from './contribution-codec.js';
import { encodeMarker, encodePage, encodePages, markerKey, pageKey } from './contribution-codec.js';
import type { LocalRecoveryState, StoreRecoveryDependencies } from './recovery-dependencies.js';
import { POLL_INTERVAL_MS } from './recovery-dependencies.js';

/** Time for which other controllers wait for the initiator's contribution, to avoid writing the same records. */
const INITIATOR_TIMEOUT_MS = 2500;
const PAGES_PER_COMMIT = 3;

/** The content of the store when a controller begins to contribute. */
interface StoreContent {
  /** The store's own records, without contributions. */
  readonly stored: Replica;
  /** The store's records with the contributions to this epoch in place of those that they replace. */
  readonly merged: EpochReplica;
  /** Keys that a contribution to this epoch has an entry for. */
  readonly contributedKeys: ReadonlySet<string>;
  /** Contributions to epochs that never opened. */
  readonly earlierContributions: readonly EpochReplica[];
}

/** Waits until the initiator of an epoch has written its marker, for at most `INITIATOR_TIMEOUT_MS`. */
export async function awaitInitiator(dependencies: StoreRecoveryDependencies, epoch: Epoch): Promise<void> {
  const { underlyingStore, clock } = dependencies;
  const deadline = addMs(clock.now(), INITIATOR_TIMEOUT_MS);
  while (clock.now() < deadline) {
    const found = await underlyingStore.read(markerKey(epoch.id, epoch.initiator), CONTROL_PRIORITY);
    if (found.outcome === 'found') return;
    await clock.sleep(POLL_INTERVAL_MS);
  }
}

/**
 * Writes the records that this controller has and the store lacks, then its marker. Returns false if it has to be
 * retried.
 */
export async function contribute(dependencies: StoreRecoveryDependencies, epoch: Epoch): Promise<boolean> {
  const { underlyingStore, node, valueKb, log } = dependencies;
  const listed = await underlyingStore.list('', CONTROL_PRIORITY);
  if (listed.outcome !== 'listed') return false;
  const localState = dependencies.localState();
  const content = analyseStore(dependencies, epoch, listed.items);
  const repairs = findRepairs(content, localState, epoch, listed);
  const encoded = encodePages(repairs, valueKb);
  const { pages } = encoded;
  const fence = listed.items.find((item) => item.key === fenceKey(epoch.id));
  if (fence === undefined) return false;
  const compares: readonly Compare[] = [{ key: fence.key, version: fence.version }];
  for (let first = 0; first < pages.length; first += PAGES_PER_COMMIT) {
    const mutations = pages.slice(first, first + PAGES_PER_COMMIT).map((text, offset) => ({
      put: pageKey(epoch.id, node, first + offset),
      value: encodePage(text),
    }));
    if (!(await commitWithRetry(dependencies, compares, mutations))) return false;
  }
  const marker = { put: markerKey(epoch.id, node), value: encodeMarker(createMarker(encoded, localState)) };
  if (!(await commitWithRetry(dependencies, compares, [marker]))) return false;
  log.info(
    { epoch: epoch.number, records: repairs.length, pages: pages.length },
    'replica contribution written',
  );
  return true;
}

function analyseStore(
  { log }: StoreRecoveryDependencies,
  epoch: Epoch,
  items: readonly KeyValue[],
): StoreContent {
  const stored = new Replica();
  stored.replaceAll(
    items.filter((item) => !isTombstone(item.value)),
    0 as Revision,
  );
  const contributions = decodeContributions(items, log);
  const contributed = mergeContributions(contributions.filter(({ epochId }) => epochId === epoch.id));
  // A record that was deleted while its page still existed must not be restored from the page.
  const deletedKeys = new Set(items.filter((item) => isTombstone(item.value)).map((item) => item.key));
  const earlierContributions = contributions
    .filter(({ epochId }) => epochId !== epoch.id)
    .flatMap(({ repairs }) => toReplicas(repairs.filter((repair) => !deletedKeys.has(repair.key))));
  const merged: EpochReplica = {
    epoch: epoch.baseEpoch,
    get: (key) => contributed.get(key) ?? stored.get(key),
    keys: () => stored.keys(),
  };
  return { stored, merged, contributedKeys: new Set(contributed.keys()), earlierContributions };
}

function findRepairs(
  { stored, merged, contributedKeys, earlierContributions }: StoreContent,
  localState: LocalRecoveryState,
  epoch: Epoch,
  listed: { readonly items: readonly KeyValue[]; readonly latest: Revision },
): RecordRepair[] {
  const missing = mergeReplicas(merged, [...localState.replicas, ...earlierContributions]);
  const missingKeys = new Set(missing.map((repair) => repair.key));
  // The store would issue versions above its revision a second time, so records with such versions are rewritten
  // unchanged.
  const beyondRevision = listed.items
    .filter(({ key, version }) => version > listed.latest && !isControlKey(key) && !contributedKeys.has(key))
    .filter(({ key }) => !missingKeys.has(key))
    .map(({ key, version, value }) => ({
      key,
      epoch: epoch.baseEpoch,
      version,
      text: JSON.stringify(value),
    }));
  return [...missing, ...beyondRevision].map((repair) => ({
    ...repair,
    // A repair replaces the store's own record, even if another contribution has already replaced it.
    replacedVersion: stored.get(repair.key)?.version ?? KEY_ABSENT,
  }));
}

function createMarker({ pages, digest }: EncodedPages, localState: LocalRecoveryState): ContributionMarker {
  return {
    pageCount: pages.length,
    digest,
    lastLedToken: localState.lastLedToken,
    highestSeenToken: localState.highestSeenToken,
    continuous: localState.continuous,
    highestLeaseId: localState.highestLeaseId,
  };
}
