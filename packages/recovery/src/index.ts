export { GuardedStore } from './guard.js';
export type { GuardParts, SnapshotShelf } from './guard.js';
export { Copy } from './copy.js';
export { merge } from './merge.js';
export type { Memory } from './merge.js';
export type { SoundnessState } from './soundness.js';
export * from './epoch.js';
export * from './pages.js';
