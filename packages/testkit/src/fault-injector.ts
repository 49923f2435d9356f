import type { MachineId } from '@spurbridge/wire';

/** A transaction without an answer is carried out this much later, in milliseconds. */
const LATE_WRITE_MS = { least: 2000, most: 12_000 };
/** A copy of a report arrives this late at the least, and at the most so many leases later. */
const LATE_REPORT_MS = 2000;
const LATE_REPORT_LEASES = 1.5;
/** A direct command, or its answer, is held up for so long at the most. */
const HELD_COMMAND_MS = 9000;
/** Machines that are up at once are so within this, in milliseconds. */
const FAST_BOOT_MS = 1900;

/** What goes wrong for a share of messages, or for some machines, for as long as it is set. */
export class FaultInjector {
  /** Share of transactions that get no answer and are carried out late, after newer ones of the same node. */
  delayedWrites = 0;
  /** Share of transactions that are carried out at once, but of which only the answer is lost. */
  lostResponses = 0;
  /** Each request to the state service and each answer of it is late by up to so many milliseconds. */
  storeLatencyMs = 0;
  /** New machines are up within two seconds. */
  fastBoots = false;
  /** Share of workers' reports of which a copy is kept, and reaches every node as the next leader begins. */
  replayedHeartbeats = 0;
  /** Share of the jobs that end which are called off at that moment. */
  cancellationsAtCompletion = 0;
  /** Share of what users are told anew after which they look at all nodes within milliseconds. */
  pollBursts = 0;
  /** Machines that reach no controller, while direct commands reach them. */
  readonly outboundPartitioned = new Set<MachineId>();
  /** Share of workers' reports of which a copy arrives again, late. */
  duplicateHeartbeats = 0;
  /** Share of direct commands that are held up, on their way there or back. */
  delayedCommands = 0;
  /** Machines whose reports arrive while answers and direct commands to them are lost. */
  readonly inboundPartitioned = new Set<MachineId>();
  /** How many of each kind came about. */
  readonly counts = {
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

  shouldInject(kind: keyof FaultInjector['counts']): boolean {
    // Nothing is drawn where nothing is set: days without these faults go as they always did.
    if (this[kind] <= 0 || this.random(1000) >= this[kind] * 1000) return false;
    this.counts[kind] += 1;
    return true;
  }

  /** How much later this transaction is carried out, without an answer; null: at once. */
  writeDelayMs(): number | null {
    const { least, most } = LATE_WRITE_MS;
    return this.shouldInject('delayedWrites') ? least + this.random(most - least) : null;
  }

  losesResponse(): boolean {
    return this.shouldInject('lostResponses');
  }

  /** How much later one message to or from the state service arrives, in milliseconds. */
  storeMessageDelayMs(): number {
    return this.storeLatencyMs > 0 ? this.random(this.storeLatencyMs) : 0;
  }

  /** How long a machine takes to be up, of which `usualMs` is drawn for usual days. */
  bootMs(usualMs: number): number {
    return this.fastBoots ? this.random(FAST_BOOT_MS) : usualMs;
  }

  /** How much later a copy of this report arrives; null: there is none. */
  duplicateHeartbeatDelayMs(): number | null {
    const most = this.leaseMs * LATE_REPORT_LEASES;
    return this.shouldInject('duplicateHeartbeats')
      ? LATE_REPORT_MS + this.random(most - LATE_REPORT_MS)
      : null;
  }

  /** For how long a direct command is held up on its way, and its answer on the way back. */
  commandDelayMs(): { readonly there: number; readonly back: number } {
    if (!this.shouldInject('delayedCommands')) return { there: 0, back: 0 };
    const ms = this.random(HELD_COMMAND_MS);
    return this.random(2) === 0 ? { there: ms, back: 0 } : { there: 0, back: ms };
  }
}
