/**
 * Decides whether missing heartbeats are caused by the leader's own network, so that it should resign rather than
 * release machines.
 *
 * @module
 */
import type { MonotonicMs } from '@spurbridge/net';
import type { LeaderTerm } from '../leadership/leader-term.js';
import { maxHeartbeatIntervalMs } from '../settings.js';

/** Minimum number of silent machines for the verdict that the leader is isolated. */
const MIN_SILENT_MACHINES = 3;
/** If this share of the machines has been silent for this long, the leader's own network is the likely cause. */
const MASS_SILENCE_SHARE = 0.5;
const MASS_SILENCE_MS = 1500;

/** Minimum number of workers that send heartbeats directly to this node, for conclusions from their silence. */
const MIN_DIRECT_WORKERS = 10;
/**
 * The direct workers count as silent after this time, and after this many average intervals between any two of their
 * heartbeats.
 */
const NO_HEARTBEAT_MS = 2000;
const NO_HEARTBEAT_INTERVALS = 12;
/**
 * Minimum number of failed direct calls. They are required as well, because the workers may all have switched to other
 * nodes.
 */
const MIN_FAILED_CALLS = 3;

/** The conclusion from silent machines. */
export type IsolationVerdict =
  /** The silence is treated as a failure of the machines. */
  | { readonly kind: 'connected' }
  /** The cause may be this node's network: machines must not be considered failed yet. */
  | { readonly kind: 'undecided' }
  /** The cause is probably this node's network: another node should lead. */
  | { readonly kind: 'isolated'; readonly reason: string };

/** Monitors the heartbeats of all machines together, as opposed to those of single machines. */
export class LeaderIsolationDetector {
  private massSilenceSince: MonotonicMs | null = null;
  private wasWithoutHeartbeats = false;

  constructor(private readonly term: LeaderTerm) {}

  /** Evaluates the numbers of silent and of ready machines; to be called at regular intervals. */
  evaluate(silentCount: number, readyCount: number, now: MonotonicMs): IsolationVerdict {
    if (this.receivesNoHeartbeats(now))
      return { kind: 'isolated', reason: 'no heartbeats reach this node and direct calls to workers fail' };
    const isMassSilence =
      silentCount >= MIN_SILENT_MACHINES && silentCount >= (silentCount + readyCount) * MASS_SILENCE_SHARE;
    if (!isMassSilence) {
      this.massSilenceSince = null;
      return { kind: 'connected' };
    }
    this.massSilenceSince ??= now;
    if (now - this.massSilenceSince < MASS_SILENCE_MS) return { kind: 'undecided' };
    if (this.term.context.leadership.canResign())
      return {
        kind: 'isolated',
        reason: 'most machines are silent, possibly because of a fault of this node',
      };
    return { kind: 'connected' };
  }

  /**
   * Whether no heartbeat arrives from any of the many workers that send theirs directly to this node. It could then not
   * start any task, even if other nodes still forward heartbeats. Workers are independent of each other, so only a
   * fault of this node silences hundreds of them within a second or two; there is no need to wait for the timeout of
   * each.
   */
  private receivesNoHeartbeats(now: MonotonicMs): boolean {
    const { settings, leadership, directWorkers } = this.term.context;
    const { size, lastHeartbeatAt } = directWorkers();
    const intervalMs = maxHeartbeatIntervalMs(settings);
    const silenceMs = now - Math.max(lastHeartbeatAt ?? now, this.term.electedAt);
    const areDirectWorkersSilent =
      size >= MIN_DIRECT_WORKERS &&
      silenceMs > Math.max(NO_HEARTBEAT_MS, (intervalMs / Math.max(1, size)) * NO_HEARTBEAT_INTERVALS);
    // Workers that used this node before its election may have switched to other nodes since.
    const isNewLeader = now - this.term.electedAt < intervalMs + NO_HEARTBEAT_MS;
    const { workerReachability } = this.term;
    const isWithoutHeartbeats =
      !isNewLeader &&
      areDirectWorkersSilent &&
      workerReachability.isUnreachable(MIN_FAILED_CALLS, NO_HEARTBEAT_MS);
    // Required twice in a row, because heartbeats that arrived while this process was stalled are read between two
    // evaluations.
    const isConfirmed = isWithoutHeartbeats && this.wasWithoutHeartbeats;
    this.wasWithoutHeartbeats = isWithoutHeartbeats;
    return isConfirmed && leadership.canResign();
  }
}
