/**
 * The leader: everything that runs during one term.
 *
 * @module
 */
import { addMs } from '@spurbridge/net';
import type { Heartbeat, JobId, JobProgress } from '@spurbridge/wire';
import type { JobRecord } from '@spurbridge/model';
import { CommandDispatcher } from '../heartbeats/command-dispatcher.js';
import { HeartbeatHandler } from '../heartbeats/heartbeat-handler.js';
import type { HeartbeatRenewal } from '../heartbeats/heartbeat-responder.js';
import { HeartbeatResponder } from '../heartbeats/heartbeat-responder.js';
import { ClusterState } from '../jobs/cluster-state.js';
import { JobRecordReader } from '../jobs/job-record-reader.js';
import { ProgressPublisher } from '../jobs/progress-publisher.js';
import { RecordWriter } from '../jobs/record-writer.js';
import { ServiceLevelTracker } from '../jobs/service-level-tracker.js';
import { FailureDetector } from '../machines/failure-detector.js';
import { FleetController } from '../machines/fleet-controller.js';
import { ArrivalRate } from '../placement/arrival-rate.js';
import { MachineQueues } from '../placement/machine-queues.js';
import { RuntimeEstimator } from '../placement/runtime-estimator.js';
import { SchedulingLoop } from '../placement/scheduling-loop.js';
import { PlanningBackoff } from '../placement/planning-backoff.js';
import { Reconciliation } from '../reconciliation/reconciliation.js';
import { maxRenewalStalenessMs } from '../settings.js';
import type { LeaderComponentFactory } from './leader-component.js';
import { LeaderComponents } from './leader-component.js';
import type { LeaderContext } from './leader-term.js';
import { LeaderTerm } from './leader-term.js';

/**
 * A leader from its election until it is deposed. It connects the cluster state with the components that work on it,
 * and makes no decisions itself. The components listen to the cluster's events in the order in which they are created
 * here.
 */
export class Leader {
  private readonly term: LeaderTerm;
  private readonly cluster: ClusterState;
  private readonly runtimes = new RuntimeEstimator();
  private readonly arrivals: ArrivalRate;
  private readonly progressPublisher: ProgressPublisher;
  private readonly records: JobRecordReader;
  private readonly serviceLevels: ServiceLevelTracker;
  private readonly reconciliation: Reconciliation;
  private readonly queues: MachineQueues;
  private readonly heartbeats: HeartbeatResponder;
  private readonly recordWriter: RecordWriter;
  private readonly planningBackoff: PlanningBackoff;
  private readonly fleet: FleetController;
  private readonly components: LeaderComponents;
  private readonly scheduling: SchedulingLoop;
  private readonly failureDetector: FailureDetector;

  constructor(
    private readonly context: LeaderContext,
    componentFactories: readonly LeaderComponentFactory[],
  ) {
    const { clock } = context;
    this.term = new LeaderTerm(context);
    this.cluster = this.createCluster();
    this.arrivals = new ArrivalRate(
      this.runtimes,
      () => context.configuration().teams,
      () => clock.now(),
    );
    this.progressPublisher = new ProgressPublisher(this.term, this.cluster);
    this.records = new JobRecordReader(this.term, this.cluster, {
      onJobRecord: (record) => {
        this.recordArrival(record);
      },
    });
    const handler = new HeartbeatHandler(this.term, this.cluster, this.runtimes);
    this.serviceLevels = new ServiceLevelTracker(this.term, this.cluster);
    this.reconciliation = new Reconciliation(this.term, this.cluster, () => this.fleet.listedAt);
    this.queues = new MachineQueues(this.term, this.cluster);
    this.heartbeats = this.createHeartbeatResponder(handler);
    this.recordWriter = this.createRecordWriter();
    this.planningBackoff = new PlanningBackoff(this.term, this.cluster);
    this.fleet = new FleetController(
      this.term,
      this.cluster,
      this.arrivals,
      this.planningBackoff,
      () => this.reconciliation.allowsPlacement,
    );
    this.components = new LeaderComponents(
      componentFactories.map((createComponent) => createComponent(this.term, this.cluster)),
    );
    this.scheduling = this.createSchedulingLoop();
    this.failureDetector = this.createFailureDetector();
  }

  /** Whether the records have been read. */
  get isReady(): boolean {
    return this.heartbeats.isReady;
  }

