import type { SnapshotDirectory } from '@spurbridge/snapshot';
import type { MachineId } from '@spurbridge/wire';
import { FAULTS_END_MS } from './generated-days.js';
import type { StoreCheckpoint } from './key-value-store.js';
import { SimKeyValueStore } from './key-value-store.js';
import type { World } from './world.js';
import { CLOUD_HOST, STORE_HOST } from './hosts.js';

/** What a state service can lose. */
export const DATA_LOSSES = [
  'rolled back 20 s',
  'rolled back 2 s',
  'emptied',
  'tasks gone',
  'some jobs gone',
  'unreadable',
  'count set back',
  'fills up again',
] as const;
export type DataLoss = (typeof DATA_LOSSES)[number];

/** What else happens around it. */
export const ACCOMPANYING_FAULTS = [
  'nothing',
  'leader crashes',
  'takeover in the middle',
  'twice',
  'during the rebuild',
  'a zone cut off',
] as const;
export type AccompanyingFault = (typeof ACCOMPANYING_FAULTS)[number];

const FAR_MS = 20_000;
const NEAR_MS = 2000;
const ONE_IN = 3;
const LOOK_MS = 200;

/** Has the state service lose data at a time, and again for some companions. */
export function injectDataLoss(w: World, loss: DataLoss, atMs: number): void {
  const { store: state } = w;
  let point: StoreCheckpoint | null = null;
  const backMs = loss === 'rolled back 2 s' ? NEAR_MS : FAR_MS;
  if (loss.startsWith('rolled back') || loss === 'fills up again')
    w.time.after(atMs - w.time.now - backMs, () => {
      point = state.checkpoint();
    });
  w.time.after(atMs - w.time.now, () => {
    switch (loss) {
      case 'emptied':
        return state.clear();
      case 'tasks gone':
        return void state.dropKeys((key) => key.startsWith('t/'));
      case 'some jobs gone':
        return void state.dropKeys((key) => key.startsWith('j/') && w.random(ONE_IN) === 0);
      case 'unreadable':
        return void state.corruptValues(() => w.random(ONE_IN) === 0);
      case 'count set back':
        return state.rollBackRevision(ONE_IN);
      default:
        if (point === null) return;
        if (loss === 'fills up again') state.restoreGradually(point, ONE_IN, 200);
        else state.restore(point);
    }
  });
}

/** Index of the node that holds the lease surely; -1: none does. */
export function leaderIndex(w: World): number {
  return w.nodes.findIndex((n) => n.clock.alive && n.controller.leadership.holdsValidLease());
}

/** The same, or the first node where none leads. */
export function leaderOrFirst(w: World): number {
  return Math.max(0, leaderIndex(w));
}

export function injectAccompanyingFault(
  w: World,
  companion: AccompanyingFault,
  loss: DataLoss,
  atMs: number,
): void {
  const at = (ms: number, run: () => void): void => {
    w.time.after(ms - w.time.now, run);
  };
  switch (companion) {
    case 'nothing':
      return;
    case 'leader crashes':
      return at(atMs + 1, () => {
        w.crash(leaderOrFirst(w));
      });
    case 'takeover in the middle':
      at(atMs - 500, () => {
        w.crash(leaderOrFirst(w));
      });
      return;
    case 'twice':
      return injectDataLoss(w, loss, atMs + 9000);
    case 'during the rebuild':
      return at(atMs + 350, () => {
        w.store.clear();
      });
    case 'a zone cut off':
      return partitionZone(w, 'b', atMs - 4000, FAULTS_END_MS);
  }
}

/** Cuts a zone's machines, also those that come up meanwhile, and its node off from everything else. */
export function partitionZone(w: World, zone: string, fromMs: number, untilMs: number): void {
  const inZone = (): string[] => [
    ...[...w.workers.values()].filter((x) => x.zone === zone).map((x) => x.id as string),
    ...w.nodes.filter((n) => n.zone === zone).map((n) => n.name as string),
  ];
  const pairs = new Map<string, readonly [string, string]>();
  const cut = (): void => {
    const inside = new Set(inZone());
    const all = [STORE_HOST, CLOUD_HOST, ...w.workers.keys(), ...w.nodes.map((n) => n.name)].map(String);
    for (const a of inside)
      for (const b of all) {
        if (inside.has(b) || pairs.has(`${a} ${b}`)) continue;
        pairs.set(`${a} ${b}`, [a, b]);
        w.network.partition(a, b, 'hold');
      }
    if (w.time.now + LOOK_MS < untilMs) w.time.after(LOOK_MS, cut);
  };
  w.time.after(fromMs - w.time.now, cut);
  w.time.after(untilMs - w.time.now, () => {
    for (const [a, b] of pairs.values()) w.network.heal(a, b);
  });
}

/** From now on a node reads a store of its own, as it was at the point. */
export function forkStore(w: World, index: number, point: StoreCheckpoint): SimKeyValueStore {
  const other = new SimKeyValueStore(w.time, { rps: 1000, writeRps: 1000, valueKb: 16, txnOps: 12 });
  other.restore(point);
  const node = w.nodes[index];
  if (node !== undefined) node.store.backend = other;
  return other;
}

/** A directory that outlives the nodes. */
export class InMemorySnapshotDirectory implements SnapshotDirectory {
  private readonly files = new Map<string, Buffer>();

  listNames(): Promise<readonly string[]> {
    return Promise.resolve([...this.files.keys()].sort());
  }

  read(name: string): Promise<Buffer> {
    const bytes = this.files.get(name);
    return bytes === undefined ? Promise.reject(new Error(`${name} is not there`)) : Promise.resolve(bytes);
  }

  write(name: string, bytes: Buffer): Promise<void> {
    this.files.set(name, bytes);
    return Promise.resolve();
  }

  remove(name: string): Promise<void> {
    this.files.delete(name);
    return Promise.resolve();
  }
}

/** Machines that are up in a zone. */
export function machinesInZone(w: World, zone: string): MachineId[] {
  return [...w.workers.values()].filter((x) => x.alive && x.zone === zone).map((x) => x.id);
}
