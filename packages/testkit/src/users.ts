/**
 * The users of a simulated environment: which requests they send, to which node and when. The rule checker
 * checks all responses.
 *
 * @module
 */
import { jobStatusCode } from '@spurbridge/controller';
import type { JobOutcome } from '@spurbridge/controller';
import type { JobId, JobSpec } from '@spurbridge/wire';
import { formatJobStatus, formatSubmission } from '@spurbridge/wire';
import { jobId } from './fixtures.js';
import { USER_HOST } from './hosts.js';
import { malformedSubmissions } from './malformed-submissions.js';
import type { SimNode } from './sim-node.js';
import type { UserCall } from './user-call.js';
import type { UserEnvironment } from './user-environment.js';

/** Default minimum time between two polls for an accepted job, in milliseconds. */
export const DEFAULT_POLL_MS = 1500;
const RESUBMIT_MS = 1500;
/** Average number of final responses after which a user stops polling; repeated ones must stay the same. */
const MEAN_FINAL_POLLS = 4;
/** In a poll burst, every node is polled once at a random time within each of these windows, in milliseconds. */
const POLL_BURST_WINDOWS_MS = [3, 10, 30, 90, 250] as const;
/** In a poll burst, one request in this many repeats the submission instead. */
const RESUBMIT_ONE_IN = 3;
/** One poll burst in this many also cancels the job. */
const CANCEL_ONE_IN = 6;
const RETRY_CANCEL_MS = 1000;
const RETRY_CANCEL_SPREAD_MS = 500;
const CANCEL_SPREAD_MS = 200;
/** Ids of malformed submissions begin after this number. */
const FIRST_MALFORMED_JOB = 900_000;

type ResponseListener = (response: JobOutcome) => void;

/** Simulates all users of an environment. */
export class Users {
  private readonly cancelAtMs = new Map<JobId, number>();
  /** Jobs that may have several requests in flight, so that responses can arrive out of order. */
  private readonly jobsWithConcurrentRequests = new Set<JobId>();
  private malformedCount = 0;

  constructor(
    private readonly world: UserEnvironment,
    private readonly pollMs: number,
  ) {}

  /** The job's user requests its cancellation after this delay. */
  scheduleCancellation(id: JobId, inMs: number): void {
    this.cancelAtMs.set(id, this.world.time.now + inMs);
  }

  /** Submits until accepted or finally rejected, then polls, and cancels at `cancelAtMs` if that is set. */
  startUser(spec: JobSpec, cancelAtMs: number | null): void {
    const { world } = this;
    world.checker.jobSubmitted(spec);
    let isAccepted = false;
    let isFinished = false;
    if (cancelAtMs !== null) this.cancelAtMs.set(spec.id, cancelAtMs);
    const sendNext = (): void => {
      if (isFinished) return;
      const node = world.random(world.nodes.length);
      this.sendRequest(node, this.nextCall(spec.id, isAccepted), spec, (response) => {
        if (isSuccess(response)) isAccepted = true;
        if (isFinal(response)) isFinished = world.random(MEAN_FINAL_POLLS) === 0;
      });
      const minIntervalMs = isAccepted ? this.pollMs : RESUBMIT_MS;
      world.time.after(minIntervalMs + world.random(2 * minIntervalMs), sendNext);
    };
    sendNext();
  }

  /**
   * Sends one request to one node; `onResponse` is called when the response arrives, and never if the process
   * has ended.
   */
  sendRequest(
    node: number,
    call: UserCall,
    spec: JobSpec,
    onResponse: ResponseListener = () => undefined,
    body: Record<string, unknown> = formatSubmission(spec),
  ): void {
    const { world } = this;
    const target = world.nodes[node];
    if (target?.clock.alive !== true) return;
    const sentAtMs = world.time.now;
    if (call === 'cancel') world.checker.cancellationRequested(spec.id);
    void callController(target, call, spec.id, body).then((response) => {
      const sent = [call, spec.id, jobStatusCode(response), formatResponseBody(response)];
      world.recorder.record('user-response', target.name, USER_HOST, sent);
      world.network.send(target.name, USER_HOST, () => {
        this.receive(call, spec, response, sentAtMs, onResponse);
      });
    });
  }

  /** Requests cancellation until there is a final response. */
  cancelUntilConfirmed(spec: JobSpec): void {
    const { world } = this;
    this.jobsWithConcurrentRequests.add(spec.id);
    let isFinished = false;
    const sendNext = (): void => {
      if (isFinished) return;
      this.sendRequest(world.random(world.nodes.length), 'cancel', spec, (response) => {
        isFinished = isFinal(response);
      });
      world.time.after(RETRY_CANCEL_MS + world.random(RETRY_CANCEL_SPREAD_MS), sendNext);
    };
    sendNext();
  }

