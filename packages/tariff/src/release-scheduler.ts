/**
 * Makes release decisions, carries them out and makes them durable.
 *
 * @module
 */
import type { ClusterState, LeaderTerm } from '@spurbridge/controller';
import type { Job, WallClockMs } from '@spurbridge/model';
import type { JobId, TariffDocument } from '@spurbridge/wire';
import type { AdmissionStates } from './admission-states.js';
import { CostForecaster } from './cost-forecast.js';
import type { DeferralState } from './deferral.js';
import { Deferral } from './deferral.js';
import { hasTaskRecord } from './eligibility.js';
import { JobEstimator } from './job-estimates.js';
import type { TariffOptions } from './options.js';
import { decideReleases } from './release.js';
import type { Capacity, DeferrableJob, ReleaseDecision } from './release-decision.js';
import type { TariffRepository } from './tariff-repository.js';
import type { Backlog, Workload } from './workload.js';
import { measureWorkload } from './workload.js';

/** Maximum number of commits per round of decisions. */
const MAX_FLUSHES = 20;
/** A planned release is recorded again only if it moves by more than this, in milliseconds. */
const MIN_RECORDED_MOVE_MS = 60_000;
/**
 * A gang starts only when all its tasks fit at the same time. One that needs more than this share of its team's
 * capacity is not deferred.
 */
const MAX_GANG_SHARE = 0.5;

