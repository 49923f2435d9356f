import type { Job, Machine, Placement } from '@spurbridge/model';
import type { Ms } from '@spurbridge/net';
import { later } from '@spurbridge/net';
import type { ExitCause, TaskReport, WorkerReport } from '@spurbridge/wire';
import { formatTaskName } from '@spurbridge/wire';
import type { Cluster } from './cluster.js';
import { startName } from './commands.js';
import type { Estimates } from './estimates.js';
import { reachesAll } from './gangs.js';
import type { LeaderTerm } from './leader-term.js';

/** A job whose tasks failed on this many machines in a row is at fault itself. */
const SUSPECT_JOB_MACHINES = 3;
/** A machine on which this many different jobs failed is at fault. */
const FAULTY_MACHINE_JOBS = 2;
const SLOW_FACTOR = 1.7;
/** Added to a task's own time to save, for the order to reach it. */
export const SAVE_MARGIN_S = 4;

/** Takes in what workers report of themselves and their tasks. */
export class Reports {
  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: Cluster,
    private readonly estimates: Estimates,
  ) {}

  /**
   * A worker's report, made by itself (`isOwn`) or as the answer of a direct call; `ageMs` where another node has kept it for
   * so long. An old one is passed over.
   */
  take(r: WorkerReport, isOwn: boolean, ageMs = 0): void {
    const { clock, log } = this.term.c;
    const isOfNow = !isOwn || r.token === this.term.c.leadership.token;
    const m = this.cluster.describeMachine(r.machine, r.type, r.zone, r.spot, isOfNow);
    const now = clock.now();
    if (m.state === 'gone' || m.state === 'releasing') return;
    if (m.session !== null && (r.session < m.session || (r.session === m.session && r.seq <= m.seq))) return;
    if (m.session === null || r.session > m.session) {
      m.unanswered.clear();
      m.session = r.session;
      this.cluster.clearMachine(m.id, 'newer session', r.session);
    }
    m.seq = r.seq;
    m.token = r.token;
    m.address = r.address;
    m.heardAt = later(now, -ageMs);
    m.probes = 0;
    m.unansweredProbes = 0;
    if (m.state === 'booting') {
      log.info({ machine: m.id, type: m.type, zone: m.zone, spot: m.spot }, 'machine up');
      this.cluster.emit('up', m);
      m.idleSince = this.cluster.heldCount(m.id) > 0 ? null : now;
      m.enter('ready');
      this.cluster.emit('plan');
    } else if (m.state === 'silent') {
      m.enter('ready');
      this.cluster.emit('plan');
    }
    if (m.drainReason !== '' && m.state === 'ready') m.enter('draining');
    if (r.noticeS !== null && m.noticeAt === null) this.onNotice(m, r.noticeS, now);
    this.readTasks(m, r, isOwn, now);
  }

  /**
   * Called when a report is answered with our token, with or without orders. Its holder may renew the machine's lease
   * for `grantMs` more without our hearing of it.
   */
  answered(r: WorkerReport, grantMs: number): void {
    const { clock, leadership } = this.term.c;
    const m = this.cluster.machines.get(r.machine);
    if (m === undefined) return;
    const now = clock.now();
    m.answeredUntil = r.token === leadership.token ? now : (Math.max(m.answeredUntil, now) as Ms);
    m.grantedUntil = Math.max(m.grantedUntil, now + grantMs) as Ms;
  }

  private onNotice(m: Machine, noticeS: number, now: Ms): void {
    m.noticeAt = now;
    m.goneBy = later(now, noticeS * 1000);
    this.term.c.log.info({ machine: m.id, noticeS }, 'machine will be taken back');
    this.cluster.drain(m, 'notice');
    for (const { job, task } of [...this.cluster.heldOn(m.id)]) {
      const graceS = job.spec.saveS + SAVE_MARGIN_S;
      if (job.spec.kind === 'service') job.askStop(task, graceS, 'drained', now);
      else if (job.spec.kind === 'gang' && job.spec.checkpointS > 0 && noticeS > graceS)
        if (job.gang?.state !== 'running' || reachesAll(this.cluster, this.term.c.settings, job, now))
          this.cluster.stopGang(job, graceS, 'drained');
    }
    this.cluster.emit('due', m.id);
    this.cluster.emit('plan');
  }

  private readTasks(m: Machine, r: WorkerReport, isOwn: boolean, now: Ms): void {
    // A start in a report's answer is executed or dropped before the worker's next own report is made, but not before it
    // answers a direct call, which may overtake it; and the worker has shown our token, so that no earlier leader's counts.
    const saysAll = isOwn && r.token === this.term.c.leadership.token;
    const reported = new Map<string, TaskReport>();
    for (const t of r.tasks) reported.set(formatTaskName(t.job, t.task), t);
    for (const { job, task } of [...this.cluster.heldOn(m.id)]) {
      const p = job.placements.get(task);
      if (p === undefined || p.machine !== m.id || p.session !== r.session) continue;
      const name = formatTaskName(job.spec.id, task);
      const t = reported.get(name);
      if (t?.attempt === p.attempt) {
        if (t.phase === 'exited') this.onExit(m, job, p, t.cause ?? 'error', now);
        else {
          if (p.state === 'starting' || p.state === 'queued' || p.state === 'intended')
            this.cluster.emit('changed', job);
          if (t.phase === 'running' && p.state !== 'running') {
            const type = this.cluster.type(m.type);
            m.useImage(job.spec.image, job.spec.imageGb, type?.cacheGb ?? 0);
            this.term.c.log.debug({ task: name, machine: m.id, image: job.spec.image }, 'task runs');
          }
          const before = p.state;
          job.reported(task, t.phase, now);
          // Those that were kept back for the slower ones may start now.
          if (t.phase === 'waiting' && before !== 'waiting') this.startKeptBack(job);
        }
      } else if (
        p.stop !== null &&
        (p.state === 'starting' || p.state === 'queued') &&
        saysAll &&
        !m.unanswered.has(startName(job.spec.id, task, p.attempt))
      ) {
        // No direct start is unanswered either: it was never started and never will be.
        this.cluster.gone(job, p, false, 'never started');
      }
    }
  }

  private startKeptBack(job: Job): void {
    for (const p of job.placements.values()) if (p.state === 'starting') this.cluster.emit('due', p.machine);
  }

  private onExit(m: Machine, job: Job, p: Placement, cause: ExitCause, now: Ms): void {
    const name = formatTaskName(job.spec.id, p.task);
    if (cause === 'done') {
      m.failedJobs.clear();
      job.failedOn.clear();
      job.errors = 0;
      if (p.runningAt !== null && job.spec.estimateS > 0 && job.spec.kind === 'array') {
        const ranS = (now - p.runningAt) / 1000;
        const expectedS = this.estimates.expect(job.spec);
        this.estimates.learn(job.spec, ranS / m.slowness);
        m.ran(job.spec.id, Math.min(5, Math.max(0.2, ranS / expectedS)));
        if (m.isSlow(SLOW_FACTOR)) this.cluster.drain(m, 'slow');
      }
    } else if (cause === 'error') this.onError(m, job, name, now);
    else if (cause === 'no_room') m.refusedUntil = later(now, 2000);
    else if (cause === 'unknown' || cause === 'busy') job.notBefore = later(now, 2000);
    this.cluster.gone(job, p, cause === 'done', cause);
  }

  /** Different jobs failing condemn the machine; one job failing everywhere backs off alone. */
  private onError(m: Machine, job: Job, name: string, now: Ms): void {
    job.errors += 1;
    job.failedOn.add(m.id);
    m.refusedUntil = later(now, 3000);
    this.term.c.log.info({ task: name, machine: m.id, errors: job.errors }, 'task failed');
    if (job.failedOn.size >= SUSPECT_JOB_MACHINES) {
      job.notBefore = later(now, Math.min(60, 2 ** Math.min(6, job.errors - 2)) * 1000);
      for (const id of job.failedOn) this.cluster.machines.get(id)?.failedJobs.delete(job.spec.id);
      job.failedOn.clear();
      return;
    }
    m.failedJobs.add(job.spec.id);
    if (m.failedJobs.size >= FAULTY_MACHINE_JOBS) this.cluster.drain(m, 'faulty');
  }
}
