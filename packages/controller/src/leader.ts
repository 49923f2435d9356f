import type { Job } from '@spurbridge/model';
import { later } from '@spurbridge/net';
import type { JobId, JobProgress, WorkerCommand, WorkerReport } from '@spurbridge/wire';
import { Arrivals } from './arrivals.js';
import { Cluster } from './cluster.js';
import { Commands } from './commands.js';
import { Estimates } from './estimates.js';
import { Fleet } from './fleet.js';
import { Planning } from './planning.js';
import { Progress } from './progress.js';
import { Queues } from './queues.js';
import { Recorder } from './recorder.js';
import { JobRecords } from './records.js';
import { Reports } from './reports.js';
import { answerHorizonMs } from './settings.js';
import { Served } from './served.js';
import { Settling } from './settling.js';
import { Sweeper } from './sweeper.js';
import type { LeaderContext, Room } from './leader-term.js';
import { LeaderTerm } from './leader-term.js';

/** What a report is answered with: orders, and so long its holder may answer the next ones without the leader (ms). */
export interface Renewal {
  readonly commands: WorkerCommand[];
  readonly grantMs: number;
}

/**
 * One node's leadership from election to deposition: the cluster's state in the middle, and the rooms that
 * work on it. Nothing is decided here.
 */
export class Leader {
  private readonly term: LeaderTerm;
  private readonly cluster: Cluster;
  private readonly records: JobRecords;
  private readonly reports: Reports;
  private readonly commands: Commands;
  private readonly recorder: Recorder;
  private readonly fleet: Fleet;
  private readonly planning: Planning;
  private readonly sweeper: Sweeper;
  private readonly shown: Progress;
  private readonly settling: Settling;
  private readonly served: Served;
  private readonly rooms: readonly Room[];
  private ready = false;

  constructor(c: LeaderContext) {
    const term = new LeaderTerm(c);
    const cluster = new Cluster({
      clock: c.clock,
      log: c.log,
      types: c.types,
      ageMs: (at) => Math.max(0, c.wallNow() - at),
      answeredUntil: later(term.electedAt, answerHorizonMs(c.settings)),
    });
    this.term = term;
    this.cluster = cluster;
    const estimates = new Estimates();
    cluster.on('learned', ({ spec }) => {
      if (spec.kind !== 'service' && spec.cpus > 0) estimates.sized(spec);
    });
    const arrivals = new Arrivals(
      estimates,
      () => c.configuration().teams,
      () => c.clock.now(),
    );
    this.shown = new Progress(term, cluster);
    this.records = new JobRecords(term, cluster, (record) => {
      arrivals.learned(record.spec, later(c.clock.now(), -Math.max(0, c.wallNow() - record.at)));
    });
    this.reports = new Reports(term, cluster, estimates);
    this.served = new Served(term, cluster);
    this.settling = new Settling(term, cluster, () => this.fleet.listedAt);
    const isSettled = (): boolean => this.settling.isOver;
    const queues = new Queues(cluster, () => c.clock.now());
    const takeReport = (r: WorkerReport): void => {
      this.take(r, false);
      // What it makes room for need not wait until the worker reports by itself.
      if (queues.release(r.machine)) cluster.emit('due', r.machine);
    };
    const mayPlace = (job: Job): boolean => this.settling.mayPlace(job);
    this.commands = new Commands(
      term,
      cluster,
      queues,
      takeReport,
      () => this.settling.knowsMachines,
      mayPlace,
    );
    this.recorder = new Recorder(
      term,
      cluster,
      (item) => {
        this.records.learn(item);
      },
      (job) => this.rooms.every((room) => room.mayClose(job)),
    );
    this.fleet = new Fleet(term, cluster, arrivals, isSettled);
    this.rooms = c.rooms.map((room) => room(term, cluster));
    this.planning = new Planning(term, cluster, estimates, {
      hasJoined: (job) => mayPlace(job) && this.rooms.every((room) => room.hasJoined(job)),
      isSettled,
      unknownUse: (team) => this.settling.unknownUse(team),
      isComingIn: () => this.fleet.isComingIn(c.clock.now()),
      planned: (unmet) => {
        this.fleet.planned(unmet);
      },
    });
    this.sweeper = new Sweeper(term, cluster, this.fleet, queues, takeReport, () => this.settling.awaited);
  }

  /** Rebuilds from the records, then runs until deposed. */
  async run(): Promise<void> {
    const revision = await this.records.load();
    if (revision === null) return;
    for (const room of this.rooms) await room.restore();
    this.ready = true;
    const { jobs, machines } = this.cluster;
    this.term.c.log.info({ jobs: jobs.size, machines: machines.size }, 'leader ready');
    this.term.c.ready();
    this.planning.request();
    await Promise.all([
      this.records.watch(revision),
      this.planning.run(),
      this.sweeper.run(),
      this.recorder.run(),
      this.fleet.run(),
      this.shown.run(),
      this.settling.run(),
      this.served.run(),
      ...this.rooms.map((room) => room.run()),
    ]);
  }

  depose(): void {
    this.term.end();
    this.planning.request();
    this.recorder.stop();
  }

  requestPlan(): void {
    this.planning.request();
  }

  /** Whether the records are read. */
  get isReady(): boolean {
    return this.ready;
  }

  /** How old what is known of cancellations is, in milliseconds. */
  private get recordsAgeMs(): number {
    return this.rooms.every((room) => room.isFresh) ? this.records.ageMs : Infinity;
  }

  /** A report that its worker was answered for by another node, this long ago. */
  hear(r: WorkerReport, ageMs: number): void {
    this.take(r, true, ageMs);
  }

  /**
   * A report and the orders for its answer, or null where it may not be answered: an answer renews the machine's lease, and
   * all that may have been confirmed as cancelled must be gone in time (docs/design.md, "Renewals"). `sureMs` is how long
   * ago this node surely led. One that was `forwarded` may be answered by its holder for `grantMs` more.
   */
  report(r: WorkerReport, sureMs: number, forwarded: boolean): Renewal | null {
    const { settings } = this.term.c;
    const { recordsAgeMs } = this;
    if (recordsAgeMs > answerHorizonMs(settings)) return null;
    this.take(r, true);
    const commands = this.ready ? this.commands.ordersFor(r) : this.commands.cancelledIn(r);
    if (commands === null) return null;
    const leftMs = answerHorizonMs(settings) - Math.max(sureMs, recordsAgeMs);
    // A holder knows nothing of the stops in this answer, which its worker may never get: it asks again each time. Nor may
    // it stand in for a leader that has not read what may be on its way there.
    const mayGrant = forwarded && this.ready && !this.commands.isCancelledOn(r.machine, commands);
    const grantMs = mayGrant ? Math.max(0, leftMs) : 0;
    this.reports.answered(r, grantMs);
    return { commands, grantMs };
  }

  private take(r: WorkerReport, isOwn: boolean, ageMs = 0): void {
    this.reports.take(r, isOwn, ageMs);
    if (this.ready) this.settling.take(r);
  }

  progress(id: JobId): JobProgress | null {
    return this.shown.of(id);
  }
}
