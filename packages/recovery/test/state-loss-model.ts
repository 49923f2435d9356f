/**
 * A small model of docs/state-loss.md, explored whole: one task, two machines, two controllers and a state service that is
 * emptied or rolled back. Every message may be late for ever. The rule: the task is never on two machines, and no token is
 * given twice.
 */
export interface Guards {
  /** Commits ask for the fence. */
  readonly fence: boolean;
  /** The fence is known by a name that never comes again, not by its version. */
  readonly byName: boolean;
  /** An epoch opens only when nobody can believe in an earlier lease any more. */
  readonly waits: boolean;
  /** A leader asks the machines where copies may be incomplete. */
  readonly settles: boolean;
  /** Floors rise with every epoch. */
  readonly floors: boolean;
  /** What living controllers remember is put back. */
  readonly copies: boolean;
}

export const ALL: Guards = {
  fence: true,
  byName: true,
  waits: true,
  settles: true,
  floors: true,
  copies: true,
};

interface Lead {
  readonly token: number;
  readonly version: number;
  /** What the leader knows of the task: machine it is placed on (0: none) and the record's version. */
  on: number;
  recordVersion: number;
  /** The placement is durable: starts may be sent. */
  durable: boolean;
  settled: boolean;
}

interface Node {
  alive: boolean;
  fence: number;
  fenceVersion: number;
  lead: Lead | null;
  /** Copy: the record and its version. */
  copy: [number, number];
  continuous: boolean;
}

interface Commit {
  readonly kind: 'commit';
  readonly fence: number;
  readonly fenceVersion: number;
  readonly leaderVersion: number;
  readonly recordVersion: number;
  readonly put: number;
}

type Message = Commit | { readonly kind: 'start'; readonly token: number; readonly machine: number };

interface Store {
  revision: number;
  fence: number;
  fenceVersion: number;
  floor: number;
  leaderVersion: number;
  record: [number, number];
  continuous: boolean;
}

interface State {
  store: Store;
  point: Store;
  nodes: [Node, Node];
  machines: [{ token: number; runs: boolean }, { token: number; runs: boolean }];
  flight: Message[];
  tokens: number[];
  lastToken: number;
  fences: number;
  losses: number;
  crashes: number;
}

export interface Explored {
  readonly states: number;
  /** The steps to a broken rule, or null. */
  readonly broken: readonly string[] | null;
}

function initial(): State {
  const store: Store = {
    revision: 1,
    fence: 1,
    fenceVersion: 1,
    floor: 0,
    leaderVersion: 0,
    record: [0, 0],
    continuous: true,
  };
  const node = (): Node => ({
    alive: true,
    fence: 1,
    fenceVersion: 1,
    lead: null,
    copy: [0, 0],
    continuous: true,
  });
  return {
    store,
    point: { ...store, record: [0, 0] },
    nodes: [node(), node()],
    machines: [
      { token: 0, runs: false },
      { token: 0, runs: false },
    ],
    flight: [],
    tokens: [],
    lastToken: 0,
    fences: 1,
    losses: 1,
    crashes: 1,
  };
}

function passes(g: Guards, s: Store, c: Commit): boolean {
  const fenced = g.byName ? s.fence === c.fence : s.fenceVersion === c.fenceVersion;
  return (!g.fence || fenced) && s.leaderVersion === c.leaderVersion && s.record[1] === c.recordVersion;
}

function apply(s: Store, c: Commit): void {
  s.revision += 1;
  s.record = [c.put, s.revision];
}