  /** Rebuilds the cluster state from the records, then runs until deposed. */
  async run(): Promise<void> {
    const revision = await this.records.load();
    if (revision === null) return;
    for (const component of this.components.components) await component.restore();
    this.heartbeats.markReady();
    const { jobs, machines } = this.cluster;
    const token = this.context.leadership.fencingToken;
    this.context.log.info(
      { jobs: jobs.size, machines: machines.size, token, readAtRevision: revision },
      'leader ready',
    );
    this.context.onReady();
    this.scheduling.requestPass();
    await Promise.all([
      this.records.watch(revision),
      this.scheduling.run(),
      this.failureDetector.run(),
      this.recordWriter.run(),
      this.fleet.run(),
      this.progressPublisher.run(),
      this.reconciliation.run(),
      this.serviceLevels.run(),
      ...this.components.run(),
    ]);
  }

  /** Ends the term; all loops end at their next iteration. */
  depose(): void {
    this.term.end();
    this.scheduling.requestPass();
    this.recordWriter.stop();
  }

  /** Requests a scheduling pass. */
  requestSchedulingPass(): void {
    this.scheduling.requestPass();
  }

  /** Processes a heartbeat that another controller responded to `ageMs` milliseconds ago. */
  receiveForwardedHeartbeat(heartbeat: Heartbeat, ageMs: number): void {
    this.heartbeats.receive(heartbeat, true, ageMs);
  }

  /** Handles a heartbeat; null if the worker's lease may not be renewed. */
  handleHeartbeat(
    heartbeat: Heartbeat,
    msSinceLeaseConfirmed: number,
    isForwarded: boolean,
  ): HeartbeatRenewal | null {
    return this.heartbeats.respondTo(heartbeat, msSinceLeaseConfirmed, isForwarded);
  }

  /** The progress of a job, or null if the job is not known. */
  progressOf(job: JobId): JobProgress | null {
    return this.progressPublisher.progressOfJob(job);
  }

  private createCluster(): ClusterState {
    const { clock, log, machineTypes, wallNow, settings } = this.context;
    const cluster = new ClusterState({
      clock,
      log,
      machineTypes,
      ageMs: (at) => Math.max(0, wallNow() - at),
      previousLeaderRenewsUntil: addMs(this.term.electedAt, maxRenewalStalenessMs(settings)),
    });
    cluster.on('jobAdded', ({ spec }) => {
      if (spec.kind !== 'service' && spec.cpus > 0) this.runtimes.observeTaskSize(spec);
    });
    return cluster;
  }

  private createHeartbeatResponder(handler: HeartbeatHandler): HeartbeatResponder {
    const dispatcher = new CommandDispatcher(this.term, this.cluster, this.queues, this.reconciliation, {
      receiveHeartbeat: (heartbeat) => {
        this.receiveDirectHeartbeat(heartbeat);
      },
    });
    return new HeartbeatResponder(this.term, handler, dispatcher, this.reconciliation, {
      stalenessMs: () => (this.components.areFresh ? this.records.stalenessMs : Infinity),
    });
  }

  private createRecordWriter(): RecordWriter {
    return new RecordWriter(this.term, this.cluster, this.records, {
      // The components are created after the record writer.
      mayClose: (job) => this.components.mayClose(job),
    });
  }

  private createSchedulingLoop(): SchedulingLoop {
    return new SchedulingLoop(this.term, this.cluster, this.runtimes, this.planningBackoff, {
      isSchedulable: (job) => this.reconciliation.mayPlaceJob(job) && this.components.isSchedulable(job),
      mayPlaceTasks: () => this.reconciliation.allowsPlacement,
      unconfirmedUsage: (team) => this.reconciliation.unconfirmedUsage(team),
      isReconnectionWave: () => this.fleet.isReconnectionWave(this.context.clock.now()),
      onUnplacedDemand: (unplaced) => {
        this.fleet.setUnplacedDemand(unplaced);
      },
    });
  }

  private createFailureDetector(): FailureDetector {
    return new FailureDetector(this.term, this.cluster, {
      fleet: this.fleet,
      queues: this.queues,
      onHeartbeat: (heartbeat) => {
        this.receiveDirectHeartbeat(heartbeat);
      },
      unconfirmedCount: () => this.reconciliation.unconfirmedCount,
    });
  }

  /**
   * Processes a heartbeat from a direct call, so that tasks that fit now do not wait for the worker's next regular
   * heartbeat.
   */
  private receiveDirectHeartbeat(heartbeat: Heartbeat): void {
    this.heartbeats.receive(heartbeat, false);
    if (this.queues.startFitting(heartbeat.machine)) this.cluster.emit('commandsDue', heartbeat.machine);
  }

  private recordArrival({ spec, submittedAt }: JobRecord): void {
    const { clock, wallNow } = this.context;
    this.arrivals.recordArrival(spec, addMs(clock.now(), -Math.max(0, wallNow() - submittedAt)));
  }
}
