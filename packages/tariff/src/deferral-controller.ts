import type {
  ClusterState,
  LeaderComponent,
  LeaderComponentFactory,
  LeaderTerm,
} from '@spurbridge/controller';
import { WakeSignal, heartbeatTimeoutMs } from '@spurbridge/controller';
import type { Job, Placement, WallClockMs } from '@spurbridge/model';
import { fitsMachineType } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { effectiveCpus } from '@spurbridge/planner';
import type { JobId, JobSpec, TariffDocument } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';
import type { DeferralState } from './deferral.js';
import { Deferral } from './deferral.js';
import type { TariffFeedSource } from './feed.js';
import { TariffFeedPoller, rejectionReason } from './feed.js';
import { TariffRepository } from './tariff-repository.js';
import { CostForecaster } from './cost-forecast.js';
import type { Capacity, ReleaseDecision, ReleaseInput, DeferrableJob } from './release.js';
import { decideReleases } from './release.js';

export interface TariffOptions {
  /** The tariff of a file, used until a feed has a newer one. */
  readonly document: TariffDocument | null;
  /** The feed, or null for the file alone; the seed spreads its requests. */
  readonly feed: {
    readonly source: TariffFeedSource;
    readonly seed: number;
    readonly silentS: number;
  } | null;
  /** 0: price alone; 1: carbon alone. */
  readonly carbonShare: number;
  /** Seconds beyond a tariff's validity for which its recurring windows are believed. */
  readonly patternS: number;
  /** Share of its cost that a wait must save. */
  readonly leastSaving: number;
  /** A task's run time is taken to be at most what this share of them take. */
  readonly probability: number;
  /** Lost runs of a task that a finish time must survive. */
  readonly spareRuns: number;
  /** Classes that may be deferred, or null for all that have a deadline. */
  readonly classes: readonly string[] | null;
}

export const DEFAULT_TARIFF_OPTIONS: TariffOptions = {
  document: null,
  feed: null,
  carbonShare: 0,
  patternS: 48 * 3600,
  leastSaving: 0.05,
  probability: 0.98,
  spareRuns: 1,
  classes: null,
};

const LEAST_GAP_MS = 250;
/** After a decision, this many times as long as it took is left to everything else. */
const REST = 20;
const USUAL_GAP_MS = 5000;
const LEARN_MS = 60_000;
const FLUSH_ROUNDS = 20;
/** A new planned moment is recorded only when it differs by this much. */
const MOVED_MS = 60_000;
/** Boots and fetches take up to this many times their nominal time, but for a few. */
const SLOW_LEAD = 1.6;
const PLAN_LEAD_S = 2;
const TAKEOVER_S = 12;
const ASSUMED_BOOT_S = 60;
/** A gang needs all its places at once: one wider than this share of what is there is not deferred. */
const GANG_SHARE = 0.5;

/** What has joined the order and is not done: CPU seconds, and CPUs if all of it ran now. */
interface Ahead {
  readonly team: ReadonlyMap<string, { readonly work: number; readonly wanted: number }>;
  readonly pool: { readonly work: number; readonly wanted: number };
}

/** Where a job that has not started stands: only `joined` ones take part in the order. */
type Standing = 'new' | 'waiting' | 'joined';

/**
 * Keeps deferrable jobs out of the order until their release. It decides only when a job joins; whoever has
 * joined is treated like everybody else, and no start, quota or stop is touched.
 */
