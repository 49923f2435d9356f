/**
 * Events that the processes of a run observe, merged in the order of their times and passed to the rule checker.
 *
 * @module
 */
import type { RuleChecker } from '@spurbridge/testkit';
import type { Attempt, JobId, JobPhase, JobSpec, MachineId } from '@spurbridge/wire';

/** An event that a process of the run observed; `at` is the time by the machine's monotonic clock, in milliseconds. */
export type RunEvent =
  | {
      readonly kind: 'started';
      readonly at: number;
      readonly job: JobId;
      readonly task: number;
      readonly attempt: Attempt;
      readonly machine: MachineId;
      readonly zone: string;
      readonly type: string;
      readonly spot: boolean;
    }
  | {
      readonly kind: 'left';
      readonly at: number;
      readonly job: JobId;
      readonly task: number;
      readonly machine: MachineId;
      readonly done: boolean;
    }
  | { readonly kind: 'completed'; readonly at: number; readonly job: JobId; readonly attempt: Attempt }
  | { readonly kind: 'machineGone'; readonly at: number; readonly machine: MachineId }
  | { readonly kind: 'submitted'; readonly at: number; readonly job: JobId }
  | { readonly kind: 'cancelAsked'; readonly at: number; readonly job: JobId }
  | {
      readonly kind: 'told';
      readonly at: number;
      readonly job: JobId;
      readonly call: 'submit' | 'poll' | 'cancel';
      readonly code: number;
      readonly phase: JobPhase | null;
      readonly askedAt: number;
    };

interface Source {
  /** Every event before this time has arrived. */
  until: number;
}

/**
 * Merges the events of several processes in the order of their times. An event is delivered once every process has
 * reported all earlier ones. A stopped process delays later events of all processes until it continues or is removed.
 */
export class EventOrder {
  private readonly sources = new Map<string, Source>();
  private waiting: RunEvent[] = [];

  constructor(private readonly deliver: (event: RunEvent) => void) {}

  /** Adds a process. Events after this time are delivered only once the process has reported its own up to then. */
  add(source: string, from: number): void {
    this.sources.set(source, { until: from });
  }

  /** Removes a process, so that events no longer wait for it. */
  remove(source: string): void {
    this.sources.delete(source);
    this.flush();
  }

  /** Accepts events of one process, which are complete up to the given time. */
  batch(source: string, events: readonly RunEvent[], until: number): void {
    const known = this.sources.get(source);
    if (known === undefined) return;
    known.until = Math.max(known.until, until);
    this.waiting.push(...events);
    this.flush();
  }

  private flush(): void {
    const until = Math.min(...[...this.sources.values()].map((source) => source.until));
    const due = this.waiting.filter((event) => event.at <= until);
    if (due.length === 0) return;
    this.waiting = this.waiting.filter((event) => event.at > until);
    due.sort((a, b) => a.at - b.at);
    for (const event of due) this.deliver(event);
  }
}

/** Passes an event to the rule checker, whose clock must already be at the event's time. */
export function applyEvent(
  checker: RuleChecker,
  event: RunEvent,
  find: (id: JobId) => JobSpec | undefined,
): void {
  if (event.kind === 'machineGone') {
    checker.machineLost(event.machine);
    return;
  }
  const spec = find(event.job);
  if (spec === undefined) return;
  switch (event.kind) {
    case 'started': {
      const { machine, zone, type, spot } = event;
      checker.taskStarted(spec, event.task, event.attempt, { machine, zone, type, spot });
      return;
    }
    case 'left':
      checker.taskStopped(event.job, event.task, event.machine, event.done);
      return;
    case 'completed':
      checker.gangCompleted(spec, event.attempt);
      return;
    case 'submitted':
      checker.jobSubmitted(spec);
      return;
    case 'cancelAsked':
      checker.cancellationRequested(event.job);
      return;
    case 'told':
      checker.responseReceived(event.job, event.call, event.code, event.phase, event.askedAt);
  }
}
