/**
 * Injects faults into messages and machines of a simulated environment while they are enabled.
 *
 * @module
 */
import type { MachineId } from '@spurbridge/wire';

/** Delay of a transaction that is executed without a response, in milliseconds. */
const WRITE_DELAY_MS = { min: 2000, max: 12_000 };
/** Minimum delay of a duplicated heartbeat in milliseconds, and the maximum in worker leases. */
const MIN_DUPLICATE_DELAY_MS = 2000;
const MAX_DUPLICATE_DELAY_LEASES = 1.5;
/** Maximum delay of a direct command, and of its response, in milliseconds. */
const MAX_COMMAND_DELAY_MS = 9000;
/**
 * Minimum delay after which a request that was executed and answered arrives again, in milliseconds, and the maximum in
 * worker leases, which is more than the time that a cancelled task has to end.
 */
const MIN_REPEAT_DELAY_MS = 2000;
const MAX_REPEAT_DELAY_LEASES = 3;
/** Maximum boot time under fast boots, in milliseconds. */
const FAST_BOOT_MS = 1900;
/** Shares are compared with random numbers in thousandths. */
const SHARE_RESOLUTION = 1000;

/** Faults that affect a share of the messages or events, and are counted. */
export type CountedFault =
  | 'delayedWrites'
  | 'lostResponses'
  | 'duplicateHeartbeats'
  | 'replayedHeartbeats'
  | 'delayedCommands'
  | 'repeatedCommands'
  | 'repeatedWrites'
  | 'cancellationsAtCompletion'
  | 'pollBursts';

/** Delays of a direct command and of its response, in milliseconds. */
export interface CommandDelay {
  readonly requestMs: number;
  readonly responseMs: number;
}

/** Decides which messages are affected by which faults. No random number is drawn for a disabled fault. */
export class FaultInjector {
  /** Share of transactions that get no response and are executed late, after newer ones of the same node. */
  delayedWrites = 0;
  /** Share of transactions that are executed at once, but whose response is lost. */
  lostResponses = 0;
  /**
   * Maximum additional delay of each request to the key-value store and of each response, in milliseconds.
   */
  storeLatencyMs = 0;
  /** Whether new machines are up within two seconds. */
  fastBoots = false;
  /** Share of heartbeats that are copied; the copies are sent to every node when the next leader begins. */
  replayedHeartbeats = 0;
  /** Share of ending jobs that are cancelled at that moment. */
  cancellationsAtCompletion = 0;
  /** Share of changes of a reported status after which the user polls all nodes within milliseconds. */
  pollBursts = 0;
  /** Share of heartbeats that are duplicated, with the duplicate arriving late. */
  duplicateHeartbeats = 0;
  /** Share of direct commands that are delayed, in either direction. */
  delayedCommands = 0;
  /** Share of executed direct commands of which a copy arrives later, whose response nobody receives. */
  repeatedCommands = 0;
  /** Share of executed and answered transactions of which a copy arrives later. */
  repeatedWrites = 0;
  /** Machines that cannot reach any controller, though direct commands reach them. */
  readonly outboundPartitioned = new Set<MachineId>();
  /** Machines whose heartbeats arrive, but to which responses and direct commands are lost. */
  readonly inboundPartitioned = new Set<MachineId>();
  /** Machines to which the responses to their heartbeats arrive late, with the delay in milliseconds. */
  readonly responseDelaysMs = new Map<MachineId, number>();
  /** The number of injected faults of each kind. */
  readonly counts: Record<CountedFault, number> = {
    delayedWrites: 0,
    lostResponses: 0,
    duplicateHeartbeats: 0,
    replayedHeartbeats: 0,
    delayedCommands: 0,
    repeatedCommands: 0,
    repeatedWrites: 0,
    cancellationsAtCompletion: 0,
    pollBursts: 0,
  };

  constructor(
    private readonly random: (below: number) => number,
    private readonly leaseMs: number,
  ) {}

  /** Whether this message or event is affected; if so, the fault is counted. */
  shouldInject(kind: CountedFault): boolean {
    // Nothing is drawn for a disabled fault, so that runs without it keep their random sequence.
    if (this[kind] <= 0 || this.random(SHARE_RESOLUTION) >= this[kind] * SHARE_RESOLUTION) return false;
    this.counts[kind] += 1;
    return true;
  }

  /**
   * The delay after which this transaction is executed without a response, in milliseconds; null if it is not
   * affected.
   */
  writeDelayMs(): number | null {
    const { min, max } = WRITE_DELAY_MS;
    return this.shouldInject('delayedWrites') ? min + this.random(max - min) : null;
  }

  /** Whether only the response to this transaction is lost. */
  losesResponse(): boolean {
    return this.shouldInject('lostResponses');
  }

  /** The additional delay of one message to or from the key-value store, in milliseconds. */
  storeMessageDelayMs(): number {
    return this.storeLatencyMs > 0 ? this.random(this.storeLatencyMs) : 0;
  }

  /** The boot time of a machine whose usual boot time is `usualMs`. */
  bootMs(usualMs: number): number {
    return this.fastBoots ? this.random(FAST_BOOT_MS) : usualMs;
  }

  /** The delay of a duplicate of this heartbeat, in milliseconds; null if there is none. */
  duplicateHeartbeatDelayMs(): number | null {
    if (!this.shouldInject('duplicateHeartbeats')) return null;
    const max = this.leaseMs * MAX_DUPLICATE_DELAY_LEASES;
    return MIN_DUPLICATE_DELAY_MS + this.random(max - MIN_DUPLICATE_DELAY_MS);
  }

  /** The delay after which a copy of this executed command arrives, in milliseconds; null if there is none. */
  commandRepeatDelayMs(): number | null {
    return this.repeatDelayMs('repeatedCommands');
  }

  /** The delay after which a copy of this executed transaction arrives, in milliseconds; null if there is none. */
  writeRepeatDelayMs(): number | null {
    return this.repeatDelayMs('repeatedWrites');
  }

  /** The delays of a direct command and of its response, in milliseconds. */
  commandDelayMs(): CommandDelay {
    if (!this.shouldInject('delayedCommands')) return { requestMs: 0, responseMs: 0 };
    const ms = this.random(MAX_COMMAND_DELAY_MS);
    return this.random(2) === 0 ? { requestMs: ms, responseMs: 0 } : { requestMs: 0, responseMs: ms };
  }

  private repeatDelayMs(kind: 'repeatedCommands' | 'repeatedWrites'): number | null {
    if (!this.shouldInject(kind)) return null;
    const max = this.leaseMs * MAX_REPEAT_DELAY_LEASES;
    return MIN_REPEAT_DELAY_MS + this.random(max - MIN_REPEAT_DELAY_MS);
  }
}
