/**
 * The steps of the model: the possible transitions of controllers, machines, messages and the store.
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

/** A step of the model: its description, and the state that it leads to. */
export type Step = [description: string, state: ModelState];

/** Maximum number of messages in transit. */
const MAX_MESSAGES = 2;
const MACHINES = [1, 2];
/** Fence of a store that was rolled back; it differs from the fence of every epoch. */
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
  return [`node ${index} is elected with token ${token}`, next];
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
      yield* writeSteps(
        guards,
        state,
        index,
        machine,
        `node ${index} writes a placement on machine ${machine}`,
      );
  if (term.placedOn !== 0 && term.isDurable) {
    if (isKnownToHaveStopped(state, term))
      yield* writeSteps(guards, state, index, 0, `node ${index} clears the placement`);
    if (!isStartInTransit(state, term) && state.messages.length < MAX_MESSAGES && term.isReconciled)
      yield startStep(state, index, term);
  }
  if (!term.isReconciled) {
    const next = structuredClone(state);
    reconcile(next, index);
    yield [`node ${index} reconciles`, next];
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
  return [`node ${index} sends a start command to machine ${term.placedOn}`, next];
}

/** A write by the leader, which is either confirmed immediately, or applied late or never without a response. */
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
    // A task that is known to have stopped is not started again, even if the store has not received the write.
    if (machine === 0) (late.controllers[index].term as LeaderTerm).isDurable = false;
    yield [`${description}, without a response`, late];
  }
}

/** A controller detects the loss: it joins a later epoch if there is one, otherwise it moves the fence to a new one. */
function recoveryStep(guards: Guards, state: ModelState, index: ControllerIndex): Step {
  const next = structuredClone(state);
  if (state.store.fence > state.controllers[index].fence) joinEpoch(next, index);
  else moveFence(guards, next, index);
  return [`node ${index} recovers the store`, next];
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
    yield [`a ${message.kind} message arrives`, next];
  }
}

function* machineSteps(state: ModelState): Generator<Step> {
  for (const [position, { runsTask }] of state.machines.entries()) {
    if (!runsTask) continue;
    const next = structuredClone(state);
    for (const machine of next.machines.slice(position, position + 1)) machine.runsTask = false;
    yield [`the task exits on machine ${position + 1}`, next];
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
  // A store that was rolled back still has the fence of the epoch, but its lower revision reveals the loss. The model
  // represents that by a different fence.
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

/** Returns whether the machine reported under this token that the task is not running, and no start is in transit. */
function isKnownToHaveStopped(state: ModelState, term: LeaderTerm): boolean {
  const machine = state.machines[term.placedOn - 1];
  return machine?.runsTask === false && machine.token === term.token && !isStartInTransit(state, term);
}

function isStartInTransit(state: ModelState, term: LeaderTerm): boolean {
  return state.messages.some(
    (message) =>
      message.kind === 'start' && message.token === term.token && message.machine === term.placedOn,
  );
}