/** All states that one step leads to, with what the step was. */
function* steps(g: Guards, from: State): Generator<[string, State]> {
  const next = (): State => structuredClone(from);
  const commitOf = (n: Node, l: Lead, put: number): Commit => ({
    kind: 'commit',
    fence: n.fence,
    fenceVersion: n.fenceVersion,
    leaderVersion: l.version,
    recordVersion: l.recordVersion,
    put,
  });
  for (const i of [0, 1] as const) {
    const n = from.nodes[i];
    const name = `node ${i}`;
    if (!n.alive) continue;
    const isCurrent = n.fence === from.store.fence;
    if (from.store.leaderVersion === 0 && isCurrent && n.lead === null) {
      const s = next();
      s.store.revision += 1;
      s.store.leaderVersion = s.store.revision;
      const token = s.store.floor + s.store.revision;
      s.nodes[i].lead = {
        token,
        version: s.store.leaderVersion,
        on: s.store.record[0],
        recordVersion: s.store.record[1],
        durable: s.store.record[0] !== 0,
        settled: !g.settles || (s.nodes[i].continuous && s.store.continuous),
      };
      s.nodes[i].copy = [...s.store.record];
      s.tokens.push(token);
      s.lastToken = token;
      yield [`${name} leads with ${token}`, s];
    }
    if (n.lead !== null && believes(g, from, n)) {
      const lead = n.lead;
      // Its lease ends, or it resigns.
      if (from.crashes > 0 || from.losses === 0) {
        const s = next();
        s.nodes[i].lead = null;
        if (s.store.leaderVersion === lead.version && isCurrent) s.store.leaderVersion = 0;
        yield [`${name} steps down`, s];
      }
      if (lead.settled && lead.on === 0)
        for (const machine of [1, 2]) yield* write(`${name} places on ${machine}`, i, lead, machine);
      if (lead.on !== 0 && lead.durable) {
        const machine = from.machines[lead.on - 1];
        // Known from the machine itself, under this token: it is not there and nothing older can start it.
        if (machine?.runs === false && machine.token === lead.token && !isStarting(from, lead))
          yield* write(`${name} clears`, i, lead, 0);
        if (!isStarting(from, lead) && from.flight.length < 2 && lead.settled) {
          const s = next();
          s.flight.push({ kind: 'start', token: lead.token, machine: lead.on });
          yield [`${name} starts on ${lead.on}`, s];
        }
      }
      if (!lead.settled) {
        const s = next();
        settle(s, i);
        yield [`${name} settles`, s];
      }
    }
    if (!isCurrent && from.losses === 0) {
      // It notices: joins the epoch that is there, or moves the fence where there is none.
      const s = next();
      if (from.store.fence > n.fence) join(s, i);
      else move(g, s, i);
      yield [`${name} rebuilds`, s];
    }
    if (from.crashes > 0) {
      const s = next();
      s.crashes -= 1;
      s.nodes[i] = { ...s.nodes[i], alive: false, lead: null, copy: [0, 0], continuous: false };
      yield [`${name} crashes`, s];
    }
  }
  for (const [k, m] of from.flight.entries()) {
    const s = next();
    s.flight.splice(k, 1);
    if (m.kind === 'commit') {
      if (!passes(g, s.store, m)) continue;
      apply(s.store, m);
    } else {
      const machine = s.machines[m.machine - 1];
      if (machine === undefined || m.token < machine.token) continue;
      machine.token = m.token;
      machine.runs = true;
    }
    yield [`a late ${m.kind} arrives`, s];
  }
  for (const [k, m] of from.machines.entries()) {
    if (!m.runs) continue;
    const s = next();
    (s.machines[k] as { runs: boolean }).runs = false;
    yield [`the task exits on ${k + 1}`, s];
  }
  if (from.losses > 0) {
    const s = next();
    s.losses -= 1;
    s.store = {
      revision: 0,
      fence: 0,
      fenceVersion: 0,
      floor: 0,
      leaderVersion: 0,
      record: [0, 0],
      continuous: true,
    };
    yield ['the store is emptied', s];
    const back = next();
    back.losses -= 1;
    // The fence is the same, but what was written since is gone; that is noticed by the revision.
    back.store = { ...structuredClone(from.point), fence: -1 };
    yield ['the store is rolled back', back];
  }

  /** A write of the leader's: confirmed at once, or without an answer and possibly late. */
  function* write(what: string, i: 0 | 1, lead: Lead, put: number): Generator<[string, State]> {
    const c = commitOf(from.nodes[i], lead, put);
    if (passes(g, from.store, c)) {
      const s = next();
      apply(s.store, c);
      const l = s.nodes[i].lead as Lead;
      l.on = put;
      l.recordVersion = s.store.revision;
      l.durable = put !== 0;
      s.nodes[i].copy = [put, s.store.revision];
      yield [what, s];
    }
    if (from.flight.length < 2) {
      const late = next();
      late.flight.push(c);
      // What it knows to be gone it does not start again, whether the store has heard of it or not.
      if (put === 0) (late.nodes[i].lead as Lead).durable = false;
      yield [`${what}, without an answer`, late];
    }
  }
}