  /** Users cancel up to this many running arrays and gangs, each at a random time within 200 ms. */
  cancelRunningJobs(count: number): JobSpec[] {
    const { world } = this;
    const { checker } = world;
    const running = [...checker.submitted.values()].filter(
      ({ id, kind }) =>
        kind !== 'service' && !checker.isCancellationRequested(id) && checker.runningTasksOf(id) > 0,
    );
    const chosen = running.slice(0, count);
    for (const spec of chosen)
      world.time.after(world.random(CANCEL_SPREAD_MS), () => {
        this.cancelUntilConfirmed(spec);
      });
    return chosen;
  }

  /**
   * Repeats the submission of an accepted job, sometimes with a field missing; cancels the job if it is done;
   * and sends a submission that must be rejected.
   */
  sendMalformedRequest(): void {
    const { world } = this;
    const known = [...world.checker.submitted.values()].filter(({ id }) => world.checker.isAccepted(id));
    const spec = known[world.random(known.length)];
    const node = world.random(world.nodes.length);
    if (spec !== undefined) this.repeatSubmission(node, spec);
    const template = spec ?? known[0];
    if (template !== undefined) this.sendMalformedSubmission(template);
  }

  private nextCall(id: JobId, isAccepted: boolean): UserCall {
    const isCancelling = isAccepted && this.world.time.now >= (this.cancelAtMs.get(id) ?? Infinity);
    if (!isAccepted) return 'submit';
    return isCancelling ? 'cancel' : 'poll';
  }

  private receive(
    call: UserCall,
    spec: JobSpec,
    response: JobOutcome,
    sentAtMs: number,
    onResponse: ResponseListener,
  ): void {
    const { world } = this;
    const asOfMs = this.jobsWithConcurrentRequests.has(spec.id) ? sentAtMs : world.time.now;
    const phase = 'status' in response ? response.status.phase : null;
    const hasChanged = world.checker.responseReceived(spec.id, call, jobStatusCode(response), phase, asOfMs);
    onResponse(response);
    if (hasChanged && world.faults.shouldInject('pollBursts')) this.startPollBurst(spec);
  }

  /**
   * Polls all nodes repeatedly within milliseconds, and repeats the submission; sometimes cancels at once.
   */
  private startPollBurst(spec: JobSpec): void {
    const { world } = this;
    this.jobsWithConcurrentRequests.add(spec.id);
    for (const withinMs of POLL_BURST_WINDOWS_MS)
      for (let node = 0; node < world.nodes.length; node += 1) {
        const call = world.random(RESUBMIT_ONE_IN) === 0 ? 'submit' : 'poll';
        world.time.after(world.random(withinMs), () => {
          this.sendRequest(node, call, spec);
        });
      }
    if (spec.kind !== 'service' && world.random(CANCEL_ONE_IN) === 0) this.cancelUntilConfirmed(spec);
  }

  private repeatSubmission(node: number, spec: JobSpec): void {
    const { world } = this;
    this.jobsWithConcurrentRequests.add(spec.id);
    const body = formatSubmission(spec);
    if (world.random(2) === 0) Reflect.deleteProperty(body, world.random(2) === 0 ? 'memGb' : 'shape');
    this.sendRequest(node, 'submit', spec, () => undefined, body);
    if (world.checker.isReportedDone(spec.id)) this.sendRequest(node, 'cancel', spec);
  }

  private sendMalformedSubmission(template: JobSpec): void {
    const { world } = this;
    const id = jobId(FIRST_MALFORMED_JOB + (this.malformedCount += 1));
    const submissions = malformedSubmissions({ ...template, id });
    const chosen = submissions[world.random(submissions.length)];
    const target = world.nodes[world.random(world.nodes.length)];
    if (chosen === undefined || target?.clock.alive !== true) return;
    void target.controller.jobs.submit(chosen.body).then((response) => {
      world.checker.invalidSubmissionAnswered(id, chosen.defect, jobStatusCode(response));
    });
  }
}

function callController(
  target: SimNode,
  call: UserCall,
  id: JobId,
  body: Record<string, unknown>,
): Promise<JobOutcome> {
  const { jobs } = target.controller;
  switch (call) {
    case 'submit':
      return jobs.submit(body);
    case 'cancel':
      return jobs.cancel(id);
    case 'poll':
      return jobs.status(id);
  }
}

/** The body of a response as it is sent, without error texts, which are meant for people and may change. */
function formatResponseBody(response: JobOutcome): unknown {
  return 'status' in response ? formatJobStatus(response.status) : null;
}

function isSuccess({ outcome }: JobOutcome): boolean {
  return outcome === 'known' || outcome === 'created';
}

function isFinal(response: JobOutcome): boolean {
  return 'status' in response && (response.status.phase === 'cancelled' || response.status.phase === 'done');
}
