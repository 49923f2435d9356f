/**
 * The steps of the model: what controllers, machines, messages and the store can do next.
 *
 * @module
 */
import type {
  CommitMessage,
  ControllerIndex,
  ControllerState,
  Guards,
  LeaderTerm,
  ModelState,
  StoreState,
} from './model-state.js';
import { reliesOnLease } from './model-state.js';
import { joinEpoch, moveFence, reconcile } from './recovery-steps.js';

/** A step of the model: what happens, and the state that it leads to. */
export type Step = [description: string, state: ModelState];

/** Messages on their way at the same time. */
const MAX_MESSAGES = 2;
const MACHINES = [1, 2];
/** Fence of a store that was rolled back: not that of any epoch. */
const ROLLED_BACK_FENCE = -1;

/** Returns all steps that are possible in a state. */
export function* possibleSteps(guards: Guards, state: ModelState): Generator<Step> {
  for (const index of [0, 1] as const)
    if (state.controllers[index].isAlive) yield* controllerSteps(guards, state, index);
  yield* messageSteps(guards, state);
  yield* machineSteps(state);
  yield* lossSteps(state);
}

function* controllerSteps(guards: Guards, state: ModelState, index: ControllerIndex): Generator<Step> {
  const controller = state.controllers[index];
  const isCurrent = controller.fence === state.store.fence;
  if (state.store.leaderVersion === 0 && isCurrent && controller.term === null)
    yield electionStep(guards, state, index);
  if (controller.term !== null && reliesOnLease(guards, state, controller))
    yield* leaderSteps(guards, state, index, controller.term);
  if (!isCurrent && state.lossesLeft === 0) yield recoveryStep(guards, state, index);
  if (state.crashesLeft > 0) yield crashStep(state, index);
}

function electionStep(guards: Guards, state: ModelState, index: ControllerIndex): Step {
  const next = structuredClone(state);
  const { store } = next;
  const controller = next.controllers[index];
  store.revision += 1;
  store.leaderVersion = store.revision;
  const token = store.tokenFloor + store.revision;
  controller.term = {
    token,
    version: store.leaderVersion,
    placedOn: store.record[0],
    recordVersion: store.record[1],
    isDurable: store.record[0] !== 0,
    isReconciled: !guards.reconciles || (controller.isContinuous && store.isContinuous),
  };
  controller.replica = [...store.record];
  next.issuedTokens.push(token);
  next.lastToken = token;
  return [`node ${index} leads with ${token}`, next];
}

function* leaderSteps(
  guards: Guards,
  state: ModelState,
  index: ControllerIndex,
  term: LeaderTerm,
): Generator<Step> {
  if (state.crashesLeft > 0 || state.lossesLeft === 0) yield stepDownStep(state, index, term);
  if (term.isReconciled && term.placedOn === 0)
    for (const machine of MACHINES)
      yield* writeSteps(guards, state, index, machine, `node ${index} places on ${machine}`);
  if (term.placedOn !== 0 && term.isDurable) {
    if (isKnownToBeGone(state, term)) yield* writeSteps(guards, state, index, 0, `node ${index} clears`);
    if (!isStarting(state, term) && state.messages.length < MAX_MESSAGES && term.isReconciled)
      yield startStep(state, index, term);
  }
  if (!term.isReconciled) {
    const next = structuredClone(state);
    reconcile(next, index);
    yield [`node ${index} settles`, next];
  }
}

/** The lease ends, or the leader resigns. */
function stepDownStep(state: ModelState, index: ControllerIndex, term: LeaderTerm): Step {
  const next = structuredClone(state);
  const isCurrent = state.controllers[index].fence === state.store.fence;
  next.controllers[index].term = null;
  if (next.store.leaderVersion === term.version && isCurrent) next.store.leaderVersion = 0;
  return [`node ${index} steps down`, next];
}

function startStep(state: ModelState, index: ControllerIndex, term: LeaderTerm): Step {
  const next = structuredClone(state);
  next.messages.push({ kind: 'start', token: term.token, machine: term.placedOn });
  return [`node ${index} starts on ${term.placedOn}`, next];
}

