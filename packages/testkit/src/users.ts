import { jobStatusCode } from '@spurbridge/controller';
import type { JobOutcome } from '@spurbridge/controller';
import type { JobId, JobSpec } from '@spurbridge/wire';
import { formatJobStatus, formatSubmission } from '@spurbridge/wire';
import { jobId } from './fixtures.js';
import type { World } from './world.js';

const USER_HOST = 'user';
/** Users ask after their accepted jobs this often, at least, in milliseconds. */
export const DEFAULT_POLL_MS = 1500;
const SUBMIT_AGAIN_MS = 1500;
/** Right after news the user looks at every node, at moments drawn up to these, in milliseconds. */
const LOOKS_MS = [3, 10, 30, 90, 250] as const;
/** Called off right after it was accepted: one in so many. */
const CANCELS_AT_ONCE = 6;
const NEVER_FITS_CPUS = 1000;

export type UserCall = 'submit' | 'poll' | 'cancel';

/** A submission that must not be accepted, and what is wrong with it. */
interface OddSubmission {
  readonly what: string;
  readonly body: Record<string, unknown>;
}

/** The users of a simulated world: what they ask, of which node and when; all answers are judged. */
export class Users {
  private readonly cancelAt = new Map<JobId, number>();
  /** Jobs about which several requests may be under way at once: it then matters which was sent first. */
  private readonly watched = new Set<JobId>();
  private odd = 0;

  constructor(
    private readonly w: World,
    private readonly pollMs: number,
  ) {}

  /** The job's user asks to cancel it, so much later. */
  scheduleCancellation(id: JobId, inMs: number): void {
    this.cancelAt.set(id, this.w.time.now + inMs);
  }

  /** Submits until accepted or refused for good, then polls and, if asked to, cancels. */
  startUser(spec: JobSpec, cancelAfterMs: number | null): void {
    const { w } = this;
    w.checker.jobSubmitted(spec);
    let accepted = false;
    let over = false;
    if (cancelAfterMs !== null) this.cancelAt.set(spec.id, cancelAfterMs);
    const ask = (): void => {
      if (over) return;
      const node = w.random(w.nodes.length);
      const cancelling = accepted && w.time.now >= (this.cancelAt.get(spec.id) ?? Infinity);
      this.sendRequest(node, !accepted ? 'submit' : cancelling ? 'cancel' : 'poll', spec, (a) => {
        if (a.outcome === 'known' || a.outcome === 'created') accepted = true;
        // A final answer is asked for again once in a while: it must stay the same.
        if (isFinal(a)) over = w.random(4) === 0;
      });
      const leastMs = accepted ? this.pollMs : SUBMIT_AGAIN_MS;
      w.time.after(leastMs + w.random(2 * leastMs), ask);
    };
    ask();
  }

  /** One request to one node; `answered` is called when the answer arrives, never where the process ended. */
  sendRequest(
    node: number,
    call: UserCall,
    spec: JobSpec,
    answered: (a: JobOutcome) => void = () => undefined,
    body: Record<string, unknown> = formatSubmission(spec),
  ): void {
    const { w } = this;
    const target = w.nodes[node];
    if (target?.clock.alive !== true) return;
    const sentAt = w.time.now;
    if (call === 'cancel') w.checker.cancellationRequested(spec.id);
    const { jobs } = target.controller;
    const answer =
      call === 'submit' ? jobs.submit(body) : call === 'cancel' ? jobs.cancel(spec.id) : jobs.status(spec.id);
    void answer.then((a) => {
      w.observe('user-response', target.name, USER_HOST, [call, spec.id, jobStatusCode(a), bodyOf(a)]);
      w.network.send(target.name, USER_HOST, () => {
        const knownAt = this.watched.has(spec.id) ? sentAt : w.time.now;
        const isNews = w.checker.responseReceived(
          spec.id,
          call,
          jobStatusCode(a),
          'status' in a ? a.status.phase : null,
          knownAt,
        );
        answered(a);
        if (isNews && w.faults.shouldInject('closeLooks')) this.look(spec);
      });
    });
  }

  /** Asks all nodes, again and again within milliseconds, and repeats the submission; now and then cancels at once. */
  private look(spec: JobSpec): void {
    const { w } = this;
    this.watched.add(spec.id);
    for (const most of LOOKS_MS)
      for (let node = 0; node < w.nodes.length; node += 1) {
        const call = w.random(3) === 0 ? 'submit' : 'poll';
        w.time.after(w.random(most), () => {
          this.sendRequest(node, call, spec);
        });
      }
    if (spec.kind !== 'service' && w.random(CANCELS_AT_ONCE) === 0) this.cancelUntilConfirmed(spec);
  }