/** Decides which jobs wait for hours with lower prices or less carbon, and admits the others. */
export class ReleaseScheduler {
  /** The planned time of the next release. */
  nextReleaseAt: WallClockMs | null = null;
  private readonly forecaster: CostForecaster;
  private readonly estimator: JobEstimator;

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    private readonly repository: TariffRepository,
    private readonly admissions: AdmissionStates,
    private readonly options: TariffOptions,
  ) {
    this.forecaster = new CostForecaster(options);
    this.estimator = new JobEstimator(term, cluster, repository, options);
  }

  // --- decisions -------------------------------------------------------------------------------

  /** Decides about all jobs that are not admitted. */
  decide(): void {
    const { document } = this.repository;
    const undecided = this.admissions.notAdmitted();
    const workload = this.observeWorkload();
    this.nextReleaseAt = null;
    if (undecided.length === 0) return;
    const now = this.term.context.wallNow();
    if (document === null) {
      // Without a tariff there is no reason to defer.
      for (const id of undecided) this.apply({ id, at: now, reason: 'no-saving', costRatio: 1 }, now, 0);
      return;
    }
    this.decideByTariff(document, undecided, workload, now);
  }

  private decideByTariff(
    document: TariffDocument,
    undecided: readonly JobId[],
    workload: Workload,
    now: WallClockMs,
  ): void {
    const teams = this.teamCapacities(workload);
    const zones = this.zones();
    const jobs: DeferrableJob[] = [];
    let lastFinish = now;
    for (const id of undecided) {
      const estimated = this.estimate(id, zones);
      if (estimated === null) continue;
      lastFinish = Math.max(lastFinish, estimated.finishBy) as WallClockMs;
      if (this.isGangTooWide(estimated, teams))
        this.apply({ id, at: now, reason: 'no-room', costRatio: 1 }, now, document.revision);
      else jobs.push(estimated);
    }
    const { starts, until, cost } = this.forecaster.costs(document, zones, now, lastFinish);
    const pool = capacityOf(this.repository.capacity.totalCpus, workload.totalBacklog);
    const decisions = decideReleases({
      now,
      jobs,
      teams,
      pool,
      starts,
      until,
      prices: cost,
      minSaving: this.options.minSaving,
    });
    for (const decision of decisions) this.apply(decision, now, document.revision);
  }

  private estimate(id: JobId, zones: readonly string[]): DeferrableJob | null {
    const job = this.cluster.jobs.get(id);
    const deadlineS = job?.spec.deadlineS ?? null;
    const team = this.term.context.settings.teams.findIndex((candidate) => candidate.name === job?.spec.team);
    if (job === undefined || deadlineS === null || team < 0) return null;
    const isWaiting = this.admissions.get(id) === 'waiting';
    return this.estimator.estimate(job, { isWaiting, team, zones, deadlineS });
  }

  private isGangTooWide({ id, team, cpus }: DeferrableJob, teams: readonly Capacity[]): boolean {
    const teamCpus = teams[team]?.cpus ?? 0;
    return this.cluster.jobs.get(id)?.spec.kind === 'gang' && cpus > teamCpus * MAX_GANG_SHARE;
  }

  // --- observations ----------------------------------------------------------------------------

  private zones(): string[] {
    const zones = new Set<string>();
    for (const type of this.term.context.machineTypes()) for (const zone of type.zones) zones.add(zone);
    for (const machine of this.cluster.machines.values()) if (machine.zone !== '') zones.add(machine.zone);
    return [...zones].sort();
  }

  private teamCapacities({ backlogs }: Workload): Capacity[] {
    return this.term.context.settings.teams.map((team) =>
      capacityOf(this.repository.capacity.cpusFor(team), backlogs.get(team.name)),
    );
  }

  /** Measures the work of admitted jobs and the available capacity. */
  private observeWorkload(): Workload {
    const workload = measureWorkload(this.admittedJobs(), this.term.context.machineTypes(), (jobClass) =>
      this.repository.runTimes(jobClass),
    );
    let cpus = 0;
    for (const machine of this.cluster.machines.values())
      if (machine.isSchedulable) cpus += this.cluster.machineType(machine.type)?.cpus ?? 0;
    const { serviceCpus, urgentCpus } = workload;
    this.repository.capacity.observe(this.term.context.clock.now(), cpus, serviceCpus, urgentCpus);
    return workload;
  }

  private *admittedJobs(): Generator<Job> {
    for (const job of this.cluster.jobs.values())
      if (job.state === 'active' && this.admissions.isAdmitted(job.spec.id)) yield job;
  }

  // --- execution of decisions ------------------------------------------------------------------

  private apply(decision: ReleaseDecision, now: WallClockMs, revision: number): void {
    if (decision.at <= now) this.release(decision, now, revision);
    else this.defer(decision, now, revision);
  }

  private release({ id, reason }: ReleaseDecision, now: WallClockMs, revision: number): void {
    const { log } = this.term.context;
    const deferral = this.repository.deferrals.get(id);
    if (deferral === undefined) {
      this.admissions.set(id, 'admitted');
      log.debug({ job: id, reason }, 'job admitted without deferral');
      this.cluster.emit('replanNeeded');
      return;
    }
    if (deferral.state !== 'deferred') return;
    const state: DeferralState = reason === 'latest' || reason === 'no-room' ? 'forced' : 'released';
    deferral.change(state, now, reason, revision);
    this.repository.deferrals.markChanged(id);
    log.debug({ job: id, state, reason, waitedMs: now - deferral.since }, 'job released');
  }

  private defer(decision: ReleaseDecision, now: WallClockMs, revision: number): void {
    const { id, at, reason, costRatio } = decision;
    this.nextReleaseAt = this.nextReleaseAt === null ? at : (Math.min(this.nextReleaseAt, at) as WallClockMs);
    const { deferrals } = this.repository;
    const deferral = deferrals.get(id);
    if (deferral === undefined) {
      deferrals.add(new Deferral(id, now, at, reason, revision));
      this.admissions.set(id, 'waiting');
      this.term.context.log.debug({ job: id, until: at, reason, ratio: costRatio, revision }, 'job deferred');
    } else if (deferral.state === 'deferred' && isWorthRecording(deferral, decision)) {
      deferral.change('deferred', at, reason, revision);
      deferrals.markChanged(id);
    }
  }

  // --- persistence -----------------------------------------------------------------------------

  /**
   * Makes decisions durable. Released jobs are admitted only then, so that no later leader defers them again.
   */
  async persistDecisions(): Promise<void> {
    for (let flush = 0; flush < MAX_FLUSHES && this.term.isActive; flush += 1)
      if (await this.repository.flush()) break;
    if (!this.term.isActive) return;
    let admitted = 0;
    for (const deferral of [...this.repository.deferrals.all()]) {
      if (this.admitIfDurable(deferral)) admitted += 1;
      this.removeIfOver(deferral);
    }
    if (admitted > 0) this.cluster.emit('replanNeeded');
  }

  private admitIfDurable({ job, state }: Deferral): boolean {
    if (state === 'deferred' || !this.repository.deferrals.isDurable(job)) return false;
    if (this.admissions.get(job) !== 'waiting') return false;
    this.admissions.set(job, 'admitted');
    return true;
  }

  /**
   * Deletes a deferral once a start of the job is durable or the job has ended. The job's task records prevent
   * another deferral from then on.
   */
  private removeIfOver({ job: id }: Deferral): void {
    const job = this.cluster.jobs.get(id);
    if (job === undefined || job.state !== 'active' || hasTaskRecord(job))
      this.repository.deferrals.remove(id);
  }
}

function capacityOf(cpus: number, backlog: Backlog | undefined): Capacity {
  return { cpus, backlogCpuS: backlog?.workCpuS ?? 0, demandCpus: backlog?.demandCpus ?? 0 };
}

/**
 * Whether a wait changed enough to be recorded. Small changes are not recorded, because writing them for
 * hundreds of jobs used up the rate limit of the key-value store and delayed urgent starts.
 */
function isWorthRecording(known: Deferral, decision: ReleaseDecision): boolean {
  if (Math.abs(known.until - decision.at) > MIN_RECORDED_MOVE_MS) return true;
  return known.reason !== decision.reason && decision.reason !== 'turn' && known.reason !== 'turn';
}
