/**
 * Rules about responses to users: no accepted job is lost, and no state is invented, reported too early or
 * revoked.
 *
 * @module
 */
import type { JobId, JobPhase, JobSpec } from '@spurbridge/wire';
import type { RuleViolations } from './rule-violations.js';
import type { UserCall } from './user-call.js';

/** An accepted job counts as lost if its polls fail for longer than this while most others get responses. */
const FORGOTTEN_MS = 90_000;
/**
 * After all faults have ended, an accepted job counts as lost if its requests fail for longer than this,
 * independent of other jobs.
 */
const FORGOTTEN_AFTER_FAULTS_MS = 75_000;
/** Responses that state that a job is unknown or invalid. */
const REJECTIONS: ReadonlySet<number> = new Set([400, 404, 422]);

interface ResponseCounts {
  readonly given: number;
  readonly refused: number;
}

interface FailingPolls {
  readonly sinceMs: number;
  readonly countsBefore: ResponseCounts;
}

/** A controller's response to a user. */
export interface UserResponse {
  readonly id: JobId;
  readonly call: UserCall;
  readonly code: number;
  readonly phase: JobPhase | null;
  /**
   * The response must be consistent with everything reported until this time. This is the time when the
   * request was sent if the user has several requests in flight, and otherwise the time of the response.
   */
  readonly asOfMs: number;
}

/** What the rules need to know about jobs. */
export interface ResponseRulesOptions {
  readonly now: () => number;
  readonly violations: RuleViolations;
  readonly submitted: ReadonlyMap<JobId, JobSpec>;
  /** The number of completed tasks of the job. */
  readonly doneTasksOf: (id: JobId) => number;
}

/** Checks every response, and records when each status was first reported to the user. */
export class ResponseRules {
  /** The time from which on all faults are over. */
  faultsEndMs = Infinity;
  /** Longest time for which requests about an accepted job got no response after that. */
  longestUnansweredMs = 0;
  private readonly acceptedAt = new Map<JobId, number>();
  private readonly cancelledAt = new Map<JobId, number>();
  private readonly doneAt = new Map<JobId, number>();
  private readonly cancellationRequests = new Set<JobId>();
  private readonly statusChanges = new Map<string, number[]>();
  private readonly failingPolls = new Map<JobId, FailingPolls>();
  private counts: ResponseCounts = { given: 0, refused: 0 };

  constructor(private readonly options: ResponseRulesOptions) {}

  /** Jobs that were reported to users as cancelled. */
  get cancelledJobs(): Iterable<JobId> {
    return this.cancelledAt.keys();
  }

  /** When the job was first reported to the user as cancelled. */
  cancelledAtMs(id: JobId): number | undefined {
    return this.cancelledAt.get(id);
  }

  isAccepted(id: JobId): boolean {
    return this.acceptedAt.has(id);
  }

  isReportedDone(id: JobId): boolean {
    return this.doneAt.has(id);
  }

  isCancellationRequested(id: JobId): boolean {
    return this.cancellationRequests.has(id);
  }

  cancellationRequested(id: JobId): void {
    this.cancellationRequests.add(id);
  }

  /** The times at which the reported status of the job changed, ascending. */
  statusChangesOf(id: string): readonly number[] {
    return this.statusChanges.get(id) ?? [];
  }

  /** Checks a response; returns whether it changed what was reported to the user. */
  receive(response: UserResponse): boolean {
    const { id, code, call } = response;
    const { violations, submitted } = this.options;
    if (this.isAccepted(id)) this.countResponse(id, call, code < 500);
    const spec = submitted.get(id);
    if (spec === undefined) {
      if (code === 200) violations.report('invented', id);
      return false;
    }
    if (this.wasReportedBefore(this.acceptedAt, response) && REJECTIONS.has(code))
      violations.report('forgotten', `${id} was accepted, but got status ${code} for ${call}`);
    if (code !== 200 && code !== 201) return false;
    return this.receiveStatus(spec, response);
  }