  /** Asks to cancel until one of the final answers comes back. */
  cancelUntilConfirmed(spec: JobSpec): void {
    this.watched.add(spec.id);
    let over = false;
    const again = (): void => {
      if (over) return;
      this.sendRequest(this.w.random(this.w.nodes.length), 'cancel', spec, (a) => {
        over = isFinal(a);
      });
      this.w.time.after(1000 + this.w.random(500), again);
    };
    again();
  }

  /** Users call off so many arrays and gangs that run and have long to go, within a fifth of a second. */
  cancelRunningJobs(count: number): JobSpec[] {
    const { w } = this;
    const running = [...w.checker.submitted.values()].filter(
      (s) =>
        s.kind !== 'service' &&
        !w.checker.isCancellationRequested(s.id) &&
        w.checker.runningTasksOf(s.id) > 0,
    );
    const chosen = running.slice(0, count);
    for (const spec of chosen)
      w.time.after(w.random(200), () => {
        this.cancelUntilConfirmed(spec);
      });
    return chosen;
  }

  /** Repeats unfinished jobs, also in part, cancels what is done, and sends what must not be accepted. */
  sendMalformedRequest(): void {
    const { w } = this;
    const known = [...w.checker.submitted.values()].filter((s) => w.checker.isAccepted(s.id));
    const spec = known[w.random(known.length)];
    const node = w.random(w.nodes.length);
    if (spec !== undefined) {
      this.watched.add(spec.id);
      const body = formatSubmission(spec);
      if (w.random(2) === 0) Reflect.deleteProperty(body, w.random(2) === 0 ? 'memGb' : 'shape');
      this.sendRequest(node, 'submit', spec, () => undefined, body);
      if (w.checker.isReportedDone(spec.id)) this.sendRequest(node, 'cancel', spec);
    }
    const template = spec ?? known[0];
    if (template === undefined) return;
    const id = jobId(900_000 + (this.odd += 1));
    const odd = malformedSubmissions({ ...template, id });
    const chosen = odd[w.random(odd.length)];
    const target = w.nodes[w.random(w.nodes.length)];
    if (chosen === undefined || target?.clock.alive !== true) return;
    void target.controller.jobs.submit(chosen.body).then((a) => {
      w.checker.invalidSubmissionAnswered(id, chosen.what, jobStatusCode(a));
    });
  }
}

/** The body of an answer as it is sent; the texts of errors are for people and may change. */
function bodyOf(a: JobOutcome): unknown {
  return 'status' in a ? formatJobStatus(a.status) : null;
}

function isFinal(a: JobOutcome): boolean {
  return 'status' in a && (a.status.phase === 'cancelled' || a.status.phase === 'done');
}

/** Fields of a submission that may be null, and so may be left out. */
const MAY_BE_LEFT_OUT: ReadonlySet<string> = new Set(['builds', 'yard', 'dueS']);

/** The job as it can never run, and once without each field that must not be left out. */
export function malformedSubmissions(spec: JobSpec): OddSubmission[] {
  const body = formatSubmission(spec);
  const lacking = Object.keys(body).filter((f) => f !== 'nameId' && !MAY_BE_LEFT_OUT.has(f));
  return [
    { what: 'more CPUs than any machine', body: { ...body, cpus: NEVER_FITS_CPUS } },
    { what: 'more accelerators than any machine', body: { ...body, accelerators: NEVER_FITS_CPUS } },
    { what: 'more memory than any machine', body: { ...body, memGb: NEVER_FITS_CPUS * 1000 } },
    { what: 'a machine type that there is not', body: { ...body, builds: ['none-such'] } },
    { what: 'no machine type', body: { ...body, builds: [] } },
    { what: 'a zone that there is not', body: { ...body, yard: 'nowhere' } },
    { what: 'a team that there is not', body: { ...body, crew: 'nobody' } },
    { what: 'no tasks', body: { ...body, pieces: 0 } },
    ...lacking.map((field) => ({
      what: `no ${field}`,
      body: Object.fromEntries(Object.entries(body).filter(([f]) => f !== field)),
    })),
  ];
}
