import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ProcessClock, SimTime } from '@spurbridge/testkit';
import type { FencingToken, LeaseId, NodeId, Revision } from '@spurbridge/wire';
import type { KeyValueStore } from '../src/index.js';
import { Leadership, TermTokens } from '../src/index.js';

/** What `runLeader` observed of the simulated leader. */
interface LeadershipRun {
  /** Number of transitions to the state `holding`. */
  readonly holdingCount: number;
  readonly holdsValidLease: boolean;
}

/** The revision of the commit that elects the simulated leader. */
const ELECTION = 7;
/** Long enough for a token to become known to the other nodes. */
const ANNOUNCED_MS = 2000;

const token = (value: number): FencingToken => value as FencingToken;

/** A leadership with a simulated store, and what was observed of it. */
interface Observed {
  readonly time: SimTime;
  readonly store: { generation: number };
  readonly leadership: Leadership;
  holdingCount: number;
}

/** Starts a node that is elected at once, with a store that responds to each renewal after `renewalMs`. */
function startLeader(renewalMs: number): Observed {
  const time = new SimTime();
  const clock = new ProcessClock(time, 1, 0);
  const store = {
    isTrusted: true,
    generation: 0,
    fencingTokenOf: (version: number) => version,
    read: () => Promise.resolve({ outcome: 'absent' as const }),
    grantLease: () => Promise.resolve({ outcome: 'granted' as const, lease: 1 as LeaseId }),
    commit: () => Promise.resolve({ outcome: 'committed' as const, revision: ELECTION as Revision }),
    renewLease: async () => {
      await clock.sleep(renewalMs);
      return { outcome: 'renewed' as const };
    },
    revokeLease: () => Promise.resolve(),
  };
  const leadership = new Leadership(store as unknown as KeyValueStore, clock, 'spur-0' as NodeId, 'a', {
    onElected: () => undefined,
    onLeaseConfirmedAgain: () => undefined,
    onDeposed: () => undefined,
    log: (_message, fields) => {
      if (fields['to'] === 'holding') observed.holdingCount += 1;
    },
  });
  const observed: Observed = { time, store, leadership, holdingCount: 0 };
  // A timer every 100 ms, so that the simulated time also advances between other events.
  const tick = (): void => {
    time.after(100, tick);
  };
  tick();
  void leadership.run();
  return observed;
}

/** Runs a leader for `durationMs` with a store that responds to each renewal after `renewalMs`. */
async function runLeader(renewalMs: number, durationMs: number): Promise<LeadershipRun> {
  const observed = startLeader(renewalMs);
  await observed.time.runUntil(durationMs);
  return { holdingCount: observed.holdingCount, holdsValidLease: observed.leadership.holdsValidLease() };
}

test('a renewal whose response is late confirms the lease from when it was sent', async () => {
  assert.deepEqual(await runLeader(5, 20_000), { holdingCount: 0, holdsValidLease: true });
  assert.deepEqual(await runLeader(1200, 20_000), { holdingCount: 0, holdsValidLease: true });
});

test('a renewal whose response arrives after the lease has expired does not make the lease valid again', async () => {
  const { holdsValidLease } = await runLeader(3500, 20_000);
  assert.equal(holdsValidLease, false);
});

test('a token of a confirmed commit may be issued once the other nodes have had time to learn of it', async () => {
  const time = new SimTime();
  const tokens = new TermTokens(new ProcessClock(time, 1, 0), token(ELECTION));
  tokens.recordCommit(token(9));
  await time.runUntil(ANNOUNCED_MS - 1);
  tokens.recordCommit(token(12));
  assert.deepEqual([tokens.issuable, tokens.latest], [ELECTION, 12]);
  await time.runUntil(ANNOUNCED_MS);
  assert.equal(tokens.issuable, 9);
  tokens.recordCommit(token(8));
  await time.runUntil(2 * ANNOUNCED_MS);
  assert.deepEqual([tokens.issuable, tokens.latest], [12, 12]);
});

test('a leader steps down on a token above those of its term, but not on a later token of its own', async () => {
  const { time, leadership } = startLeader(5);
  await time.runUntil(1000);
  leadership.recordCommit(20 as Revision);
  leadership.observeToken(token(20));
  assert.equal(leadership.state, 'leading');
  assert.deepEqual(leadership.knownLeader(), { fencingToken: ELECTION, latestToken: 20, node: 'spur-0' });
  leadership.observeToken(token(21));
  assert.equal(leadership.state, 'following');
  assert.equal(leadership.knownLeader(), null);
});

// Revisions may repeat after a loss of data, so that such a token could exceed those of the next leader.
test('a commit that is confirmed after the store may have lost data gives no token', async () => {
  const { time, store, leadership } = startLeader(5);
  await time.runUntil(1000);
  store.generation = 1;
  leadership.recordCommit(20 as Revision);
  await time.runUntil(1000 + ANNOUNCED_MS);
  assert.equal(leadership.issuableToken, ELECTION);
});

test('a node still knows its leader when workers show later tokens of the term, but not when they show a higher one', () => {
  const { leadership } = startLeader(5);
  const leader = { fencingToken: token(30), latestToken: token(30), node: 'spur-1' as NodeId };
  leadership.observeLeader(leader);
  leadership.observeLeader({ ...leader, latestToken: token(40) });
  // An older status of the same leader.
  leadership.observeLeader(leader);
  leadership.observeToken(token(40));
  assert.deepEqual(leadership.knownLeader(), { ...leader, latestToken: 40 });
  leadership.observeLeader({ fencingToken: token(25), latestToken: token(50), node: 'spur-2' as NodeId });
  assert.equal(leadership.knownLeader()?.node, 'spur-1');
  leadership.observeToken(token(41));
  assert.equal(leadership.knownLeader(), null);
});