class DeferralController implements LeaderComponent {
  private readonly keeper: TariffRepository;
  private readonly outlook: CostForecaster;
  private readonly signal = new WakeSignal();
  /** Jobs that are known and deferrable, until they start or end. */
  private readonly standing = new Map<JobId, Standing>();
  private readonly feed: TariffFeedPoller | null;
  private nextAt: WallClockMs | null = null;
  private restoredAt: MonotonicMs | null = null;
  private failed = false;

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    private readonly o: TariffOptions,
  ) {
    this.keeper = new TariffRepository(term);
    this.outlook = new CostForecaster(o);
    const { clock, log } = term.context;
    this.feed =
      o.feed === null
        ? null
        : new TariffFeedPoller({
            source: o.feed.source,
            seed: o.feed.seed,
            silentS: o.feed.silentS,
            clock,
            log,
            last: () => this.keeper.document,
            take: (t) => this.take(t),
          });
    cluster.on('learned', (job) => {
      if (this.isDeferrable(job)) {
        this.standing.set(job.spec.id, 'new');
        this.signal.notify();
      }
    });
    cluster.on('placed', (job) => this.standing.delete(job.spec.id));
    cluster.on('ended', (job) => {
      if (this.standing.delete(job.spec.id)) this.signal.notify();
    });
    cluster.on('off', (job, p, done) => {
      if (done) this.learn(job.spec, p);
    });
  }

  private wall(): WallClockMs {
    return this.term.context.wallNow();
  }

  // --- life ------------------------------------------------------------------------------------

  async restore(): Promise<void> {
    await this.keeper.load();
    if (!this.term.isActive) return;
    const stated = this.o.document;
    // A feed's tariff of an earlier leader is newer than this file, unless the file says otherwise.
    if (stated !== null && stated !== this.keeper.document)
      if (this.keeper.document === null || rejectionReason(stated, this.keeper.document) === null)
        if (stated.revision !== this.keeper.document?.revision) await this.take(stated);
    // The file goes without being kept: every node has it.
    this.keeper.document ??= stated;
    for (const job of this.cluster.jobs.values())
      if (hasBegun(job)) this.standing.delete(job.spec.id);
      else if (this.standing.has(job.spec.id)) {
        const d = this.keeper.book.get(job.spec.id);
        if (d !== undefined) this.standing.set(job.spec.id, d.state === 'deferred' ? 'waiting' : 'joined');
      }
    for (const d of [...this.keeper.book.all()])
      if (!this.standing.has(d.job)) this.keeper.book.remove(d.job);
    this.restoredAt = this.term.context.clock.now();
    this.decide();
  }

  async run(): Promise<void> {
    const feed = this.feed;
    await Promise.all([
      this.guarded(() => this.decideLoop()),
      this.guarded(() => this.learnLoop()),
      feed === null ? null : this.guarded(() => feed.run(() => this.term.isActive)),
    ]);
  }

  /** Deferring is a favour to the bill: should any of it fail, the leader goes on without. */
  private async guarded(loop: () => Promise<void>): Promise<void> {
    try {
      await loop();
    } catch (e) {
      this.fail(e);
    }
  }

  private fail(e: unknown): void {
    this.failed = true;
    this.term.context.log.error(
      { error: e instanceof Error ? (e.stack ?? e.message) : String(e) },
      'deferring failed: this leader defers nothing any more',
    );
    this.cluster.emit('plan');
  }

  mayClose(): boolean {
    return true;
  }

  get isFresh(): boolean {
    return true;
  }

  isSchedulable(job: Job): boolean {
    if (this.failed) return true;
    const s = this.standing.get(job.spec.id);
    return s === undefined || s === 'joined';
  }

  private async take(t: TariffDocument): Promise<boolean> {
    const kept = await this.keeper.keepDocument(t);
    if (kept) {
      this.term.context.log.info({ revision: t.revision, slots: t.slots.length }, 'tariff taken');
      this.signal.notify();
    }
    return kept;
  }

  private async decideLoop(): Promise<void> {
    const { clock, leadership } = this.term.context;
    while (this.term.isActive && !this.failed) {
      const dueMs = this.nextAt === null ? USUAL_GAP_MS : this.nextAt - this.wall();
      await this.signal.wait(clock, Math.max(LEAST_GAP_MS, Math.min(USUAL_GAP_MS, dueMs)));
      if (!this.term.isActive) return;
      const began = clock.now();
      if (leadership.holdsValidLease()) {
        this.decide();
        await this.settle();
      }
      await clock.sleep(Math.max(LEAST_GAP_MS, (clock.now() - began) * REST));
    }
  }

  /** Makes decisions durable; those released join the order only then, so that no leader defers them anew. */
  private async settle(): Promise<void> {
    for (let round = 0; round < FLUSH_ROUNDS && this.term.isActive; round += 1)
      if (await this.keeper.flush()) break;
    if (!this.term.isActive) return;
    let joined = 0;
    for (const d of [...this.keeper.book.all()]) {
      if (d.state !== 'deferred' && this.keeper.book.isDurable(d.job))
        if (this.standing.get(d.job) === 'waiting') {
          this.standing.set(d.job, 'joined');
          joined += 1;
        }
      // Once a start of it is durable, or the job is over, its task records say all.
      const job = this.cluster.jobs.get(d.job);
      if (job === undefined || job.state !== 'active' || isRecorded(job)) this.keeper.book.remove(d.job);
    }
    if (joined > 0) this.cluster.emit('plan');
  }

  private async learnLoop(): Promise<void> {
    while (this.term.isActive) {
      await this.term.context.clock.sleep(LEARN_MS);
      if (!this.term.isActive || !this.term.context.leadership.holdsValidLease()) continue;
      await this.keeper.keepLearned();
      const waiting = [...this.standing.values()].filter((s) => s === 'waiting').length;
      if (waiting > 0)
        this.term.context.log.info(
          { waiting, next: this.nextAt, feed: this.feed?.state ?? 'none' },
          'deferred',
        );
    }
  }

  private learn(spec: JobSpec, p: Placement): void {
    if (spec.kind !== 'array' || p.runningSince === null) return;
    // One that ran already when this node took over began at a time that nobody here knows.
    if (p.placedAt <= (this.restoredAt ?? Infinity)) return;
    this.keeper.runTimes(spec.class).observe(spec, (this.term.context.clock.now() - p.runningSince) / 1000);
  }

  // --- what may be deferred --------------------------------------------------------------------

  private isDeferrable(job: Job): boolean {
    const { spec } = job;
    if (spec.kind === 'service' || spec.deadlineS === null || spec.estimateS <= 0) return false;
    if (isUrgent(spec)) return false;
    if (this.o.classes !== null && !this.o.classes.includes(spec.class)) return false;
    return job.state === 'active' && !hasBegun(job);
  }

  private submitted(job: Job): WallClockMs {
    return (this.wall() - (this.term.context.clock.now() - job.submittedAt)) as WallClockMs;
  }

  /** By when the job must be complete: its deadline, or what the aims of its class say if that is sooner. */
  private finishBy(job: Job, deadlineS: number): WallClockMs {
    let withinS = deadlineS;
    for (const x of this.term.context.configuration().objectives) {
      if (x.class !== job.spec.class) continue;
      if (x.kind === 'deadline' && x.times !== null) withinS = Math.min(withinS, deadlineS * x.times);
      if (x.kind === 'finished' && x.withinS !== null) withinS = Math.min(withinS, x.withinS);
    }
    return (this.submitted(job) + withinS * 1000) as WallClockMs;
  }

  private startBy(job: Job): WallClockMs | null {
    let withinS = Infinity;
    for (const x of this.term.context.configuration().objectives)
      if (x.class === job.spec.class && x.kind === 'wait') withinS = Math.min(withinS, x.withinS ?? Infinity);
    return withinS === Infinity ? null : ((this.submitted(job) + withinS * 1000) as WallClockMs);
  }

  private leadS(spec: JobSpec): number {
    const types = this.term.context.machineTypes().filter((t) => fitsMachineType(spec, t));
    const bootS = this.cluster.minimizesCost
      ? Math.max(...types.map((t) => t.bootS), 0) || ASSUMED_BOOT_S
      : 0;
    const rate = Math.min(...types.map((t) => t.fetchGbPerS), Infinity);
    const fetchS = rate > 0 && rate < Infinity ? spec.imageGb / rate : 0;
    return PLAN_LEAD_S + (bootS + fetchS) * SLOW_LEAD;
  }

  private waitingJob(job: Job, team: number, zones: readonly string[], deadlineS: number): DeferrableJob {
    const { spec } = job;
    const times = this.keeper.runTimes(spec.class);
    const taskS = times.quantileS(spec.estimateS, this.o.probability);
    const leadS = this.leadS(spec);
    const cpus = spec.tasks * effectiveCpus(spec, this.term.context.machineTypes());
    const lostS = taskS + leadS + heartbeatTimeoutMs(this.term.context.settings) / 1000;
    return {
      id: spec.id,
      deferred: this.standing.get(spec.id) === 'waiting',
      team,
      prices: spec.zone === null ? 0 : zones.indexOf(spec.zone) + 1,
      cpus,
      work: cpus * times.meanS(spec.estimateS),
      taskS,
      leadS,
      marginS: TAKEOVER_S + lostS * this.o.spareRuns,
      finishBy: this.finishBy(job, deadlineS),
      startBy: this.startBy(job),
    };
  }

  // --- decisions -------------------------------------------------------------------------------

  private zones(): string[] {
    const zones = new Set<string>();
    for (const t of this.term.context.machineTypes()) for (const z of t.zones) zones.add(z);
    for (const m of this.cluster.machines.values()) if (m.zone !== '') zones.add(m.zone);
    return [...zones].sort();
  }

  /** What stands ahead of the deferred work: CPUs in use for good, and CPU seconds still to be done. */
  private observe(): Ahead {
    const services = new Map<string, number>();
    const urgent = new Map<string, number>();
    const team = new Map<string, { work: number; wanted: number }>();
    const pool = { work: 0, wanted: 0 };
    const types = this.term.context.machineTypes();
    for (const job of this.cluster.jobs.values()) {
      if (job.state !== 'active') continue;
      const s = this.standing.get(job.spec.id);
      if (s === 'new' || s === 'waiting') continue;
      const { spec } = job;
      const cpus = effectiveCpus(spec, types);
      if (spec.kind === 'service')
        services.set(spec.team, (services.get(spec.team) ?? 0) + cpus * spec.tasks);
      else {
        const left = spec.tasks - job.doneCount;
        const work = cpus * left * this.keeper.runTimes(spec.class).meanS(spec.estimateS);
        const of = team.get(spec.team) ?? { work: 0, wanted: 0 };
        team.set(spec.team, of);
        for (const x of [of, pool]) {
          x.work += work;
          x.wanted += cpus * left;
        }
        // Of a stream of urgent work there will be as much in an hour.
        if (spec.deadlineS === null || isUrgent(spec))
          urgent.set(spec.team, (urgent.get(spec.team) ?? 0) + cpus * job.placements.size);
      }
    }
    let cpus = 0;
    for (const m of this.cluster.machines.values())
      if (m.isSchedulable) cpus += this.cluster.machineType(m.type)?.cpus ?? 0;
    this.keeper.capacity.observe(this.term.context.clock.now(), cpus, services, urgent);
    return { team, pool };
  }

  /** A time that the calendar refused once deposed one leader after the other. */
  private decide(): void {
    try {
      this.decideAll();
    } catch (e) {
      this.fail(e);
    }
  }

  private decideAll(): void {
    const doc = this.keeper.document;
    const undecided = [...this.standing].filter(([, s]) => s === 'new' || s === 'waiting');
    const ahead = this.observe();
    this.nextAt = null;
    if (undecided.length === 0) return;
    const now = this.wall();
    // With no tariff there is nothing to wait for.
    if (doc === null) {
      for (const [id] of undecided) this.carryOut({ id, at: now, reason: 'no-saving', ratio: 1 }, now, 0);
      return;
    }
    const { teams } = this.term.context.settings;
    const capacities = teams.map((t): Capacity => {
      const before = ahead.team.get(t.name);
      return {
        cpus: this.keeper.capacity.of(t),
        ahead: before?.work ?? 0,
        wanted: before?.wanted ?? 0,
      };
    });
    const zones = this.zones();
    const jobs: DeferrableJob[] = [];
    let last = now;
    for (const [id] of undecided) {
      const job = this.cluster.jobs.get(id);
      const deadlineS = job?.spec.deadlineS ?? null;
      const team = teams.findIndex((t) => t.name === job?.spec.team);
      if (job === undefined || deadlineS === null || team < 0) continue;
      const waiting = this.waitingJob(job, team, zones, deadlineS);
      last = Math.max(last, waiting.finishBy) as WallClockMs;
      const most = (capacities[team]?.cpus ?? 0) * GANG_SHARE;
      if (job.spec.kind === 'gang' && waiting.cpus > most)
        this.carryOut({ id, at: now, reason: 'no-room', ratio: 1 }, now, doc.revision);
      else jobs.push(waiting);
    }
    const costs = this.outlook.costs(doc, zones, now, last);
    const input: ReleaseInput = {
      now,
      jobs,
      teams: capacities,
      pool: { cpus: this.keeper.capacity.pool, ahead: ahead.pool.work, wanted: ahead.pool.wanted },
      starts: costs.starts,
      until: costs.until,
      prices: costs.cost,
      leastSaving: this.o.leastSaving,
    };
    for (const d of decideReleases(input)) this.carryOut(d, now, doc.revision);
  }

  private carryOut(d: ReleaseDecision, now: WallClockMs, revision: number): void {
    const { book } = this.keeper;
    const known = book.get(d.id);
    const { log } = this.term.context;
    if (d.at <= now) {
      if (known === undefined) {
        this.standing.set(d.id, 'joined');
        log.debug({ job: d.id, reason: d.reason }, 'job not deferred');
        this.cluster.emit('plan');
        return;
      }
      if (known.state !== 'deferred') return;
      const next: DeferralState = d.reason === 'latest' || d.reason === 'no-room' ? 'forced' : 'released';
      known.change(next, now, d.reason, revision);
      book.markChanged(d.id);
      log.debug({ job: d.id, state: next, reason: d.reason, waitedMs: now - known.since }, 'job released');
      return;
    }
    this.nextAt = this.nextAt === null ? d.at : (Math.min(this.nextAt, d.at) as WallClockMs);
    if (known === undefined) {
      book.add(new Deferral(d.id, now, d.at, d.reason, revision));
      this.standing.set(d.id, 'waiting');
      log.debug({ job: d.id, until: d.at, reason: d.reason, ratio: d.ratio, revision }, 'job deferred');
    } else if (known.state === 'deferred' && isNews(known, d)) {
      known.change('deferred', d.at, d.reason, revision);
      book.markChanged(d.id);
    }
  }
}

/**
 * Whether a wait has become another one. Hundreds whose turn comes nearer by seconds are none: written down
 * each time, they took the changes that urgent starts needed.
 */
function isNews(known: Deferral, d: ReleaseDecision): boolean {
  if (Math.abs(known.until - d.at) > MOVED_MS) return true;
  return known.reason !== d.reason && d.reason !== 'turn' && known.reason !== 'turn';
}

function isUrgent(spec: JobSpec): boolean {
  return spec.priority === 'production' || spec.priority === 'high';
}

/** Whether a task of the job may ever have been started: then it is never deferred. */
function hasBegun(job: Job): boolean {
  return job.doneCount > 0 || job.placements.size > 0 || job.chunks.some((c) => c.attemptsIssued > 0);
}

/** Whether the state service says so. */
function isRecorded(job: Job): boolean {
  return job.chunks.some((c) => c.version !== KEY_ABSENT);
}

/** A room that makes deferrable work wait for cheaper or cleaner hours. */
export function deferralControllerFactory(options: TariffOptions): LeaderComponentFactory {
  return (term, cluster) => new DeferralController(term, cluster, options);
}
