/**
 * Direct calls to machines whose heartbeats are missing.
 *
 * @module
 */
import type { Machine } from '@spurbridge/model';
import type { Heartbeat } from '@spurbridge/wire';
import type { LeaderTerm } from '../leadership/leader-term.js';

/** Probes sent to a machine since it was last heard of. */
const MAX_PROBES_PER_MACHINE = 2;
/** At most this share of the sockets is used for probes, since hundreds of machines may fall silent together. */
const MAX_SOCKET_SHARE = 0.12;
/** As many concurrent probes are allowed at least, however few sockets there are. */
const MIN_CONCURRENT_PROBES = 8;

/** Asks silent machines for a heartbeat. */
export class MachineProber {
  private probesUnderWay = 0;

  constructor(
    private readonly term: LeaderTerm,
    /** Called with the heartbeat that a machine responds with. */
    private readonly onHeartbeat: (heartbeat: Heartbeat) => void,
  ) {}

  /** Probes the machine unless it has been probed often enough or too many probes are under way. */
  probe(machine: Machine): void {
    const { settings } = this.term.context;
    const maxConcurrent = Math.max(MIN_CONCURRENT_PROBES, settings.maxSockets * MAX_SOCKET_SHARE);
    if (machine.probesSent >= MAX_PROBES_PER_MACHINE || this.probesUnderWay >= maxConcurrent) return;
    machine.probesSent += 1;
    if (machine.address === '') machine.probesUnanswered += 1;
    else this.sendProbe(machine);
  }

  private sendProbe(machine: Machine): void {
    const { workerClient, log } = this.term.context;
    this.probesUnderWay += 1;
    workerClient
      .fetchHeartbeat(machine.address)
      .finally(() => {
        this.probesUnderWay -= 1;
      })
      .then((result) => {
        this.onResult(machine, result);
      })
      .catch((error: unknown) => {
        log.error({ machine: machine.id, error: String(error) }, 'probe failed');
      });
  }

  private onResult(machine: Machine, result: Heartbeat | 'unasked' | null): void {
    if (!this.term.isActive) return;
    // No socket was left, which says nothing about the machine: counted as silence, it had hundreds of live machines
    // released.
    if (result === 'unasked') {
      machine.probesSent = Math.max(0, machine.probesSent - 1);
      return;
    }
    this.term.workerReachability.recordCall(result !== null);
    if (result === null) {
      machine.probesUnanswered += 1;
      return;
    }
    this.term.context.leadership.observeToken(result.fencingToken, null);
    if (this.term.isActive) this.onHeartbeat(result);
  }
}

/** Whether the machine left all probes unanswered. Heartbeats alone may be missing on a node that is behind its work. */
export function isUnreachable(machine: Machine): boolean {
  return machine.probesUnanswered >= MAX_PROBES_PER_MACHINE;
}
