/**
 * Defers jobs to cheaper or cleaner hours.
 *
 * @module
 */
import type {
  ClusterState,
  LeaderTerm,
  LeaderComponent,
  LeaderComponentFactory,
} from '@spurbridge/controller';
import { WakeSignal } from '@spurbridge/controller';
import type { Job, Placement } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import type { JobSpec, TariffDocument } from '@spurbridge/wire';
import { AdmissionStates } from './admission-states.js';
import { isDeferrable, mayHaveStarted } from './eligibility.js';
import { TariffFeedPoller, rejectionReason } from './feed-poller.js';
import type { FeedOptions, TariffOptions } from './options.js';
import { ReleaseScheduler } from './release-scheduler.js';
import { TariffRepository } from './tariff-repository.js';

/** Minimum and maximum pause between two decisions, in milliseconds. */
const MIN_DECISION_PAUSE_MS = 250;
const MAX_DECISION_PAUSE_MS = 5000;
/** The pause after a decision is at least this multiple of its duration, to leave time for other work. */
const PAUSE_PER_DECISION_TIME = 20;
/** Pause between two writes of observations, in milliseconds. */
const OBSERVATION_PAUSE_MS = 60_000;

/**
 * Keeps deferrable jobs from being scheduled until their release. It only decides when a job is admitted; an
 * admitted job is treated like any other, and starts, quotas and stops are not affected.
 */
