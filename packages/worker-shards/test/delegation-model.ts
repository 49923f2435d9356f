/**
 * A small model of grants, explored whole: a leader, a holder, one worker with one task, the leaders after it, a
 * cancellation, and messages that may be late for ever or get no further than to the holder. Time goes in ticks; between two ticks anything may happen.
 */

export const GUARDS = [
  /** A grant is counted from the sending of the question, not from the coming of the answer. */
  'counted from the question',
  /** What the leader does not know for sure any more is taken off the horizon that it gives away. */
  'less the age of what is known',
  /** The leader itself counts a machine's lease from the end of the grant that it gave. */
  'the leader counts its grants',
  /** A new leader waits for the horizon of the one before. */
  'the next leader waits',
  /** A holder whose grant is over answers nobody. */
  'a grant ends',
  /** An answer that stops what is cancelled brings no grant: it may be lost behind its holder, which would renew without it. */
  'no grant with a stop',
  /** A leader past its lease stops what it knows to be cancelled, as one that is sure of it does. */
  'stops past its lease',
  /** A new leader answers by what it has read, and nobody before it has read anything. */
  'reads before it answers',
] as const;
export type Guard = (typeof GUARDS)[number];

const LEASE = 1;
const HORIZON = 3;
const CANCEL = HORIZON + LEASE;
/** The leader's own lease, as short as the others allow. */
const TTL = 1;
const END = 8;

interface State {
  readonly t: number;
  /** As of when the first leader is sure of its lease and of all cancellations. */
  readonly contact: number;
  /** A question on its way to the leader, and an answer on its way back. */
  readonly question: number | null;
  readonly answer: { readonly askedAt: number; readonly left: number; readonly stop: boolean } | null;
  readonly grantUntil: number;
  readonly leaseUntil: number;
  readonly runs: boolean;
  /** Until when the first leader holds the machine answered. */
  readonly counted: number;
  readonly next: number | null;
  /** As of when the next leader has read what is cancelled. */
  readonly nextRead: number | null;
  readonly cancelled: number | null;
  /** Somebody holds the task for gone, and has started it elsewhere. */
  readonly again: boolean;
}

const START: State = {
  t: 0,
  contact: 0,
  question: null,
  answer: null,
  grantUntil: -1,
  leaseUntil: LEASE,
  runs: true,
  counted: 0,
  next: null,
  nextRead: null,
  cancelled: null,
  again: false,
};

/** Every state that one step leads to. */
function steps(s: State, without: Guard | null, cancels: boolean): State[] {
  const has = (guard: Guard): boolean => guard !== without;
  const to: State[] = [];
  const { t } = s;
  if (t < END) {
    const runs = s.runs && t + 1 <= s.leaseUntil;
    to.push({ ...s, t: t + 1, runs });
  }
  if (s.next === null && s.contact < t) to.push({ ...s, contact: t });
  if (s.question === null && s.answer === null) to.push({ ...s, question: t });
  if (s.runs && (t < s.grantUntil || (s.grantUntil >= 0 && !has('a grant ends'))))
    to.push({ ...s, leaseUntil: t + LEASE });
  if (s.question !== null && s.answer === null) {
    const age = t - s.contact;
    if (age <= HORIZON) {
      const left = has('less the age of what is known') ? HORIZON - age : HORIZON;
      const known = s.cancelled !== null && s.contact >= s.cancelled;
      const stop = known && (age <= TTL || has('stops past its lease'));
      to.push({
        ...s,
        question: null,
        answer: { askedAt: s.question, left, stop },
        counted: Math.max(s.counted, has('the leader counts its grants') ? t + left : t),
      });
    } else to.push({ ...s, question: null });
  }
  if (s.answer !== null) {
    const { askedAt, left, stop } = s.answer;
    const from = has('counted from the question') ? askedAt : t;
    const grants = !stop || !has('no grant with a stop');
    const grantUntil = grants ? Math.max(s.grantUntil, from + left) : s.grantUntil;
    to.push({
      ...s,
      answer: null,
      grantUntil,
      leaseUntil: Math.max(s.leaseUntil, s.runs ? askedAt + LEASE : 0),
      runs: s.runs && !stop,
    });
    // Or it comes no further than to the holder, or never.
    to.push({ ...s, answer: null, grantUntil }, { ...s, answer: null });
  }
  if (cancels && s.cancelled === null) to.push({ ...s, cancelled: t });
  if (s.next === null && t - s.contact >= TTL) to.push({ ...s, next: t });
  if (cancels && s.next !== null) {
    if (t - s.next >= TTL) to.push({ ...s, next: t, nextRead: null });
    to.push({ ...s, nextRead: t });
    const mayAnswer = s.nextRead === null ? !has('reads before it answers') : t - s.nextRead <= HORIZON;
    const stop = s.cancelled !== null && s.nextRead !== null && s.nextRead >= s.cancelled;
    if (s.runs && mayAnswer) to.push({ ...s, leaseUntil: Math.max(s.leaseUntil, t + LEASE), runs: !stop });
  }
  if (!cancels) {
    const wait = (has('the next leader waits') ? HORIZON : 0) + LEASE;
    if (s.next !== null && t > s.next + wait) to.push({ ...s, again: true });
    if (s.next === null && t > s.counted + LEASE) to.push({ ...s, again: true });
  }
  return to;
}

function broken(s: State): string | null {
  if (s.again && s.runs) return 'ran_twice';
  if (s.cancelled !== null && s.runs && s.t > s.cancelled + CANCEL) return 'ran_cancelled';
  return null;
}

/** Explores everything that can happen; the rules broken, and how many states there are. */
export function explore(without: Guard | null): Explored {
  // The two rules are looked for apart: what breaks one needs nothing of what breaks the other.
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
  const seen = new Set([JSON.stringify(START)]);
  const open: State[] = [START];
  const rules = new Set<string>();
  for (let s = open.pop(); s !== undefined; s = open.pop()) {
    for (const n of steps(s, without, cancels)) {
      const key = JSON.stringify(n);
      if (seen.has(key)) continue;
      seen.add(key);
      const rule = broken(n);
      // What follows a broken rule says nothing more, nor what follows the task's end.
      if (rule !== null) rules.add(rule);
      // With a guard taken out the first break is all that is asked for.
      if (rule !== null && without !== null) return { rules, states: seen.size };
      if (rule !== null) continue;
      if (n.runs && !n.again) open.push(n);
    }
  }
  return { rules, states: seen.size };
}
