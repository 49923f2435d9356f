/**
 * A small model of delegated leases, explored completely: a leader, a controller that forwards heartbeats to it, one worker with
 * one task, later leaders, a cancellation, and messages that may be delayed for ever or get no further than to the forwarding
 * controller. Time goes in ticks; between two ticks anything may happen.
 *
 * @module
 */

/** The rules of the protocol, each of which can be left out to show that it is needed. */
export const GUARDS = [
  /** A delegation is counted from the sending of the request, not from the arrival of the response. */
  'delegation counted from the request',
  /** The time for which the leader's knowledge is out of date is taken off the period that it delegates. */
  'delegation shortened by the age of the knowledge',
  /** The leader itself counts a machine's lease from the end of what it has delegated. */
  'the leader counts what it delegates',
  /** A new leader waits for the renewal period of the previous one. */
  'the next leader waits',
  /** A controller whose delegation is over responds to nobody. */
  'a delegation ends',
  /** A response with a stop delegates nothing: it may be lost behind the forwarding controller, which would renew without it. */
  'no delegation with a stop',
  /** A leader whose lease is over stops what it knows to be cancelled, as one with a valid lease does. */
  'stops after its own lease',
  /** A new leader responds by what it has read, and to nobody before it has read anything. */
  'reads before it responds',
] as const;
export type Guard = (typeof GUARDS)[number];

const WORKER_LEASE = 1;
const RENEWAL_PERIOD = 3;
const CANCELLATION_PERIOD = RENEWAL_PERIOD + WORKER_LEASE;
/** The leader's own lease, as short as the others allow. */
const LEADER_LEASE = 1;
const LAST_TICK = 8;

interface ModelState {
  readonly time: number;
  /** As of when the first leader has confirmed its lease and all cancellations. */
  readonly confirmedAt: number;
  /** A request on its way to the leader, and a response on its way back. */
  readonly requestedAt: number | null;
  readonly response: {
    readonly requestedAt: number;
    readonly remaining: number;
    readonly stop: boolean;
  } | null;
  readonly delegatedUntil: number;
  readonly leaseUntil: number;
  readonly isRunning: boolean;
  /** Until when the first leader counts the machine as renewed. */
  readonly countedUntil: number;
  readonly nextLeaderAt: number | null;
  /** As of when the next leader has read what is cancelled. */
  readonly nextLeaderReadAt: number | null;
  readonly cancelledAt: number | null;
  /** A leader takes the task for gone, and has started it elsewhere. */
  readonly isStartedElsewhere: boolean;
}

const INITIAL_STATE: ModelState = {
  time: 0,
  confirmedAt: 0,
  requestedAt: null,
  response: null,
  delegatedUntil: -1,
  leaseUntil: WORKER_LEASE,
  isRunning: true,
  countedUntil: 0,
  nextLeaderAt: null,
  nextLeaderReadAt: null,
  cancelledAt: null,
  isStartedElsewhere: false,
};

/** The rules that are in force, and whether the job may be cancelled. */
interface Protocol {
  readonly without: Guard | null;
  readonly cancels: boolean;
}

/** Every state that one step leads to. */
function steps(state: ModelState, protocol: Protocol): ModelState[] {
  return [
    ...timeSteps(state),
    ...forwardingSteps(state, protocol),
    ...leaderSteps(state, protocol),
    ...responseSteps(state, protocol),
    ...successionSteps(state, protocol),
    ...restartSteps(state, protocol),
  ];
}

function isInForce(guard: Guard, { without }: Protocol): boolean {
  return guard !== without;
}

/** Time passes, and a task ends with its worker's lease. */
function timeSteps(state: ModelState): ModelState[] {
  const time = state.time + 1;
  if (time > LAST_TICK) return [];
  return [{ ...state, time, isRunning: state.isRunning && time <= state.leaseUntil }];
}

/** The first leader confirms its lease; the other controller forwards a heartbeat, or renews the lease by delegation. */
function forwardingSteps(state: ModelState, protocol: Protocol): ModelState[] {
  const now = state.time;
  const next: ModelState[] = [];
  if (state.nextLeaderAt === null && state.confirmedAt < now) next.push({ ...state, confirmedAt: now });
  if (state.requestedAt === null && state.response === null) next.push({ ...state, requestedAt: now });
  const isDelegated =
    now < state.delegatedUntil || (state.delegatedUntil >= 0 && !isInForce('a delegation ends', protocol));
  if (state.isRunning && isDelegated) next.push({ ...state, leaseUntil: now + WORKER_LEASE });
  return next;
}

/** The first leader responds to the request, or drops it. */
function leaderSteps(state: ModelState, protocol: Protocol): ModelState[] {
  if (state.requestedAt === null || state.response !== null) return [];
  const now = state.time;
  const age = now - state.confirmedAt;
  if (age > RENEWAL_PERIOD) return [{ ...state, requestedAt: null }];
  const isShortened = isInForce('delegation shortened by the age of the knowledge', protocol);
  const remaining = isShortened ? RENEWAL_PERIOD - age : RENEWAL_PERIOD;
  const knowsCancellation = state.cancelledAt !== null && state.confirmedAt >= state.cancelledAt;
  const mayStop = age <= LEADER_LEASE || isInForce('stops after its own lease', protocol);
  const countsDelegation = isInForce('the leader counts what it delegates', protocol);
  return [
    {
      ...state,
      requestedAt: null,
      response: { requestedAt: state.requestedAt, remaining, stop: knowsCancellation && mayStop },
      countedUntil: Math.max(state.countedUntil, countsDelegation ? now + remaining : now),
    },
  ];
}