class DeferralController implements LeaderComponent {
  private readonly repository: TariffRepository;
  private readonly admissions = new AdmissionStates();
  private readonly scheduler: ReleaseScheduler;
  private readonly poller: TariffFeedPoller | null;
  private readonly wakeUp = new WakeSignal();
  private restoredAt: MonotonicMs | null = null;
  private hasFailed = false;

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    private readonly options: TariffOptions,
  ) {
    this.repository = new TariffRepository(term);
    this.scheduler = new ReleaseScheduler(term, cluster, this.repository, this.admissions, options);
    this.poller = options.feed === null ? null : this.createPoller(options.feed);
    cluster.on('jobAdded', (job) => {
      this.onJobAdded(job);
    });
    cluster.on('taskPlaced', (job) => {
      this.admissions.remove(job.spec.id);
    });
    cluster.on('jobEnded', (job) => {
      if (this.admissions.remove(job.spec.id)) this.wakeUp.notify();
    });
    cluster.on('taskRemoved', (job, placement, isDone) => {
      if (isDone) this.observeRunTime(job.spec, placement);
    });
  }

  private createPoller({ source, seed, silentS }: FeedOptions): TariffFeedPoller {
    const { clock, log } = this.term.context;
    return new TariffFeedPoller({
      source,
      seed,
      silentS,
      clock,
      log,
      lastAccepted: () => this.repository.document,
      apply: (document) => this.replaceDocument(document),
    });
  }

  // --- leader component ------------------------------------------------------------------------

  isSchedulable(job: Job): boolean {
    return this.hasFailed || this.admissions.isAdmitted(job.spec.id);
  }

  mayClose(): boolean {
    return true;
  }

  get isFresh(): boolean {
    return true;
  }

  async restore(): Promise<void> {
    await this.repository.load();
    if (!this.term.isActive) return;
    await this.restoreDocument();
    this.restoreAdmissions();
    this.restoredAt = this.term.context.clock.now();
    this.decide();
  }

  async run(): Promise<void> {
    const { poller } = this;
    await Promise.all([
      this.contain(() => this.runDecisions()),
      this.contain(() => this.runObservations()),
      poller === null ? null : this.contain(() => poller.run(() => this.term.isActive)),
    ]);
  }

  // --- failures --------------------------------------------------------------------------------

  /** Deferral only reduces cost, so the leader continues without it after an error. */
  private async contain(loop: () => Promise<void>): Promise<void> {
    try {
      await loop();
    } catch (error) {
      this.fail(error);
    }
  }

  private fail(error: unknown): void {
    this.hasFailed = true;
    this.term.context.log.error(
      { error: error instanceof Error ? (error.stack ?? error.message) : String(error) },
      'deferral failed; this leader schedules all jobs without deferral',
    );
    this.cluster.emit('replanNeeded');
  }

  // --- state -----------------------------------------------------------------------------------

  /**
   * A feed's tariff stored by an earlier leader takes precedence over this node's file, unless the file is
   * newer.
   */
  private async restoreDocument(): Promise<void> {
    const fromFile = this.options.document;
    const { document: stored } = this.repository;
    const isAcceptable = stored === null || (fromFile !== null && rejectionReason(fromFile, stored) === null);
    if (fromFile !== null && isAcceptable && fromFile.revision !== stored?.revision)
      await this.replaceDocument(fromFile);
    // A file's tariff is used even if it cannot be stored, because every node has the file.
    this.repository.document ??= fromFile;
  }

  private restoreAdmissions(): void {
    const { deferrals } = this.repository;
    for (const job of this.cluster.jobs.values()) {
      const { id } = job.spec;
      if (mayHaveStarted(job)) this.admissions.remove(id);
      const deferral = this.admissions.has(id) ? deferrals.get(id) : undefined;
      if (deferral !== undefined)
        this.admissions.set(id, deferral.state === 'deferred' ? 'waiting' : 'admitted');
    }
    for (const { job } of [...deferrals.all()]) if (!this.admissions.has(job)) deferrals.remove(job);
  }

  private async replaceDocument(document: TariffDocument): Promise<boolean> {
    const isStored = await this.repository.storeDocument(document);
    if (isStored) {
      this.term.context.log.info(
        { revision: document.revision, slots: document.slots.length },
        'tariff applied',
      );
      this.wakeUp.notify();
    }
    return isStored;
  }

  // --- events ----------------------------------------------------------------------------------

  private onJobAdded(job: Job): void {
    if (!isDeferrable(job, this.options.classes)) return;
    this.admissions.set(job.spec.id, 'undecided');
    this.wakeUp.notify();
  }

  private observeRunTime(spec: JobSpec, placement: Placement): void {
    if (spec.kind !== 'array' || placement.runningSince === null) return;
    // The start time of a task that ran before this node became leader is unknown here.
    if (placement.placedAt <= (this.restoredAt ?? Infinity)) return;
    const ranMs = this.term.context.clock.now() - placement.runningSince;
    this.repository.runTimes(spec.class).observe(spec, ranMs / 1000);
  }

  // --- loops -----------------------------------------------------------------------------------

  /**
   * Catches all errors, because the leader would resign, and its successors, too, if the error recurs. This
   * happened with an instant that the calendar rejected.
   */
  private decide(): void {
    try {
      this.scheduler.decide();
    } catch (error) {
      this.fail(error);
    }
  }

  private async runDecisions(): Promise<void> {
    const { clock, leadership, wallNow } = this.term.context;
    while (this.term.isActive && !this.hasFailed) {
      const { nextReleaseAt } = this.scheduler;
      const dueMs = nextReleaseAt === null ? MAX_DECISION_PAUSE_MS : nextReleaseAt - wallNow();
      const pauseMs = Math.max(MIN_DECISION_PAUSE_MS, Math.min(MAX_DECISION_PAUSE_MS, dueMs));
      await this.wakeUp.wait(clock, pauseMs);
      if (!this.term.isActive) return;
      const startedAt = clock.now();
      if (leadership.holdsValidLease()) {
        this.decide();
        await this.scheduler.persistDecisions();
      }
      const tookMs = clock.now() - startedAt;
      await clock.sleep(Math.max(MIN_DECISION_PAUSE_MS, tookMs * PAUSE_PER_DECISION_TIME));
    }
  }

  private async runObservations(): Promise<void> {
    const { clock, leadership, log } = this.term.context;
    while (this.term.isActive) {
      await clock.sleep(OBSERVATION_PAUSE_MS);
      if (!this.term.isActive || !leadership.holdsValidLease()) continue;
      await this.repository.storeObservations();
      const waiting = this.admissions.waitingCount;
      const next = this.scheduler.nextReleaseAt;
      if (waiting > 0)
        log.info({ waiting, next, feed: this.poller?.state ?? 'none' }, 'jobs are waiting for release');
    }
  }
}

/** Creates the leader component that defers jobs. */
export function deferralControllerFactory(options: TariffOptions): LeaderComponentFactory {
  return (term, cluster) => new DeferralController(term, cluster, options);
}
