/**
 * The steps of the model's controllers after a loss: recovery of the store, and reconciliation with the machines.
 *
 * @module
 */
import type { ControllerIndex, Guards, LeaderTerm, ModelState, TaskRecord } from './model-state.js';

/** Increase of the token floor per epoch, larger than the number of tokens that an epoch of the model issues. */
const TOKEN_FLOOR_RISE = 100;

/** The leader receives the state of every machine under its token, and replaces the record with what they report. */
export function reconcile(state: ModelState, index: ControllerIndex): void {
  const term = state.controllers[index].term as LeaderTerm;
  for (const machine of state.machines) machine.token = Math.max(machine.token, term.token);
  const runningOn = state.machines.findIndex((machine) => machine.runsTask) + 1;
  if (runningOn !== term.placedOn) {
    term.placedOn = runningOn;
    state.store.revision += 1;
    state.store.record = [runningOn, state.store.revision];
    term.recordVersion = state.store.revision;
    state.controllers[index].replica = [...state.store.record];
  }
  term.isDurable = term.placedOn !== 0;
  term.isReconciled = true;
  for (const controller of state.controllers) controller.isContinuous = controller.isAlive;
  state.store.isContinuous = true;
}

/** A controller joins the epoch that the store is in. */
export function joinEpoch(state: ModelState, index: ControllerIndex): void {
  const controller = state.controllers[index];
  controller.term = null;
  controller.fence = state.store.fence;
  controller.fenceVersion = state.store.fenceVersion;
  controller.replica = [...state.store.record];
  controller.isContinuous = state.store.isContinuous;
}

/** A controller moves the fence to a new epoch; the replicas of all running controllers are merged into it. */
export function moveFence(guards: Guards, state: ModelState, index: ControllerIndex): void {
  const alive = structuredClone(state.controllers).filter((controller) => controller.isAlive);
  const { store } = state;
  state.fenceCount += 1;
  store.revision += 1;
  store.fence = state.fenceCount;
  store.fenceVersion = store.revision;
  store.tokenFloor = guards.risingTokenFloors ? state.lastToken + TOKEN_FLOOR_RISE : 0;
  store.leaderVersion = 0;
  const newest = newestRecord(alive.map((controller) => controller.replica));
  if (guards.mergesReplicas && newest[1] > 0 && newest[0] !== store.record[0]) {
    store.revision += 1;
    store.record = [newest[0], store.revision];
  }
  const lastLeader = alive.find((controller) => controller.term?.token === state.lastToken);
  store.isContinuous = state.lastToken === 0 || lastLeader?.isContinuous === true;
  joinEpoch(state, index);
  // Before the epoch opens, the other controller has written its marker or its lease has expired.
  if (guards.waitsForLeases) for (const controller of state.controllers) controller.term = null;
}

function newestRecord(records: readonly TaskRecord[]): TaskRecord {
  return records.reduce((newest, record) => (record[1] > newest[1] ? record : newest), [0, 0]);
}