function isStarting(s: State, lead: Lead): boolean {
  return s.flight.some((m) => m.kind === 'start' && m.token === lead.token && m.machine === lead.on);
}

/** Every machine shows the token, and its word stands. */
function settle(s: State, i: 0 | 1): void {
  const lead = s.nodes[i].lead as Lead;
  for (const m of s.machines) m.token = Math.max(m.token, lead.token);
  const running = s.machines.findIndex((m) => m.runs) + 1;
  if (running !== lead.on) {
    lead.on = running;
    s.store.revision += 1;
    s.store.record = [running, s.store.revision];
    lead.recordVersion = s.store.revision;
    s.nodes[i].copy = [...s.store.record];
  }
  lead.durable = lead.on !== 0;
  lead.settled = true;
  for (const n of s.nodes) n.continuous = n.alive;
  s.store.continuous = true;
}

function join(s: State, i: 0 | 1): void {
  const n = s.nodes[i];
  n.lead = null;
  n.fence = s.store.fence;
  n.fenceVersion = s.store.fenceVersion;
  n.copy = [...s.store.record];
  n.continuous = s.store.continuous;
}

/** A new epoch: the other node's copy is asked for, unless it is dead. */
function move(g: Guards, s: State, i: 0 | 1): void {
  const before = s.nodes.map((n) => ({ ...n, lead: n.lead === null ? null : { ...n.lead } }));
  s.fences += 1;
  s.store.revision += 1;
  s.store.fence = s.fences;
  s.store.fenceVersion = s.store.revision;
  s.store.floor = g.floors ? s.lastToken + 100 : 0;
  s.store.leaderVersion = 0;
  const copies = before.filter((n) => n.alive).map((n) => n.copy);
  const best = copies.reduce((a, b) => (b[1] > a[1] ? b : a), [0, 0] as [number, number]);
  if (g.copies && best[1] > 0 && best[0] !== s.store.record[0]) {
    s.store.revision += 1;
    s.store.record = [best[0], s.store.revision];
  }
  const led = before.find((n) => n.alive && n.lead?.token === s.lastToken);
  s.store.continuous = s.lastToken === 0 || led?.continuous === true;
  join(s, i);
  // The other one has left its marker, or its lease is surely over, before the epoch opens.
  if (g.waits) for (const n of s.nodes) n.lead = null;
}

/** Whether a node gives orders under a lease that it still believes in. */
function believes(g: Guards, s: State, n: Node): boolean {
  if (n.lead === null) return false;
  // Renewals compare the fence and the leader's record, and an epoch opens after the last belief has ended.
  return !g.waits || (n.fence === s.store.fence && n.lead.version === s.store.leaderVersion);
}

function isBroken(g: Guards, s: State): boolean {
  return (
    s.machines.every((m) => m.runs) ||
    new Set(s.tokens).size < s.tokens.length ||
    s.nodes.every((n) => believes(g, s, n))
  );
}

/** All states that can be reached after `prefix`, breadth first, until a broken rule. */
export function explore(g: Guards, mostSteps: number, prefix: readonly string[] = []): Explored {
  let start = initial();
  for (const wanted of prefix) {
    const found = [...steps(g, start)].find(([step]) => step === wanted);
    if (found === undefined) throw new Error(`${wanted} is no step here`);
    start = found[1];
  }
  const came = new Map<string, { readonly from: string | null; readonly step: string }>();
  const key = (s: State): string => JSON.stringify(s);
  came.set(key(start), { from: null, step: 'begin' });
  let level: State[] = [start];
  for (let n = 0; n < mostSteps && level.length > 0; n += 1) {
    const following: State[] = [];
    for (const s of level)
      for (const [step, to] of steps(g, s)) {
        const k = key(to);
        if (came.has(k)) continue;
        came.set(k, { from: key(s), step });
        if (isBroken(g, to)) return { states: came.size, broken: path(came, k) };
        following.push(to);
      }
    level = following;
  }
  return { states: came.size, broken: null };
}

function path(came: ReadonlyMap<string, { from: string | null; step: string }>, end: string): string[] {
  const found: string[] = [];
  for (let k: string | null = end; k !== null;) {
    const c = came.get(k);
    if (c === undefined) break;
    found.unshift(c.step);
    k = c.from;
  }
  return found;
}
