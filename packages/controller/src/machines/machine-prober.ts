/**
 * Direct calls to machines whose heartbeats are missing.
 *
 * @module
 */
import type { Machine } from '@spurbridge/model';
import type { Heartbeat } from '@spurbridge/wire';
import type { LeaderTerm } from '../leadership/leader-term.js';

/** Maximum number of probes sent to a machine since its latest heartbeat. */
const MAX_PROBES_PER_MACHINE = 2;
/** Maximum share of the sockets used for probes, because hundreds of machines may become silent together. */
const MAX_SOCKET_SHARE = 0.12;
/** Lower bound of the limit on concurrent probes, for processes with few sockets. */
const MIN_CONCURRENT_PROBES = 8;

/** Requests heartbeats from silent machines. */
export class MachineProber {
  private probesInFlight = 0;

  constructor(
    private readonly term: LeaderTerm,
    /** Called with the heartbeat that a machine responds with. */
    private readonly onHeartbeat: (heartbeat: Heartbeat) => void,
  ) {}

  /** Probes the machine unless it has been probed often enough or too many probes are in flight. */
  probe(machine: Machine): void {
    const { settings } = this.term.context;
    const maxConcurrent = Math.max(MIN_CONCURRENT_PROBES, settings.maxSockets * MAX_SOCKET_SHARE);
    if (machine.probesSent >= MAX_PROBES_PER_MACHINE || this.probesInFlight >= maxConcurrent) return;
    machine.probesSent += 1;
    if (machine.address === '') machine.probesUnanswered += 1;
    else this.sendProbe(machine);
  }

  private sendProbe(machine: Machine): void {
    const { workerClient, log } = this.term.context;
    this.probesInFlight += 1;
    workerClient
      .fetchHeartbeat(machine.address)
      .finally(() => {
        this.probesInFlight -= 1;
      })
      .then((result) => {
        this.onResult(machine, result);
      })
      .catch((error: unknown) => {
        log.error({ machine: machine.id, error: String(error) }, 'probe failed');
      });
  }

  private onResult(machine: Machine, result: Heartbeat | 'not-sent' | null): void {
    if (!this.term.isActive) return;
    // No socket was available, which is no evidence against the machine. When this counted as a failed probe, hundreds
    // of live machines were released.
    if (result === 'not-sent') {
      machine.probesSent = Math.max(0, machine.probesSent - 1);
      return;
    }
    this.term.workerReachability.recordCall(result !== null);
    if (result === null) {
      machine.probesUnanswered += 1;
      return;
    }
    this.term.context.leadership.observeToken(result.fencingToken);
    if (this.term.isActive) this.onHeartbeat(result);
  }
}

/** Whether all probes of the machine failed. Missing heartbeats alone may be due to overload of this node. */
export function isUnreachable(machine: Machine): boolean {
  return machine.probesUnanswered >= MAX_PROBES_PER_MACHINE;
}
