/**
 * The helper process that simulates the users of one region, who submit, poll and cancel jobs.
 *
 * @module
 */
import { MonotonicTimeline } from '@spurbridge/simulated-worker';
import type { HttpResponse } from '@spurbridge/net';
import { JsonClient, NoResponseError } from '@spurbridge/net';
import type { JobPhase, JobSpec } from '@spurbridge/wire';
import { PATHS, formatSubmission, parseJobPhase } from '@spurbridge/wire';
import { handleOrders, notifyDriver } from './driver-channel.js';
import type { Meter } from './meter.js';
import type { RunEvent } from './events.js';
import type { UsersRole } from './messages.js';
import { Workload } from './workload.js';

const RESPONSE_TIMEOUT_MS = 5000;
const POLL_RESPONSE_TIMEOUT_MS = 2000;
const POLL_INTERVAL_MS = 5000;
const RETRY_DELAY_MS = 1000;
const SUBMIT_DEADLINE_MS = 60_000;
const EVENT_BATCH_INTERVAL_MS = 50;
/** Maximum number of connections to each controller node. */
const SOCKETS_PER_NODE = 64;
/** Time between the submissions of two services, so that the start of a run does not overload the controllers. */
const SERVICE_GAP_MS = 20;

type Call = 'submit' | 'poll' | 'cancel';

/** State of one user with respect to the job. */
type UserState = 'submitting' | 'polling' | 'cancelling' | 'over';

/** Users of one region. They form an open-loop load: jobs arrive on schedule, however slow the service is. */
class Users {
  private readonly time = new MonotonicTimeline();
  private readonly workload: Workload;
  private readonly clients: JsonClient[];
  private events: RunEvent[] = [];
  private next = 0;

  constructor(
    role: UsersRole,
    private readonly meter: Meter,
  ) {
    this.workload = new Workload(role.workload);
    this.clients = role.nodes.map((node) => new JsonClient(node.address, SOCKETS_PER_NODE));
  }

  run(): void {
    setInterval(() => {
      const { events } = this;
      this.events = [];
      notifyDriver({ notice: 'events', events, until: this.time.now - 1 });
    }, EVENT_BATCH_INTERVAL_MS);
    this.workload.services().forEach((spec, n) => {
      this.time.after(n * SERVICE_GAP_MS, () => {
        this.startUser(spec, null);
      });
    });
    this.scheduleArrival(0, this.time.now);
  }

  /** Schedules the arrival of the next job, independently of how long the previous one takes. */
  private scheduleArrival(index: number, dueAt: number): void {
    const at = dueAt + this.workload.interarrivalMs(index);
    this.time.after(at - this.time.now, () => {
      this.startUser(this.workload.job(index), this.workload.cancelAfterS(index));
      this.scheduleArrival(index + 1, at);
    });
  }

  private startUser(spec: JobSpec, cancelAfterS: number | null): void {
    this.meter.count('jobs');
    this.events.push({ kind: 'submitted', at: this.time.now, job: spec.id });
    const emit = (event: RunEvent): void => {
      this.events.push(event);
    };
    const user = new User(spec, this.time, this.meter, emit, () => this.client());
    void user.run(cancelAfterS);
  }

  private client(): JsonClient {
    this.next = (this.next + 1) % this.clients.length;
    return this.clients[this.next] as JsonClient;
  }
}

/** The user of one job: submits it until it is accepted or refused, polls it, and may cancel it. */
class User {
  private state: UserState = 'submitting';
  private readonly beganAt: number;

  constructor(
    private readonly spec: JobSpec,
    private readonly time: MonotonicTimeline,
    private readonly meter: Meter,
    private readonly emit: (event: RunEvent) => void,
    private readonly client: () => JsonClient,
  ) {
    this.beganAt = time.now;
  }

  /** Changes the state. No other function does. */
  private transitionTo(next: UserState): void {
    this.state = next;
  }

  async run(cancelAfterS: number | null): Promise<void> {
    while (this.state !== 'over') await this.step(cancelAfterS);
  }

  private async step(cancelAfterS: number | null): Promise<void> {
    switch (this.state) {
      case 'submitting':
        return this.submit();
      case 'polling': {
        const isDue = cancelAfterS !== null && this.time.now - this.beganAt > cancelAfterS * 1000;
        if (isDue) this.transitionTo('cancelling');
        else await this.poll();
        return;
      }
      case 'cancelling':
        return this.cancel();
      case 'over':
        return;
    }
  }

  private async submit(): Promise<void> {
    const status = await this.request('submit');
    if (status === 200 || status === 201) {
      this.meter.latency('accepted', this.time.now - this.beganAt);
      this.transitionTo('polling');
    } else if (status === 400 || status === 422) this.giveUp('refused');
    else if (this.time.now - this.beganAt > SUBMIT_DEADLINE_MS) this.giveUp('gave up');
    else await this.wait(RETRY_DELAY_MS);
  }

  private giveUp(why: string): void {
    this.meter.count(why);
    this.transitionTo('over');
  }

  private async poll(): Promise<void> {
    await this.wait(POLL_INTERVAL_MS);
    await this.request('poll');
  }

  private async cancel(): Promise<void> {
    this.emit({ kind: 'cancelAsked', at: this.time.now, job: this.spec.id });
    await this.request('cancel');
    if (this.isCancelling()) await this.wait(RETRY_DELAY_MS);
  }

  private isCancelling(): boolean {
    return this.state === 'cancelling';
  }

  private wait(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.time.after(ms, resolve);
    });
  }

  /** Sends one request. Returns the status of the response, or null if there was none. */
  private async request(call: Call): Promise<number | null> {
    const askedAt = this.time.now;
    this.meter.count(call);
    let response: HttpResponse;
    try {
      response = await this.send(call);
    } catch (error) {
      if (!(error instanceof NoResponseError)) throw error;
      this.meter.count(`${call} unanswered`);
      return null;
    }
    this.meter.latency(call, this.time.now - askedAt);
    if (response.status >= 400) this.meter.count(`${call} ${response.status}`);
    const isAccepted = response.status === 200 || response.status === 201;
    const phase = isAccepted ? parseJobPhase(response.body) : null;
    this.emit({
      kind: 'told',
      at: this.time.now,
      job: this.spec.id,
      call,
      code: response.status,
      phase,
      askedAt,
    });
    if (isFinal(phase)) this.transitionTo('over');
    return response.status;
  }

  private send(call: Call): Promise<HttpResponse> {
    const path = `${PATHS.jobs}/${this.spec.id}`;
    switch (call) {
      case 'submit':
        return this.client().call('POST', PATHS.jobs, formatSubmission(this.spec), RESPONSE_TIMEOUT_MS);
      case 'poll':
        return this.client().call('GET', path, undefined, POLL_RESPONSE_TIMEOUT_MS);
      case 'cancel':
        return this.client().call('POST', `${path}/cancel`, {}, RESPONSE_TIMEOUT_MS);
    }
  }
}

function isFinal(phase: JobPhase | null): boolean {
  return phase === 'done' || phase === 'cancelled';
}

/** Runs all users of one region in this process. */
export function runUsers(role: UsersRole, meter: Meter): void {
  const users = new Users(role, meter);
  handleOrders((order) => {
    if (order.order === 'read') notifyDriver({ notice: 'reading', reading: meter.read() });
  });
  notifyDriver({ notice: 'ready' });
  users.run();
}