  /** Checks the response to a submission that must be rejected. */
  receiveInvalidSubmission(id: JobId, defect: string, code: number): void {
    if (code === 200 || code === 201)
      this.options.violations.report('accepted_wrongly', `${id} with defect: ${defect}`);
  }

  private receiveStatus(spec: JobSpec, response: UserResponse): boolean {
    const { id, phase } = response;
    const firstReports = [this.recordFirstReport(this.acceptedAt, id)];
    if (phase === 'done') firstReports.push(this.receiveDone(spec));
    else this.checkNotDoneBefore(response);
    if (phase === 'cancelled') firstReports.push(this.receiveCancelled(id));
    else if (phase !== 'done' && this.wasReportedBefore(this.cancelledAt, response))
      this.options.violations.report('went_back', `${id} was cancelled, now ${String(phase)}`);
    const hasChanged = firstReports.includes(true);
    if (hasChanged) this.statusChanges.set(id, [...this.statusChangesOf(id), this.options.now()]);
    return hasChanged;
  }

  private receiveDone(spec: JobSpec): boolean {
    const { violations, doneTasksOf } = this.options;
    if (spec.kind === 'service' || doneTasksOf(spec.id) < spec.tasks) violations.report('not_done', spec.id);
    // Both states are final, so a job can be reported in only one of them.
    if (this.cancelledAt.has(spec.id)) violations.report('went_back', `${spec.id} was cancelled, now done`);
    return this.recordFirstReport(this.doneAt, spec.id);
  }

  private checkNotDoneBefore(response: UserResponse): void {
    const { id, phase } = response;
    if (this.wasReportedBefore(this.doneAt, response) || (phase === 'cancelled' && this.isReportedDone(id)))
      this.options.violations.report('went_back', `${id} was done, now ${String(phase)}`);
  }

  private receiveCancelled(id: JobId): boolean {
    if (!this.isCancellationRequested(id))
      this.options.violations.report('went_back', `${id} was not cancelled by its user`);
    return this.recordFirstReport(this.cancelledAt, id);
  }

  /** Whether this was reported to the user by the time that the response must reflect. */
  private wasReportedBefore(reportedAt: ReadonlyMap<JobId, number>, { id, asOfMs }: UserResponse): boolean {
    const at = reportedAt.get(id);
    return at !== undefined && at <= asOfMs;
  }

  /** Records the time of the first report; returns whether this is the first one. */
  private recordFirstReport(reportedAt: Map<JobId, number>, id: JobId): boolean {
    if (reportedAt.has(id)) return false;
    reportedAt.set(id, this.options.now());
    return true;
  }

  /** An accepted job also counts as lost if all its polls fail for long while most others get responses. */
  private countResponse(id: JobId, call: UserCall, isGiven: boolean): void {
    const now = this.options.now();
    const { given, refused } = this.counts;
    this.counts = isGiven ? { given: given + 1, refused } : { given, refused: refused + 1 };
    const sinceMs = this.failingPolls.get(id)?.sinceMs ?? now;
    if (isGiven) this.failingPolls.delete(id);
    this.recordUnanswered(id, now - Math.max(sinceMs, this.faultsEndMs));
    if (isGiven || call !== 'poll') return;
    const failing = this.failingPolls.get(id) ?? { sinceMs: now, countsBefore: this.counts };
    this.failingPolls.set(id, failing);
    const others = this.counts.given - failing.countsBefore.given;
    const refusedSince = this.counts.refused - failing.countsBefore.refused;
    if (now - failing.sinceMs > FORGOTTEN_MS && others > refusedSince)
      this.options.violations.report('forgotten', `${id} got no response for ${now - failing.sinceMs} ms`);
  }

  private recordUnanswered(id: JobId, forMs: number): void {
    if (!(forMs > this.longestUnansweredMs)) return;
    this.longestUnansweredMs = forMs;
    if (forMs > FORGOTTEN_AFTER_FAULTS_MS)
      this.options.violations.report(
        'forgotten',
        `${id} got no response for ${forMs} ms after all faults ended`,
      );
  }
}
