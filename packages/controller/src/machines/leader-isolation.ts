/**
 * Decides whether missing heartbeats are the fault of the leader's own network, so that it should resign rather
 * than release machines.
 *
 * @module
 */
import type { MonotonicMs } from '@spurbridge/net';
import type { LeaderTerm } from '../leadership/leader-term.js';
import { maxHeartbeatIntervalMs } from '../settings.js';

/** Of fewer silent machines than this nothing is concluded. */
const MIN_SILENT_MACHINES = 3;
/** Silence of this share of the machines points at the leader's own network, once it has lasted for so long. */
const MASS_SILENCE_SHARE = 0.5;
const MASS_SILENCE_MS = 1500;

/** Of fewer workers that send their heartbeats to this node itself nothing is concluded. */
const MIN_DIRECT_WORKERS = 10;
/** None of them was heard of for this long, and for so many usual intervals between two heartbeats of any. */
const NO_HEARTBEAT_MS = 2000;
const NO_HEARTBEAT_INTERVALS = 12;
/** The workers may all have gone to other nodes: so many direct calls to machines must have failed as well. */
const MIN_FAILED_CALLS = 3;

/** What is to be done about silent machines. */
export type IsolationVerdict =
  /** The silence is the machines' own. */
  | { readonly kind: 'connected' }
  /** The fault may be this node's: nothing is to be concluded about the machines yet. */
  | { readonly kind: 'undecided' }
  /** The fault is probably this node's: another node should lead. */
  | { readonly kind: 'isolated'; readonly reason: string };

/** Watches over heartbeats as a whole, in contrast to those of single machines. */
export class LeaderIsolationDetector {
  private massSilenceSince: MonotonicMs | null = null;
  private wasWithoutHeartbeats = false;

  constructor(private readonly term: LeaderTerm) {}

  /** Judges the machines that are silent at present and those that are heard of; called at regular intervals. */
  evaluate(silentCount: number, readyCount: number, now: MonotonicMs): IsolationVerdict {
    if (this.hearsNoWorker(now)) return { kind: 'isolated', reason: 'no worker is heard: the fault is here' };
    const isMassSilence =
      silentCount >= MIN_SILENT_MACHINES && silentCount >= (silentCount + readyCount) * MASS_SILENCE_SHARE;
    if (!isMassSilence) {
      this.massSilenceSince = null;
      return { kind: 'connected' };
    }
    this.massSilenceSince ??= now;
    if (now - this.massSilenceSince < MASS_SILENCE_MS) return { kind: 'undecided' };
    if (this.term.context.leadership.canResign())
      return { kind: 'isolated', reason: 'most machines are silent: the fault may be here' };
    return { kind: 'connected' };
  }

  /**
   * Whether none of the many workers is heard of that send their heartbeats to this node itself. It could then tell
   * nobody to start anything, though other nodes forward what their workers say. The workers are independent of each
   * other, so that hundreds of them fall silent within a second or two only for a fault of this node: it need not wait
   * for each of them to time out.
   */
  private hearsNoWorker(now: MonotonicMs): boolean {
    const { settings, leadership, directWorkers } = this.term.context;
    const { size, lastAt } = directWorkers();
    const intervalMs = maxHeartbeatIntervalMs(settings);
    const quietMs = now - Math.max(lastAt ?? now, this.term.electedAt);
    const isQuiet =
      size >= MIN_DIRECT_WORKERS &&
      quietMs > Math.max(NO_HEARTBEAT_MS, (intervalMs / Math.max(1, size)) * NO_HEARTBEAT_INTERVALS);
    // Workers that knew this node before it led may have gone elsewhere since.
    const isNewLeader = now - this.term.electedAt < intervalMs + NO_HEARTBEAT_MS;
    const { workerReachability } = this.term;
    const isWithoutHeartbeats =
      !isNewLeader && isQuiet && workerReachability.isUnreachable(MIN_FAILED_CALLS, NO_HEARTBEAT_MS);
    // Twice in a row: heartbeats that came while this process was held up are read between two evaluations.
    const isConfirmed = isWithoutHeartbeats && this.wasWithoutHeartbeats;
    this.wasWithoutHeartbeats = isWithoutHeartbeats;
    return isConfirmed && leadership.canResign();
  }
}
