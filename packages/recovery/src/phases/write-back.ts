import type { Clock, RequestPriority } from '@spurbridge/net';
import type { CommitOutcome, KeyValueStore } from '@spurbridge/store';
import { isControlKey } from '../epoch/epoch-record.js';
import { writeBackPriority } from './contribution-codec.js';
import type { EpochStore } from '../epoch-store/epoch-store.js';

const WRITE_BACK_MS = 250;
/** Least urgent of all: work that waits for a record gets it written by its own commit. */
const URGENCY: RequestPriority = 3;

export interface WriteBackParts {
  readonly store: Pick<KeyValueStore, 'commit' | 'read'>;
  readonly clock: Clock;
  readonly log: { info(fields: object, message: string): void };
  /** Changes in one commit. */
  readonly most: number;
  /** The epoch that is trusted now. */
  readonly view: () => EpochStore | null;
}

/** Markers and pages first: a tombstone that went before its page would bring the record back. */
function order(key: string): number {
  return key.endsWith('/done') ? 0 : isControlKey(key) ? 1 : 2;
}

/** Writes stand-ins back as records of their own, for as long as `goesOn`; then the pages go. */
export async function writeBack(p: WriteBackParts, goesOn: () => boolean): Promise<void> {
  const began = p.clock.now();
  let written = 0;
  while (goesOn()) {
    await p.clock.sleep(WRITE_BACK_MS);
    const view = p.view();
    if (view === null || !goesOn()) continue;
    const batch = view.overlay.first(p.most, writeBackPriority);
    if (batch.length > 0) {
      const outcome = await p.store.commit(
        batch.map((i) => ({ key: i.key, version: i.version })),
        batch.map((i) => ({ put: i.key, value: i.value })),
        URGENCY,
      );
      if (outcome.outcome === 'committed') written += batch.length;
      await readAgain(p, outcome);
      if (outcome.outcome === 'committed' && view.overlay.size === 0)
        p.log.info(
          { epoch: view.epoch.number, records: written, ms: Math.round(p.clock.now() - began) },
          'all written back',
        );
    } else if (view.leftovers.length > 0) await clean(p, view);
  }
}

/** Written meanwhile, or filled up again with an old record: reading tells which. */
async function readAgain(p: WriteBackParts, outcome: CommitOutcome): Promise<void> {
  if (outcome.outcome !== 'conflict') return;
  for (const key of outcome.failed) await p.store.read(key, URGENCY);
}

async function clean(p: WriteBackParts, view: EpochStore): Promise<void> {
  const now = [...view.leftovers].sort((a, b) => order(a) - order(b)).slice(0, p.most);
  const outcome = await p.store.commit(
    [],
    now.map((key) => ({ delete: key })),
    URGENCY,
  );
  if (outcome.outcome === 'committed') view.leftovers = view.leftovers.filter((k) => !now.includes(k));
}
