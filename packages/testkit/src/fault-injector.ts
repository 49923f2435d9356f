/**
 * Faults of messages and machines of a simulated world, for as long as they are set.
 *
 * @module
 */
import type { MachineId } from '@spurbridge/wire';

/** A transaction without a response is carried out this much later, in milliseconds. */
const WRITE_DELAY_MS = { least: 2000, most: 12_000 };
/** A duplicate of a heartbeat arrives this late at least, and this many leases later at most. */
const MIN_DUPLICATE_DELAY_MS = 2000;
const MAX_DUPLICATE_DELAY_LEASES = 1.5;
/** A direct command, or its response, is delayed by up to this. */
const MAX_COMMAND_DELAY_MS = 9000;
/** Machines that boot fast are up within this. */
const FAST_BOOT_MS = 1900;
/** Shares are drawn in thousandths. */
const SHARE_STEPS = 1000;

/** Faults that a share of messages or events has, and that are counted. */
export type CountedFault =
  | 'delayedWrites'
  | 'lostResponses'
  | 'duplicateHeartbeats'
  | 'replayedHeartbeats'
  | 'delayedCommands'
  | 'cancellationsAtCompletion'
  | 'pollBursts';

/** Delays of a direct command and of its response, in milliseconds. */
export interface CommandDelay {
  readonly there: number;
  readonly back: number;
}

/** Decides which messages have which faults. Nothing is drawn for a fault that is not set. */
export class FaultInjector {
  /** Share of transactions that get no response and are carried out late, after newer ones of the same node. */
  delayedWrites = 0;
  /** Share of transactions that are carried out at once, but of which the response is lost. */
  lostResponses = 0;
  /** Each request to the key-value store and each response of it is late by up to this, in milliseconds. */
  storeLatencyMs = 0;
  /** New machines are up within two seconds. */
  fastBoots = false;
  /** Share of heartbeats of which a copy is kept, and reaches every node as the next leader begins. */
  replayedHeartbeats = 0;
  /** Share of the jobs that end which are cancelled at that moment. */
  cancellationsAtCompletion = 0;
  /** Share of news to users after which they poll all nodes within milliseconds. */
  pollBursts = 0;
  /** Share of heartbeats of which a copy arrives again, late. */
  duplicateHeartbeats = 0;
  /** Share of direct commands that are delayed, on their way there or back. */
  delayedCommands = 0;
  /** Machines that reach no controller, while direct commands reach them. */
  readonly outboundPartitioned = new Set<MachineId>();
  /** Machines whose heartbeats arrive while responses and direct commands to them are lost. */
  readonly inboundPartitioned = new Set<MachineId>();
  /** How many of each kind came about. */
  readonly counts: Record<CountedFault, number> = {
    delayedWrites: 0,
    lostResponses: 0,
    duplicateHeartbeats: 0,
    replayedHeartbeats: 0,
    delayedCommands: 0,
    cancellationsAtCompletion: 0,
    pollBursts: 0,
  };

  constructor(
    private readonly random: (below: number) => number,
    private readonly leaseMs: number,
  ) {}

  /** Whether this message or event has the fault; it is counted if so. */
  shouldInject(kind: CountedFault): boolean {
    // Nothing is drawn where nothing is set: days without these faults go as they always did.
    if (this[kind] <= 0 || this.random(SHARE_STEPS) >= this[kind] * SHARE_STEPS) return false;
    this.counts[kind] += 1;
    return true;
  }

  /** How much later this transaction is carried out, without a response, in milliseconds; null: at once. */
  writeDelayMs(): number | null {
    const { least, most } = WRITE_DELAY_MS;
    return this.shouldInject('delayedWrites') ? least + this.random(most - least) : null;
  }

  /** Whether only the response to this transaction is lost. */
  losesResponse(): boolean {
    return this.shouldInject('lostResponses');
  }

  /** How much later one message to or from the key-value store arrives, in milliseconds. */
  storeMessageDelayMs(): number {
    return this.storeLatencyMs > 0 ? this.random(this.storeLatencyMs) : 0;
  }

  /** How long a machine takes to be up, where it usually takes `usualMs`. */
  bootMs(usualMs: number): number {
    return this.fastBoots ? this.random(FAST_BOOT_MS) : usualMs;
  }

  /** How much later a copy of this heartbeat arrives, in milliseconds; null: there is none. */
  duplicateHeartbeatDelayMs(): number | null {
    if (!this.shouldInject('duplicateHeartbeats')) return null;
    const most = this.leaseMs * MAX_DUPLICATE_DELAY_LEASES;
    return MIN_DUPLICATE_DELAY_MS + this.random(most - MIN_DUPLICATE_DELAY_MS);
  }

  /** By how much a direct command is delayed on its way, and its response on the way back. */
  commandDelayMs(): CommandDelay {
    if (!this.shouldInject('delayedCommands')) return { there: 0, back: 0 };
    const ms = this.random(MAX_COMMAND_DELAY_MS);
    return this.random(2) === 0 ? { there: ms, back: 0 } : { there: 0, back: ms };
  }
}
