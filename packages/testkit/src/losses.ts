import type { Folder } from '@spurbridge/snapshot';
import type { MachineId } from '@spurbridge/wire';
import { CALM_MS } from './drawn.js';
import type { Checkpoint } from './state.js';
import { SimState, STATE_HOST } from './state.js';
import type { World } from './world.js';
import { CLOUD_HOST } from './world.js';

/** What a state service can lose. */
export const LOSSES = [
  'rolled back 20 s',
  'rolled back 2 s',
  'emptied',
  'tasks gone',
  'some jobs gone',
  'unreadable',
  'count set back',
  'fills up again',
] as const;
export type Loss = (typeof LOSSES)[number];

/** What else happens around it. */
export const COMPANIONS = [
  'nothing',
  'leader crashes',
  'takeover in the middle',
  'twice',
  'during the rebuild',
  'a zone cut off',
] as const;
export type Companion = (typeof COMPANIONS)[number];

const FAR_MS = 20_000;
const NEAR_MS = 2000;
const ONE_IN = 3;
const LOOK_MS = 200;

/** Has the state service lose data at a time, and again for some companions. */
export function lose(w: World, loss: Loss, atMs: number): void {
  const { state } = w;
  let point: Checkpoint | null = null;
  const backMs = loss === 'rolled back 2 s' ? NEAR_MS : FAR_MS;
  if (loss.startsWith('rolled back') || loss === 'fills up again')
    w.time.after(atMs - w.time.now - backMs, () => {
      point = state.checkpoint();
    });
  w.time.after(atMs - w.time.now, () => {
    switch (loss) {
      case 'emptied':
        return state.empty();
      case 'tasks gone':
        return void state.lose((key) => key.startsWith('t/'));
      case 'some jobs gone':
        return void state.lose((key) => key.startsWith('j/') && w.random(ONE_IN) === 0);
      case 'unreadable':
        return void state.garble(() => w.random(ONE_IN) === 0);
      case 'count set back':
        return state.setBack(ONE_IN);
      default:
        if (point === null) return;
        if (loss === 'fills up again') state.refill(point, ONE_IN, 200);
        else state.restore(point);
    }
  });
}

/** Index of the node that holds the lease surely; -1: none does. */
export function leaderIndex(w: World): number {
  return w.nodes.findIndex((n) => n.clock.alive && n.controller.leadership.holdsSurely());
}

/** The same, or the first node where none leads. */
export function leaderOrFirst(w: World): number {
  return Math.max(0, leaderIndex(w));
}

export function accompany(w: World, companion: Companion, loss: Loss, atMs: number): void {
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
      return lose(w, loss, atMs + 9000);
    case 'during the rebuild':
      return at(atMs + 350, () => {
        w.state.empty();
      });
    case 'a zone cut off':
      return cutZone(w, 'b', atMs - 4000, CALM_MS);
  }
}

/** Cuts a zone's machines, also those that come up meanwhile, and its node off from everything else. */
export function cutZone(w: World, zone: string, fromMs: number, untilMs: number): void {
  const inZone = (): string[] => [
    ...[...w.workers.values()].filter((x) => x.zone === zone).map((x) => x.id as string),
    ...w.nodes.filter((n) => n.zone === zone).map((n) => n.name as string),
  ];
  const pairs = new Map<string, readonly [string, string]>();
  const cut = (): void => {
    const inside = new Set(inZone());
    const all = [STATE_HOST, CLOUD_HOST, ...w.workers.keys(), ...w.nodes.map((n) => n.name)].map(String);
    for (const a of inside)
      for (const b of all) {
        if (inside.has(b) || pairs.has(`${a} ${b}`)) continue;
        pairs.set(`${a} ${b}`, [a, b]);
        w.network.cut(a, b, 'hold');
      }
    if (w.time.now + LOOK_MS < untilMs) w.time.after(LOOK_MS, cut);
  };
  w.time.after(fromMs - w.time.now, cut);
  w.time.after(untilMs - w.time.now, () => {
    for (const [a, b] of pairs.values()) w.network.heal(a, b);
  });
}

/** From now on a node reads a store of its own, as it was at the point. */
export function fork(w: World, index: number, point: Checkpoint): SimState {
  const other = new SimState(w.time, { rps: 1000, writeRps: 1000, valueKb: 16, txnOps: 12 });
  other.restore(point);
  const node = w.nodes[index];
  if (node !== undefined) node.store.state = other;
  return other;
}

/** A directory that outlives the nodes. */
export class MemoryFolder implements Folder {
  private readonly files = new Map<string, Buffer>();

  names(): Promise<readonly string[]> {
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
export function machinesIn(w: World, zone: string): MachineId[] {
  return [...w.workers.values()].filter((x) => x.alive && x.zone === zone).map((x) => x.id);
}
