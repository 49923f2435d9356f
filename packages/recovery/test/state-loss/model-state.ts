/**
 * State of a small model of recovery from state loss (docs/state-loss.md): one task, two machines, two controllers and
 * a key-value store that is emptied or rolled back once. Every message may be delayed indefinitely.
 *
 * @module
 */

/** Guards of the protocol. Each can be disabled to show that it is needed. */
export interface Guards {
  /** Commits compare the fence. */
  readonly fencing: boolean;
  /** The fence is identified by a name that is never reused, not by its version. */
  readonly uniqueFenceNames: boolean;
  /** An epoch opens only when no controller can still rely on an earlier lease. */
  readonly waitsForLeases: boolean;
  /** A leader reconciles records with machines if replicas may be incomplete. */
  readonly reconciles: boolean;
  /** Token floors rise with every epoch. */
  readonly risingTokenFloors: boolean;
  /** The replicas of running controllers are merged into a new epoch. */
  readonly mergesReplicas: boolean;
}

/** All guards of the protocol. */
export const ALL_GUARDS: Guards = {
  fencing: true,
  uniqueFenceNames: true,
  waitsForLeases: true,
  reconciles: true,
  risingTokenFloors: true,
  mergesReplicas: true,
};

/** Index of a controller. */
export type ControllerIndex = 0 | 1;

/** The task's record: the machine that the task is placed on (0: none), and the version of the record. */
export type TaskRecord = [machine: number, version: number];

/** A controller's term as leader. */
export interface LeaderTerm {
  readonly token: number;
  /** Version of the leader record. */
  readonly version: number;
  /** Machine that the leader has placed the task on (0: none), and the version of the task's record. */
  placedOn: number;
  recordVersion: number;
  /** Whether the placement is durable, so that start commands may be sent. */
  isDurable: boolean;
  isReconciled: boolean;
}

/** The state of one controller; `term` is null unless it leads. */
export interface ControllerState {
  isAlive: boolean;
  fence: number;
  fenceVersion: number;
  term: LeaderTerm | null;
  replica: TaskRecord;
  isContinuous: boolean;
}

/** A leader's write of the task's record, with the values that it compares. */
export interface CommitMessage {
  readonly kind: 'commit';
  readonly fence: number;
  readonly fenceVersion: number;
  readonly leaderVersion: number;
  readonly recordVersion: number;
  readonly machine: number;
}

/** A leader's command to a machine to start the task. */
export interface StartMessage {
  readonly kind: 'start';
  readonly token: number;
  readonly machine: number;
}

/** A message that has not arrived yet. */
export type Message = CommitMessage | StartMessage;

/** The key-value store. */
export interface StoreState {
  revision: number;
  fence: number;
  fenceVersion: number;
  tokenFloor: number;
  leaderVersion: number;
  record: TaskRecord;
  isContinuous: boolean;
}

/** A machine, with the highest token that it has seen. */
export interface MachineState {
  token: number;
  runsTask: boolean;
}

/** State of the whole model. */
export interface ModelState {
  store: StoreState;
  /** The state that the store can be rolled back to. */
  readonly backup: StoreState;
  controllers: [ControllerState, ControllerState];
  machines: [MachineState, MachineState];
  messages: Message[];
  issuedTokens: number[];
  lastToken: number;
  fenceCount: number;
  lossesLeft: number;
  crashesLeft: number;
}

/** Returns the initial state of the model. */
export function initialState(): ModelState {
  const store: StoreState = {
    revision: 1,
    fence: 1,
    fenceVersion: 1,
    tokenFloor: 0,
    leaderVersion: 0,
    record: [0, 0],
    isContinuous: true,
  };
  return {
    store,
    backup: { ...store, record: [0, 0] },
    controllers: [initialController(), initialController()],
    machines: [
      { token: 0, runsTask: false },
      { token: 0, runsTask: false },
    ],
    messages: [],
    issuedTokens: [],
    lastToken: 0,
    fenceCount: 1,
    lossesLeft: 1,
    crashesLeft: 1,
  };
}

function initialController(): ControllerState {
  return {
    isAlive: true,
    fence: 1,
    fenceVersion: 1,
    term: null,
    replica: [0, 0],
    isContinuous: true,
  };
}

/** Returns whether a controller acts as leader under a lease that it still relies on. */
export function reliesOnLease(guards: Guards, state: ModelState, controller: ControllerState): boolean {
  if (controller.term === null) return false;
  if (!guards.waitsForLeases) return true;
  // Renewals compare fence and leader record, and an epoch opens only after the last earlier lease has expired.
  const { fence, leaderVersion } = state.store;
  return controller.fence === fence && controller.term.version === leaderVersion;
}

/** Returns whether an invariant is violated: the task runs twice, a token was issued twice, or two controllers lead. */
export function isInvariantViolated(guards: Guards, state: ModelState): boolean {
  return (
    state.machines.every((machine) => machine.runsTask) ||
    new Set(state.issuedTokens).size < state.issuedTokens.length ||
    state.controllers.every((controller) => reliesOnLease(guards, state, controller))
  );
}
