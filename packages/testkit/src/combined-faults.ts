import type { MachineId } from '@spurbridge/wire';
import { FAULTS_END_MS, randomRestartMs } from './generated-days.js';
import { jobId } from './fixtures.js';
import type { FaultInjector } from './fault-injector.js';
import { jobSpec } from './fixtures.js';
import { leaderIndex } from './data-loss.js';
import { STORE_HOST } from './hosts.js';
import type { World } from './world.js';

const ONE_TASK_EVERY_MS = 250;
const ODD_EVERY_MS = 400;
const ONE_TASK_MOST_MS = 30_000;

/** A trouble that begins now and is over after so long. */
type Trouble = (w: World, forMs: number) => void;

function heal(w: World, forMs: number, run: () => void): void {
  w.time.after(forMs, run);
}

function share(of: keyof FaultInjector['counts']): Trouble {
  return (w, forMs) => {
    w.faults[of] = [0.1, 0.3, 0.7][w.random(3)] ?? 0.3;
    heal(w, forMs, () => {
      w.faults[of] = 0;
    });
  };
}

function someMachines(w: World): MachineId[] {
  const up = [...w.workers.values()].filter((x) => x.alive).map((x) => x.id);
  return up.filter(() => w.random(2) === 0);
}

/** Some machines count among these for so long. */
function among(kind: 'outboundPartitioned' | 'inboundPartitioned'): Trouble {
  return (w, forMs) => {
    const machines = someMachines(w);
    for (const id of machines) w.faults[kind].add(id);
    heal(w, forMs, () => {
      for (const id of machines) w.faults[kind].delete(id);
    });
  };
}

/** The leader, or any node where nobody leads. */
function leaderOrAny(w: World): number {
  const leader = leaderIndex(w);
  return leader < 0 ? w.random(w.nodes.length) : leader;
}

function cutNode(w: World, node: number, hosts: readonly string[], forMs: number): void {
  const name = `spur-${node}`;
  const mode = w.random(2) === 0 ? 'hold' : 'drop';
  for (const host of hosts) w.network.partition(name, host, mode);
  heal(w, forMs, () => {
    for (const host of hosts) w.network.heal(name, host);
  });
}

function othersOf(w: World, node: number): string[] {
  return w.nodes.filter((_, i) => i !== node).map((n) => n.name as string);
}

/** Again and again, until so much later. */
function every(w: World, ms: number, forMs: number, run: () => void): void {
  for (let at = 0; at < forMs; at += ms) w.time.after(at, run);
}

/** Jobs of one task, four a second, a quarter of them cancelled soon after. */
export function startSingleTaskJobs(w: World, forMs: number): void {
  const first = w.checker.submitted.size;
  let n = 0;
  every(w, ONE_TASK_EVERY_MS, forMs, () => {
    const id = jobId(500_000 + first * 1000 + (n += 1));
    const spec = jobSpec({ id, class: 'one-task', tasks: 1, cpus: 1, estimateS: 1 + w.random(4) });
    w.startUser(spec, w.random(4) === 0 ? w.time.now + w.random(4000) : null);
  });
}

