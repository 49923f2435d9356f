import type { Job, Machine, Placement } from '@spurbridge/model';
import { addMs } from '@spurbridge/net';
import type { Attempt, JobId, MachineId, WorkerCommand, Heartbeat } from '@spurbridge/wire';
import { formatTaskName } from '@spurbridge/wire';
import type { ClusterState } from '../jobs/cluster-state.js';
import { isGangStartDelayed } from '../placement/gang-scheduling.js';
import { stopsForCancelledTasks } from './cancelled-tasks.js';
import type { MachineQueues } from '../placement/machine-queues.js';
import { maxRenewalStalenessMs } from '../settings.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

const PUSH_ROUNDS = 5;
/**
 * Machines told directly at once. A start reaches its machine with the answer to its next report anyway: when two thousand
 * were placed after a restart of all, calls to a thousand machines cost the new leader its lease.
 */
const MOST_PUSHES = 16;

/** Tells machines what to start, stop and forget: in answers to their reports, and directly. */
export class CommandDispatcher {
  private pushing = 0;
  /** Machines that are to be told once there is room for a call, those with a service's or with stops first. */
  private readonly urgent = new Set<MachineId>();
  private readonly waiting = new Set<MachineId>();

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    private readonly queues: MachineQueues,
    /** Takes in the report that a machine answers with. */
    private readonly onReport: (report: Heartbeat) => void,
    /** Whether what is on the machines is known; before, they are told to stop what is cancelled and nothing else. */
    private readonly isSettled: () => boolean,
    /** Whether no machine that is still to be heard may run the job's tasks: a start repeated may be the second. */
    private readonly mayStart: (job: Job) => boolean,
  ) {
    cluster.on('due', (id) => {
      this.push(id);
    });
  }

  /**
   * Orders for the answer to a report of this machine; null: it may not be answered, since that renews its lease
   * (docs/design.md, "Renewals"). Whoever answers, whatever has become of its own lease, stops what it knows to be
   * cancelled: that is final, and what the answer renews must be gone in time.
   */
  commandsForResponse(r: Heartbeat): WorkerCommand[] | null {
    const m = this.cluster.machines.get(r.machine);
    if (m === undefined || m.agentEpoch !== r.agentEpoch) return this.stopsForCancelledTasks(r);
    if (this.mayStartLate(m)) return null;
    const isSure = this.term.context.leadership.holdsValidLease();
    if (isSure) {
      this.queues.startFitting(m.id);
      this.urgent.delete(m.id);
      this.waiting.delete(m.id);
    }
    const due = [...this.commandsFor(m, true), ...this.cleanUp(m, r)];
    return isSure ? due : due.filter((c) => this.stopsCancelled(c));
  }

  private stopsCancelled(c: WorkerCommand): boolean {
    return c.op === 'stop' && this.phaseOf(c.job) === 'cancelled';
  }

  /** Stops of what a report shows and what is known to be cancelled, by the leader's own records first. */
  stopsForCancelledTasks(r: Heartbeat): WorkerCommand[] {
    return stopsForCancelledTasks(r, (id) => this.phaseOf(id));
  }

  private phaseOf(id: JobId): string | null {
    return this.cluster.jobs.get(id)?.state ?? this.term.context.storeIntegrity.phaseOf(id);
  }

  /** Whether anything cancelled may be on the machine, or is stopped there by these orders. */
  hasCancelledTasks(id: MachineId, orders: readonly WorkerCommand[]): boolean {
    for (const { job } of this.cluster.tasksOn(id)) if (job.state === 'cancelled') return true;
    return orders.some((c) => this.stopsCancelled(c));
  }

  /**
   * Whether a direct start of a cancelled task, never seen there, may be on its way still and come after this answer's stop:
   * held up by a cut between this node and the machine, which others pass on reports of, it ran after `cancel_s`. Past the
   * horizon the machine's lease is left to end, and its session with it.
   */
  private mayStartLate(m: Machine): boolean {
    if (m.unconfirmedStarts.size === 0) return false;
    const horizonMs = maxRenewalStalenessMs(this.term.context.settings);
    for (const { job, task } of this.cluster.tasksOn(m.id)) {
      const p = job.placements.get(task);
      if (
        job.state !== 'cancelled' ||
        p === undefined ||
        p.agentEpoch !== m.agentEpoch ||
        !this.isUnseen(m, job, p)
      )
        continue;
      if (job.cancelledAfter === null) return true;
      if (this.term.context.clock.now() > addMs(job.cancelledAfter, horizonMs)) return true;
    }
    return false;
  }

  /** Whether a direct start of it got no answer, and its machine has not shown it either. */
  private isUnseen(m: Machine, job: Job, p: Placement): boolean {
    return p.state === 'starting' && m.unconfirmedStarts.has(startCommandKey(job.spec.id, p.task, p.attempt));
  }

  /** Starts and stops due on a machine. In a report's answer everything not yet seen is repeated. */
  private commandsFor(m: Machine, repeat: boolean): WorkerCommand[] {
    const commands: WorkerCommand[] = [];
    for (const { job, task } of this.cluster.tasksOn(m.id)) {
      const p = job.placements.get(task);
      if (p === undefined || p.machine !== m.id || p.agentEpoch !== m.agentEpoch) continue;
      const id = { job: job.spec.id, task, attempt: p.attempt };
      if (p.stopRequest !== null) {
        // A second stop would end a task that is saving; repeat only what has not taken effect.
        const saving = p.state === 'saving' && p.stopRequest.reason !== 'cancelled';
        // Its direct start got no answer and may come at any time, so that nothing could prove it gone while the session
        // lasts: its job waited for ever. Told both in one answer, the machine knows the attempt, and that it has ended.
        if (repeat && job.state === 'active' && this.isUnseen(m, job, p))
          commands.push({ op: 'start', ...id });
        if (!saving && p.state !== 'intended')
          commands.push({ op: 'stop', ...id, graceS: p.stopRequest.graceS });
      } else if (p.state === 'starting' && job.state === 'active' && this.isSettled() && this.mayStart(job)) {
        if (isGangStartDelayed(this.cluster, this.term.context.settings, job, p)) continue;
        if (repeat || !m.unconfirmedStarts.has(startCommandKey(job.spec.id, task, p.attempt)))
          commands.push({ op: 'start', ...id });
      }
    }
    return commands;
  }

  /** Exited tasks whose end is durable are forgotten; tasks that no record places are stopped. */
  private cleanUp(m: Machine, r: Heartbeat): WorkerCommand[] {
    const commands: WorkerCommand[] = [];
    for (const t of r.tasks) {
      const job = this.cluster.jobs.get(t.job);
      const p = job?.placements.get(t.task);
      if (p !== undefined && p.machine === m.id && p.agentEpoch === m.agentEpoch && p.attempt === t.attempt)
        continue;
      const id = { job: t.job, task: t.task, attempt: t.attempt };
      if (t.phase !== 'exited') {
        if (this.isSettled() || this.term.context.storeIntegrity.phaseOf(t.job) === 'cancelled')
          commands.push({ op: 'stop', ...id, graceS: 0 });
        continue;
      }
      if (!this.isSettled()) continue;
      // After a forget the worker would execute a late start of the attempt again: none may be in flight.
      if (m.unconfirmedStarts.has(startCommandKey(t.job, t.task, t.attempt))) continue;
      if (job === undefined || t.task >= job.spec.tasks || job.state !== 'active' || job.isDurable(t.task))
        commands.push({ op: 'forget', ...id });
    }
    return commands;
  }

  /** Sends what is due straight to the machine, one call at a time. */
  private push(id: MachineId): void {
    const m = this.cluster.machines.get(id);
    this.queues.evictStale(id);
    this.queues.startFitting(id);
    if (m === undefined || m.isSendingCommands || m.address === '' || m.agentEpoch === null) return;
    if (m.state !== 'ready' && m.state !== 'draining') return;
    if (this.pushing >= MOST_PUSHES) {
      const due = this.commandsFor(m, false);
      if (due.length > 0) (due.some((x) => this.isUrgent(x)) ? this.urgent : this.waiting).add(id);
      return;
    }
    m.isSendingCommands = true;
    this.pushing += 1;
    this.pushNow(m)
      .catch((e: unknown) => {
        this.term.context.log.error({ machine: m.id, error: String(e) }, 'direct commands failed');
      })
      .finally(() => {
        m.isSendingCommands = false;
        this.pushing -= 1;
        this.pushNext();
      });
  }

  private isUrgent(c: WorkerCommand): boolean {
    return c.op === 'stop' || this.cluster.jobs.get(c.job)?.spec.kind === 'service';
  }

  private pushNext(): void {
    for (const due of [this.urgent, this.waiting])
      for (const id of due) {
        if (!this.term.isActive || this.pushing >= MOST_PUSHES) return;
        due.delete(id);
        this.push(id);
      }
  }

  private async pushNow(m: Machine): Promise<void> {
    const { leadership, workerClient: workers } = this.term.context;
    for (let round = 0; round < PUSH_ROUNDS && this.term.isActive; round += 1) {
      const session = m.agentEpoch;
      if (session === null || !leadership.holdsValidLease()) return;
      const commands = this.commandsFor(m, false);
      if (commands.length === 0) return;
      const starts = commands
        .filter((x) => x.op === 'start')
        .map((x) => startCommandKey(x.job, x.task, x.attempt));
      for (const s of starts) m.unconfirmedStarts.add(s);
      const outcome = await workers.sendCommands(m.address, leadership.fencingToken, session, commands);
      if (!this.term.isActive) return;
      this.term.workerReachability.recordCall(
        outcome.outcome === 'executed' || outcome.outcome === 'rejected',
      );
      if (outcome.outcome === 'unknown') return;
      if (m.agentEpoch === session) for (const s of starts) m.unconfirmedStarts.delete(s);
      if (outcome.outcome === 'unsent') return;
      leadership.observeToken(outcome.report.fencingToken, null);
      if (!this.term.isActive) return;
      this.onReport(outcome.report);
      if (outcome.outcome === 'rejected') return;
    }
  }
}

/** How an unanswered start is remembered on its machine. */
export function startCommandKey(job: JobId, task: number, attempt: Attempt): string {
  return `${formatTaskName(job, task)}#${attempt}`;
}
