/**
 * A small model of delegated leases whose states are explored exhaustively. It has a leader, a controller that forwards
 * heartbeats to the leader, one worker with one task, later leaders and a cancellation. A message may be delayed
 * indefinitely or lost, also between the forwarding controller and the worker. Time advances in ticks; any number of
 * other steps may occur between two ticks.
 *
 * @module
 */

/** Guards of the protocol. Each can be disabled to show that it is needed. */
export const GUARDS = [
  /** The validity of a delegation starts when the request is sent, not when the response arrives. */
  'delegation is valid from the request',
  /** The delegated period is reduced by the time since the leader last confirmed its lease and all cancellations. */
  'delegation is shortened by the age of the confirmed state',
  /** The leader assumes that a machine's lease may be renewed until the end of the delegation. */
  'leader accounts for delegated renewals',
  /** A new leader waits for the renewal period of the previous one. */
  'new leader waits for the renewal period',
  /** A controller does not respond to heartbeats once its delegation has expired. */
  'delegation expires',
  /**
   * A response with a stop command delegates nothing: if it were lost between the forwarding controller and the worker,
   * the controller would renew the lease without the stop command.
   */
  'response with a stop command delegates nothing',
  /** A leader whose own lease has expired still stops tasks that it knows to be cancelled. */
  'leader with an expired lease stops cancelled tasks',
  /** A new leader responds to heartbeats only after it has read the records. */
  'new leader reads the records before it responds',
] as const;
export type Guard = (typeof GUARDS)[number];

const WORKER_LEASE = 1;
const RENEWAL_PERIOD = 3;
const CANCELLATION_PERIOD = RENEWAL_PERIOD + WORKER_LEASE;
/** Duration of the leader's own lease, the shortest that the other periods allow. */
const LEADER_LEASE = 1;
const LAST_TICK = 8;

interface ModelState {
  readonly time: number;
  /** When the first leader last confirmed its lease and read all cancellations. */
  readonly confirmedAt: number;
  /** The request in transit to the leader, and the response in transit from it. */
  readonly requestedAt: number | null;
  readonly response: {
    readonly requestedAt: number;
    readonly remaining: number;
    readonly stop: boolean;
  } | null;
  readonly delegatedUntil: number;
  readonly leaseUntil: number;
  readonly isRunning: boolean;
  /** Time until which the first leader assumes that the machine's lease may be renewed. */
  readonly assumedRenewableUntil: number;
  readonly nextLeaderAt: number | null;
  /** When the next leader last read the cancellations. */
  readonly nextLeaderReadAt: number | null;
  readonly cancelledAt: number | null;
  /** A leader assumed that the task had stopped, and started it on another machine. */
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
  assumedRenewableUntil: 0,
  nextLeaderAt: null,
  nextLeaderReadAt: null,
  cancelledAt: null,
  isStartedElsewhere: false,
};

/** The protocol variant to explore: the guard that is disabled, if any, and whether the job may be cancelled. */
interface Protocol {
  readonly disabledGuard: Guard | null;
  readonly allowsCancellation: boolean;
}

/** Returns every state that one step leads to. */
function successorsOf(state: ModelState, protocol: Protocol): ModelState[] {
  return [
    ...timeSteps(state),
    ...forwardingSteps(state, protocol),
    ...leaderSteps(state, protocol),
    ...responseSteps(state, protocol),
    ...successionSteps(state, protocol),
    ...restartSteps(state, protocol),
  ];
}

function isEnabled(guard: Guard, { disabledGuard }: Protocol): boolean {
  return guard !== disabledGuard;
}

/** Time advances by one tick; the task ends when its worker's lease expires. */
function timeSteps(state: ModelState): ModelState[] {
  const time = state.time + 1;
  if (time > LAST_TICK) return [];
  return [{ ...state, time, isRunning: state.isRunning && time <= state.leaseUntil }];
}

/** The first leader confirms its lease; the other controller forwards a heartbeat, or renews a lease by delegation. */
function forwardingSteps(state: ModelState, protocol: Protocol): ModelState[] {
  const now = state.time;
  const next: ModelState[] = [];
  if (state.nextLeaderAt === null && state.confirmedAt < now) next.push({ ...state, confirmedAt: now });
  if (state.requestedAt === null && state.response === null) next.push({ ...state, requestedAt: now });
  const isDelegated =
    now < state.delegatedUntil || (state.delegatedUntil >= 0 && !isEnabled('delegation expires', protocol));
  if (state.isRunning && isDelegated) next.push({ ...state, leaseUntil: now + WORKER_LEASE });
  return next;
}