/** Where two of these meet, rules have broken: what the operators' letters name. */
export const COMBINABLE_FAULTS: Readonly<Record<string, Trouble>> = {
  'late writes': share('delayedWrites'),
  'late reports': share('duplicateHeartbeats'),
  'held commands': share('delayedCommands'),
  'lost answers': share('lostResponses'),
  'reports kept for the next leader': share('replayedHeartbeats'),
  'cancelled at the end': share('cancellationsAtCompletion'),
  'close looks': share('pollBursts'),
  'slow state service': (w, forMs) => {
    w.faults.storeLatencyMs = [200, 500, 1000][w.random(3)] ?? 500;
    heal(w, forMs, () => {
      w.faults.storeLatencyMs = 0;
    });
  },
  'slow links': (w, forMs) => {
    w.network.extraLatencyMs = [100, 300, 700][w.random(3)] ?? 300;
    heal(w, forMs, () => {
      w.network.extraLatencyMs = 0;
    });
  },
  'machines up at once': (w, forMs) => {
    w.faults.fastBoots = true;
    for (const id of someMachines(w)) w.reclaimMachine(id);
    heal(w, forMs, () => {
      w.faults.fastBoots = false;
    });
  },
  'mute machines': among('outboundPartitioned'),
  'called off at once, some hang': (w, forMs) => {
    const called = new Set(w.users.cancelRunningJobs(2 + w.random(6)).map((s) => s.id));
    const on = [...w.workers.values()].filter(
      (x) => x.alive && x.occupyingTasks().some((t) => called.has(t.job.id)) && w.random(2) === 0,
    );
    for (const x of on) x.hang();
    heal(w, forMs, () => {
      for (const x of on) x.resume();
    });
  },
  'odd requests': (w, forMs) => {
    every(w, ODD_EVERY_MS, forMs, () => {
      w.users.sendMalformedRequest();
    });
  },
  'one-task jobs': (w, forMs) => {
    startSingleTaskJobs(w, Math.min(forMs, ONE_TASK_MOST_MS));
  },
  'deaf machines': among('inboundPartitioned'),
  'unreachable machines': (w, forMs) => {
    const machines = someMachines(w);
    const mode = w.random(2) === 0 ? 'hold' : 'drop';
    for (const id of machines) for (const n of w.nodes) w.network.partition(n.name, id, mode);
    heal(w, forMs, () => {
      for (const id of machines) for (const n of w.nodes) w.network.heal(n.name, id);
    });
  },
  'hung machines': (w, forMs) => {
    const machines = someMachines(w);
    for (const id of machines) w.workers.get(id)?.hang();
    heal(w, forMs, () => {
      for (const id of machines) w.workers.get(id)?.resume();
    });
  },
  'leader refused alone': (w, forMs) => {
    const node = w.nodes[leaderOrAny(w)];
    if (node === undefined) return;
    node.store.isRefused = true;
    heal(w, forMs, () => {
      node.store.isRefused = false;
    });
  },
  outage: (w, forMs) => {
    w.store.setOutage(true);
    heal(w, forMs, () => {
      w.store.setOutage(false);
    });
  },
  'leader cut from service and peers': (w, forMs) => {
    const node = leaderOrAny(w);
    cutNode(w, node, [STORE_HOST, ...othersOf(w, node)], forMs);
  },
  'leader cut from machines': (w, forMs) => {
    cutNode(w, leaderOrAny(w), [...w.workers.keys()], forMs);
  },
  'leader frozen': (w, forMs) => {
    w.freeze(leaderOrAny(w), forMs);
  },
  'leader ends': (w) => {
    w.crash(leaderOrAny(w), randomRestartMs(w));
  },
  'all end, one returns first': (w) => {
    for (let i = 0; i < w.nodes.length; i += 1) w.crash(i, i === 0 ? 200 : 2000 + w.random(6000));
  },
  'hand-overs back and forth': (w, forMs) => {
    for (let ms = 0; ms < Math.min(forMs, 8000); ms += 400 + w.random(1200))
      w.time.after(ms, () => {
        w.crash(leaderOrAny(w), [50, 200, 900][w.random(3)]);
      });
  },
};

/** Two troubles that meet, or up to `most`, drawn from the seed: they begin within a few seconds of each other. */
export function injectCombinedFaults(w: World, most = 3): string[] {
  const names = Object.keys(COMBINABLE_FAULTS);
  const drawn: string[] = [];
  const first = 20_000 + w.random(35_000);
  for (let n = 2 + w.random(most - 1); n > 0; n -= 1) {
    const name = names.splice(w.random(names.length), 1)[0] ?? '';
    drawn.push(name);
    const at = first + w.random(10_000);
    const forMs = Math.min(FAULTS_END_MS - at, 2000 + w.random(40_000));
    w.time.after(at, () => COMBINABLE_FAULTS[name]?.(w, forMs));
  }
  return drawn;
}