/** A write of the leader's: confirmed at once, or without a response and possibly late. */
function* writeSteps(
  guards: Guards,
  state: ModelState,
  index: ControllerIndex,
  machine: number,
  description: string,
): Generator<Step> {
  const controller = state.controllers[index];
  const commit = commitOf(controller, controller.term as LeaderTerm, machine);
  if (isAccepted(guards, state.store, commit)) {
    const next = structuredClone(state);
    const term = next.controllers[index].term as LeaderTerm;
    applyCommit(next.store, commit);
    term.placedOn = machine;
    term.recordVersion = next.store.revision;
    term.isDurable = machine !== 0;
    next.controllers[index].replica = [machine, next.store.revision];
    yield [description, next];
  }
  if (state.messages.length < MAX_MESSAGES) {
    const late = structuredClone(state);
    late.messages.push(commit);
    // What is known to be gone is not started again, whether the store has received the write or not.
    if (machine === 0) (late.controllers[index].term as LeaderTerm).isDurable = false;
    yield [`${description}, without an answer`, late];
  }
}

/** A controller notices the loss: it joins the epoch that is there, or moves the fence where there is none. */
function recoveryStep(guards: Guards, state: ModelState, index: ControllerIndex): Step {
  const next = structuredClone(state);
  if (state.store.fence > state.controllers[index].fence) joinEpoch(next, index);
  else moveFence(guards, next, index);
  return [`node ${index} rebuilds`, next];
}

function crashStep(state: ModelState, index: ControllerIndex): Step {
  const next = structuredClone(state);
  next.crashesLeft -= 1;
  next.controllers[index] = {
    ...next.controllers[index],
    isAlive: false,
    term: null,
    replica: [0, 0],
    isContinuous: false,
  };
  return [`node ${index} crashes`, next];
}

function* messageSteps(guards: Guards, state: ModelState): Generator<Step> {
  for (const [position, message] of state.messages.entries()) {
    const next = structuredClone(state);
    next.messages.splice(position, 1);
    if (message.kind === 'commit') {
      if (!isAccepted(guards, next.store, message)) continue;
      applyCommit(next.store, message);
    } else {
      const machine = next.machines[message.machine - 1];
      if (machine === undefined || message.token < machine.token) continue;
      machine.token = message.token;
      machine.runsTask = true;
    }
    yield [`a late ${message.kind} arrives`, next];
  }
}

function* machineSteps(state: ModelState): Generator<Step> {
  for (const [position, { runsTask }] of state.machines.entries()) {
    if (!runsTask) continue;
    const next = structuredClone(state);
    for (const machine of next.machines.slice(position, position + 1)) machine.runsTask = false;
    yield [`the task exits on ${position + 1}`, next];
  }
}

function* lossSteps(state: ModelState): Generator<Step> {
  if (state.lossesLeft === 0) return;
  const emptied = structuredClone(state);
  emptied.lossesLeft -= 1;
  emptied.store = {
    revision: 0,
    fence: 0,
    fenceVersion: 0,
    tokenFloor: 0,
    leaderVersion: 0,
    record: [0, 0],
    isContinuous: true,
  };
  yield ['the store is emptied', emptied];
  const rolledBack = structuredClone(state);
  rolledBack.lossesLeft -= 1;
  // The fence is the same, but what was written since is gone; the revision shows that.
  rolledBack.store = { ...structuredClone(state.backup), fence: ROLLED_BACK_FENCE };
  yield ['the store is rolled back', rolledBack];
}

function commitOf(controller: ControllerState, term: LeaderTerm, machine: number): CommitMessage {
  return {
    kind: 'commit',
    fence: controller.fence,
    fenceVersion: controller.fenceVersion,
    leaderVersion: term.version,
    recordVersion: term.recordVersion,
    machine,
  };
}

function isAccepted(guards: Guards, store: StoreState, commit: CommitMessage): boolean {
  const isFenceCurrent = guards.uniqueFenceNames
    ? store.fence === commit.fence
    : store.fenceVersion === commit.fenceVersion;
  return (
    (!guards.fencing || isFenceCurrent) &&
    store.leaderVersion === commit.leaderVersion &&
    store.record[1] === commit.recordVersion
  );
}

function applyCommit(store: StoreState, commit: CommitMessage): void {
  store.revision += 1;
  store.record = [commit.machine, store.revision];
}

/** The machine itself has said under this token that the task is not there, and no older start can arrive. */
function isKnownToBeGone(state: ModelState, term: LeaderTerm): boolean {
  const machine = state.machines[term.placedOn - 1];
  return machine?.runsTask === false && machine.token === term.token && !isStarting(state, term);
}

function isStarting(state: ModelState, term: LeaderTerm): boolean {
  return state.messages.some(
    (message) =>
      message.kind === 'start' && message.token === term.token && message.machine === term.placedOn,
  );
}