/** The first leader responds to the request, or drops it. */
function leaderSteps(state: ModelState, protocol: Protocol): ModelState[] {
  if (state.requestedAt === null || state.response !== null) return [];
  const now = state.time;
  const age = now - state.confirmedAt;
  if (age > RENEWAL_PERIOD) return [{ ...state, requestedAt: null }];
  const isShortened = isEnabled('delegation is shortened by the age of the confirmed state', protocol);
  const remaining = isShortened ? RENEWAL_PERIOD - age : RENEWAL_PERIOD;
  const knowsCancellation = state.cancelledAt !== null && state.confirmedAt >= state.cancelledAt;
  const mayStop =
    age <= LEADER_LEASE || isEnabled('leader with an expired lease stops cancelled tasks', protocol);
  const accountsForDelegation = isEnabled('leader accounts for delegated renewals', protocol);
  return [
    {
      ...state,
      requestedAt: null,
      response: { requestedAt: state.requestedAt, remaining, stop: knowsCancellation && mayStop },
      assumedRenewableUntil: Math.max(
        state.assumedRenewableUntil,
        accountsForDelegation ? now + remaining : now,
      ),
    },
  ];
}

/** The response reaches the worker, only the forwarding controller, or neither. */
function responseSteps(state: ModelState, protocol: Protocol): ModelState[] {
  if (state.response === null) return [];
  const { requestedAt, remaining, stop } = state.response;
  const validFrom = isEnabled('delegation is valid from the request', protocol) ? requestedAt : state.time;
  const delegates = !stop || !isEnabled('response with a stop command delegates nothing', protocol);
  const delegatedUntil = delegates
    ? Math.max(state.delegatedUntil, validFrom + remaining)
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
  if (protocol.allowsCancellation && cancelledAt === null) next.push({ ...state, cancelledAt: now });
  if (nextLeaderAt === null && now - state.confirmedAt >= LEADER_LEASE)
    next.push({ ...state, nextLeaderAt: now });
  if (!protocol.allowsCancellation || nextLeaderAt === null) return next;
  if (now - nextLeaderAt >= LEADER_LEASE) next.push({ ...state, nextLeaderAt: now, nextLeaderReadAt: null });
  next.push({ ...state, nextLeaderReadAt: now });
  const mayRespond =
    nextLeaderReadAt === null
      ? !isEnabled('new leader reads the records before it responds', protocol)
      : now - nextLeaderReadAt <= RENEWAL_PERIOD;
  const stop = cancelledAt !== null && nextLeaderReadAt !== null && nextLeaderReadAt >= cancelledAt;
  if (state.isRunning && mayRespond)
    next.push({ ...state, leaseUntil: Math.max(state.leaseUntil, now + WORKER_LEASE), isRunning: !stop });
  return next;
}

/** A leader assumes that the task has stopped and starts it on another machine. */
function restartSteps(state: ModelState, protocol: Protocol): ModelState[] {
  if (protocol.allowsCancellation) return [];
  const now = state.time;
  const { nextLeaderAt } = state;
  const wait =
    (isEnabled('new leader waits for the renewal period', protocol) ? RENEWAL_PERIOD : 0) + WORKER_LEASE;
  const assumesStopped =
    nextLeaderAt !== null ? now > nextLeaderAt + wait : now > state.assumedRenewableUntil + WORKER_LEASE;
  return assumesStopped ? [{ ...state, isStartedElsewhere: true }] : [];
}

/** Returns the invariant that a state violates, or null. */
function violationIn(state: ModelState): string | null {
  if (state.isStartedElsewhere && state.isRunning) return 'ran_twice';
  if (state.cancelledAt !== null && state.isRunning && state.time > state.cancelledAt + CANCELLATION_PERIOD)
    return 'ran_cancelled';
  return null;
}

/** Explores all reachable states, with one guard disabled or none. */
export function explore(disabledGuard: Guard | null): ExplorationResult {
  // The two invariants are explored separately, because their violations are independent of each other.
  const withoutCancellation = exploreVariant(disabledGuard, false);
  const withCancellation = exploreVariant(disabledGuard, true);
  return {
    violations: new Set([...withoutCancellation.violations, ...withCancellation.violations]),
    stateCount: withoutCancellation.stateCount + withCancellation.stateCount,
  };
}

interface ExplorationResult {
  readonly violations: ReadonlySet<string>;
  readonly stateCount: number;
}

function exploreVariant(disabledGuard: Guard | null, allowsCancellation: boolean): ExplorationResult {
  const seen = new Set([JSON.stringify(INITIAL_STATE)]);
  const open: ModelState[] = [INITIAL_STATE];
  const violations = new Set<string>();
  for (let state = open.pop(); state !== undefined; state = open.pop()) {
    for (const successor of successorsOf(state, { disabledGuard, allowsCancellation })) {
      const key = JSON.stringify(successor);
      if (seen.has(key)) continue;
      seen.add(key);
      const violation = violationIn(successor);
      // States after a violation, or after the task has ended, need not be explored.
      if (violation !== null) violations.add(violation);
      // With a disabled guard, one violation is sufficient.
      if (violation !== null && disabledGuard !== null) return { violations, stateCount: seen.size };
      if (violation !== null) continue;
      if (successor.isRunning && !successor.isStartedElsewhere) open.push(successor);
    }
  }
  return { violations, stateCount: seen.size };
}