/** The response arrives at the worker, or gets no further than to the forwarding controller, or nowhere. */
function responseSteps(state: ModelState, protocol: Protocol): ModelState[] {
  if (state.response === null) return [];
  const { requestedAt, remaining, stop } = state.response;
  const countedFrom = isInForce('delegation counted from the request', protocol) ? requestedAt : state.time;
  const delegates = !stop || !isInForce('no delegation with a stop', protocol);
  const delegatedUntil = delegates
    ? Math.max(state.delegatedUntil, countedFrom + remaining)
    : state.delegatedUntil;
  return [
    {
      ...state,
      response: null,
      delegatedUntil,
      leaseUntil: Math.max(state.leaseUntil, state.isRunning ? requestedAt + WORKER_LEASE : 0),
      isRunning: state.isRunning && !stop,
    },
    { ...state, response: null, delegatedUntil },
    { ...state, response: null },
  ];
}

/** The job is cancelled; a new leader is elected, reads the records, and responds to the worker. */
function successionSteps(state: ModelState, protocol: Protocol): ModelState[] {
  const now = state.time;
  const { cancelledAt, nextLeaderAt, nextLeaderReadAt } = state;
  const next: ModelState[] = [];
  if (protocol.cancels && cancelledAt === null) next.push({ ...state, cancelledAt: now });
  if (nextLeaderAt === null && now - state.confirmedAt >= LEADER_LEASE)
    next.push({ ...state, nextLeaderAt: now });
  if (!protocol.cancels || nextLeaderAt === null) return next;
  if (now - nextLeaderAt >= LEADER_LEASE) next.push({ ...state, nextLeaderAt: now, nextLeaderReadAt: null });
  next.push({ ...state, nextLeaderReadAt: now });
  const mayRespond =
    nextLeaderReadAt === null
      ? !isInForce('reads before it responds', protocol)
      : now - nextLeaderReadAt <= RENEWAL_PERIOD;
  const stop = cancelledAt !== null && nextLeaderReadAt !== null && nextLeaderReadAt >= cancelledAt;
  if (state.isRunning && mayRespond)
    next.push({ ...state, leaseUntil: Math.max(state.leaseUntil, now + WORKER_LEASE), isRunning: !stop });
  return next;
}

/** A leader takes the task for gone and starts it elsewhere. */
function restartSteps(state: ModelState, protocol: Protocol): ModelState[] {
  if (protocol.cancels) return [];
  const now = state.time;
  const { nextLeaderAt } = state;
  const wait = (isInForce('the next leader waits', protocol) ? RENEWAL_PERIOD : 0) + WORKER_LEASE;
  const takesForGone =
    nextLeaderAt !== null ? now > nextLeaderAt + wait : now > state.countedUntil + WORKER_LEASE;
  return takesForGone ? [{ ...state, isStartedElsewhere: true }] : [];
}

/** The rule that a state violates, or null. */
function violationIn(state: ModelState): string | null {
  if (state.isStartedElsewhere && state.isRunning) return 'ran_twice';
  if (state.cancelledAt !== null && state.isRunning && state.time > state.cancelledAt + CANCELLATION_PERIOD)
    return 'ran_cancelled';
  return null;
}

/** Explores everything that can happen, with one guard left out or none. */
export function explore(without: Guard | null): Explored {
  // The two rules are explored separately: a violation of one needs nothing of a violation of the other.
  const twice = exploreOne(without, false);
  const cancelled = exploreOne(without, true);
  return {
    rules: new Set([...twice.rules, ...cancelled.rules]),
    states: twice.states + cancelled.states,
  };
}

interface Explored {
  readonly rules: ReadonlySet<string>;
  readonly states: number;
}

function exploreOne(without: Guard | null, cancels: boolean): Explored {
  const seen = new Set([JSON.stringify(INITIAL_STATE)]);
  const open: ModelState[] = [INITIAL_STATE];
  const rules = new Set<string>();
  for (let state = open.pop(); state !== undefined; state = open.pop()) {
    for (const successor of steps(state, { without, cancels })) {
      const key = JSON.stringify(successor);
      if (seen.has(key)) continue;
      seen.add(key);
      const rule = violationIn(successor);
      // What follows a violation, or the task's end, shows nothing more.
      if (rule !== null) rules.add(rule);
      // With a guard left out the first violation is enough.
      if (rule !== null && without !== null) return { rules, states: seen.size };
      if (rule !== null) continue;
      if (successor.isRunning && !successor.isStartedElsewhere) open.push(successor);
    }
  }
  return { rules, states: seen.size };
}
