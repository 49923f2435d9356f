import type { RuleChecker } from '@spurbridge/testkit';
import type { Attempt, JobId, JobPhase, JobSpec, MachineId } from '@spurbridge/wire';

/** What a process of the run saw, in the order of the machine's monotonic clock (milliseconds). */
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
  /** Everything that it saw before this has arrived. */
  until: number;
}

/**
 * Puts the events of several processes in the order of their times. An event is given on once every process has told of
 * all that it saw before; a process that stands still holds everybody's later events back until it goes on or is removed.
 */
export class EventOrder {
  private readonly sources = new Map<string, Source>();
  private waiting: RunEvent[] = [];

  constructor(private readonly take: (event: RunEvent) => void) {}

  add(source: string, from: number): void {
    this.sources.set(source, { until: from });
  }

  remove(source: string): void {
    this.sources.delete(source);
    this.flush();
  }

  /** Events of one process, and until when they are complete. */
  batch(source: string, events: readonly RunEvent[], until: number): void {
    const known = this.sources.get(source);
    if (known === undefined) return;
    known.until = Math.max(known.until, until);
    this.waiting.push(...events);
    this.flush();
  }

  private flush(): void {
    const until = Math.min(...[...this.sources.values()].map((s) => s.until));
    const due = this.waiting.filter((e) => e.at <= until);
    if (due.length === 0) return;
    this.waiting = this.waiting.filter((e) => e.at > until);
    due.sort((a, b) => a.at - b.at);
    for (const event of due) this.take(event);
  }
}

/** Tells the rule checker of an event; the checker's clock has to stand at the event's time. */
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
