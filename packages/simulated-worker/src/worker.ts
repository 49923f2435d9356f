import type {
  Attempt,
  ExitCause,
  JobId,
  JobSpec,
  MachineId,
  MachineType,
  AgentEpoch,
  TaskPhase,
  FencingToken,
  WorkerCommand,
  Heartbeat,
} from '@spurbridge/wire';
import type { GangRegistry } from './gangs.js';
import type { Timeline } from './timeline.js';

interface HollowTask {
  readonly job: JobSpec;
  readonly task: number;
  readonly attempt: Attempt;
  phase: TaskPhase;
  cause: ExitCause | null;
  saved: boolean;
}

/** What a controller answers to a report. */
export type HeartbeatResult =
  | { readonly code: 200; readonly token: FencingToken; readonly commands: readonly WorkerCommand[] }
  | { readonly code: 421; readonly leader: string }
  | { readonly code: 503 };

/** Where a task was started. */
export interface TaskPlacement {
  readonly machine: MachineId;
  readonly zone: string;
  readonly type: string;
  readonly spot: boolean;
}

/** Told of what happens to tasks on a worker. */
export interface TaskObserver {
  /** The task has its image and is on the machine from now on. */
  taskStarted(job: JobSpec, task: number, attempt: Attempt, at: TaskPlacement): void;
  /** The task is off the machine; by `atMs` at the latest, where that is before now. */
  taskStopped(job: JobId, task: number, machine: MachineId, isDone: boolean, atMs?: number): void;
  /** All tasks of a gang are done at once. */
  gangCompleted(job: JobSpec, attempt: Attempt): void;
  /** Whether the task was done before: its result is kept. */
  isTaskDone(job: JobId, task: number): boolean;
  /** Tasks that ended with a lease that nobody renewed. */
  killedByLease: number;
}

/** What a worker needs of the world that it is in. */
export interface WorkerHost {
  readonly time: Timeline;
  readonly observer: TaskObserver;
  /** Names or addresses of the controller nodes. */
  readonly nodes: readonly string[];
  readonly heartbeatIntervalMs: number;
  readonly leaseMs: number;
  readonly gangWaitMs: number;
  readonly gangPeerMs: number;
  readonly gangs: GangRegistry;
  readonly random: (below: number) => number;
  /** The description of a job; undefined: no such job. */
  findJob(id: JobId): JobSpec | undefined;
  /** Whether this run of the task ends with an error. */
  readonly taskFails: (job: JobSpec, task: number) => boolean;
  /** How long the task runs, in milliseconds. */
  taskRunMs(job: JobSpec, task: number): number;
  /** The address at which the worker takes direct commands. */
  addressOf(id: MachineId): string;
  /** Sends a report to a node; null: no answer in time. */
  sendHeartbeat(worker: SimulatedWorker, node: string, report: Heartbeat): Promise<HeartbeatResult | null>;
}

/**
 * A worker without real tasks: it keeps the protocol's tokens, sessions, lease, images and gangs, and its tasks are timers.
 * The same code runs under simulated time and on the machine's own clock.
 */
export class SimulatedWorker {
  private session = 1;
  private seq = 0;
  private token = 0;
  private node = 0;
  private leaseFrom: number;
  private tasks = new Map<string, HollowTask>();
  private readonly images = new Set<string>();
  private hanging = false;
  private readonly whenResumed: (() => void)[] = [];
  private reporting = false;
  private lastReport = -Infinity;
  alive = true;
  /** While set, every task that starts here fails. */
  failsAllTasks = false;
  preemptionAtMs: number | null = null;

  constructor(
    readonly id: MachineId,
    readonly type: MachineType,
    readonly zone: string,
    readonly spot: boolean,
    private readonly host: WorkerHost,
  ) {
    this.leaseFrom = host.time.now;
    this.tick();
    this.reportLoop();
  }

  private get now(): number {
    return this.host.time.now;
  }

  /** Checks the lease; a hanging machine does so as soon as it resumes. */
  private tick(): void {
    if (!this.alive) return;
    if (!this.hanging) this.checkLease();
    this.host.time.after(100, () => {
      this.tick();
    });
  }

  private clear(atMs: number): number {
    let running = 0;
    for (const t of this.tasks.values())
      if (t.phase !== 'exited') {
        running += 1;
        this.host.observer.taskStopped(t.job.id, t.task, this.id, false, atMs);
      }
    this.tasks.clear();
    return running;
  }

  /** Ends the session when the lease is over: everything here is killed and forgotten. */
  private checkLease(): void {
    const endedAt = this.leaseFrom + this.host.leaseMs;
    if (this.now <= endedAt) return;
    this.host.observer.killedByLease += this.clear(endedAt);
    this.session += 1;
    this.seq = 0;
    this.leaseFrom = this.now;
  }

  /** Highest token that it has seen. */
  get highestFencingToken(): number {
    return this.token;
  }

  /** Index of the node that it reports to, in the order of the nodes' names. */
  get heartbeatNodeIndex(): number {
    return this.node % this.host.nodes.length;
  }

  /** The tasks that take room on the machine, also those that fetch. */
  occupyingTasks(): readonly { readonly job: JobSpec }[] {
    return [...this.tasks.values()].filter((t) => t.phase !== 'exited');
  }

  die(): void {
    this.alive = false;
    this.clear(this.now);
  }

  hang(): void {
    this.hanging = true;
  }

  get isHanging(): boolean {
    return this.hanging;
  }

  resume(): void {
    this.hanging = false;
    // The lease is looked at first: what it ended must not act any more.
    this.checkLease();
    for (const act of this.whenResumed.splice(0)) act();
  }

  private act(run: () => void): void {
    if (!this.alive) return;
    if (this.hanging) {
      this.whenResumed.push(run);
      return;
    }
    // A process that stood still runs its late timers in any order: what the lease ended must not act any more.
    this.checkLease();
    run();
  }

  makeHeartbeat(): Heartbeat {
    this.seq += 1;
    return {
      machine: this.id,
      address: this.host.addressOf(this.id),
      type: this.type.name,
      zone: this.zone,
      spot: this.spot,
      agentEpoch: this.session as AgentEpoch,
      sequence: this.seq,
      fencingToken: this.token as FencingToken,
      preemptionNoticeS:
        this.preemptionAtMs === null ? null : Math.max(0, (this.preemptionAtMs - this.now) / 1000),
      tasks: [...this.tasks.values()].map((t) => ({
        job: t.job.id,
        task: t.task,
        attempt: t.attempt,
        phase: t.phase,
        cause: t.cause,
        saved: t.saved,
      })),
    };
  }

  private reportLoop(): void {
    if (!this.alive) return;
    this.reportNow();
    this.host.time.after(this.host.heartbeatIntervalMs * (0.75 + this.host.random(50) / 100), () => {
      this.reportLoop();
    });
  }

  /** Something changed: report soon, but no more often than every half second. */
  private changed(): void {
    const wait = Math.max(0, this.lastReport + 500 - this.now);
    this.host.time.after(wait, () => {
      if (this.alive && this.now - this.lastReport >= 499) this.reportNow();
    });
  }

  private reportNow(): void {
    if (this.reporting || this.hanging || !this.alive) return;
    this.reporting = true;
    this.lastReport = this.now;
    const sentAt = this.now;
    const { session } = this;
    const node = this.host.nodes[this.node % this.host.nodes.length] as string;
    void this.host.sendHeartbeat(this, node, this.makeHeartbeat()).then((answer) => {
      this.act(() => {
        this.reporting = false;
        // An answer that comes after four seconds, or for an earlier session, is dropped.
        if (answer === null || this.now - sentAt > 4000) this.nextNode();
        else if (answer.code === 421) {
          const named = this.host.nodes.indexOf(answer.leader);
          if (named < 0 || named === this.node % this.host.nodes.length) this.nextNode();
          else {
            this.node = named;
            this.host.time.after(this.host.random(500), () => {
              this.reportNow();
            });
          }
        } else if (answer.code === 503) this.nextNode();
        else if (session === this.session && answer.token >= this.token) {
          this.leaseFrom = Math.max(this.leaseFrom, sentAt);
          this.seeToken(answer.token);
          this.execute(answer.commands);
        }
      });
    });
  }

  private nextNode(): void {
    this.node += 1;
    this.host.time.after(1000, () => {
      this.reportNow();
    });
  }

  private seeToken(token: number): void {
    if (token <= this.token) return;
    this.token = token;
    this.changed();
  }

  /** A message to /commands; null when nothing answers. */
  receiveCommands(
    token: number,
    session: number,
    commands: readonly WorkerCommand[],
    answer: (executed: boolean, report: Heartbeat) => void,
  ): void {
    this.act(() => {
      const valid = token >= this.token && session === this.session;
      if (valid) {
        this.seeToken(token);
        this.execute(commands);
      }
      answer(valid, this.makeHeartbeat());
    });
  }

  private execute(commands: readonly WorkerCommand[]): void {
    for (const c of commands) {
      const name = `${c.job}/${c.task}`;
      const t = this.tasks.get(name);
      if (c.op === 'start') this.start(c.job, c.task, c.attempt);
      else if (t === undefined || t.attempt !== c.attempt) continue;
      else if (c.op === 'stop') this.stop(t, c.graceS);
      else if (t.phase === 'exited') this.tasks.delete(name);
    }
  }

  private start(id: JobId, task: number, attempt: Attempt): void {
    const name = `${id}/${task}`;
    const job = this.host.findJob(id);
    const old = this.tasks.get(name);
    if (old?.attempt === attempt || job === undefined) return;
    if (old !== undefined && old.phase !== 'exited') return;
    const t: HollowTask = { job, task, attempt, phase: 'fetching', cause: null, saved: false };
    let { cpus, gpus, memoryGb } = job;
    for (const o of this.tasks.values())
      if (o.phase !== 'exited') {
        cpus += o.job.cpus;
        gpus += o.job.gpus;
        memoryGb += o.job.memoryGb;
      }
    this.tasks.set(name, t);
    if (job.kind === 'gang') this.host.gangs.attempt(job, attempt);
    this.changed();
    const { type } = this;
    if (cpus > type.cpus + 1e-6 || gpus > type.gpus + 1e-6 || memoryGb > type.memoryGb + 1e-6) {
      t.phase = 'exited';
      t.cause = 'no_room';
      return;
    }
    const fetchMs = this.images.has(job.image) ? 5 : (job.imageGb / this.type.fetchGbPerS) * 1000;
    this.host.time.after(fetchMs, () => {
      this.act(() => {
        if (this.tasks.get(name) === t && t.phase === 'fetching') this.begin(t);
      });
    });
  }

  private begin(t: HollowTask): void {
    this.images.add(t.job.image);
    this.host.observer.taskStarted(t.job, t.task, t.attempt, {
      machine: this.id,
      zone: this.zone,
      type: this.type.name,
      spot: this.spot,
    });
    if (this.failsAllTasks) this.end(t, 'error');
    else if (this.host.observer.isTaskDone(t.job.id, t.task)) this.end(t, 'done');
    else if (t.job.kind === 'gang') {
      t.phase = 'waiting';
      this.changed();
      const gang = this.host.gangs.attempt(t.job, t.attempt);
      const mates = this.host.gangs.activeMembers(t.job, t.attempt);
      if (mates.length === t.job.tasks && !gang.started) {
        gang.started = true;
        for (const m of mates) m.worker.runTask(t.job, m.task);
      }
      this.host.time.after(this.host.gangWaitMs, () => {
        this.act(() => {
          if (t.phase === 'waiting') this.end(t, 'alone');
        });
      });
    } else this.runTask(t.job, t.task);
  }

  attemptOf(job: JobId, task: number): { attempt: Attempt; phase: TaskPhase } | null {
    return this.tasks.get(`${job}/${task}`) ?? null;
  }

  private runTask(job: JobSpec, task: number): void {
    const t = this.tasks.get(`${job.id}/${task}`);
    if (t === undefined || t.phase === 'exited') return;
    t.phase = 'running';
    this.changed();
    if (job.kind === 'service') return;
    this.host.time.after(this.host.taskRunMs(job, job.kind === 'gang' ? 0 : task), () => {
      this.act(() => {
        // What was cleared with an earlier session completes nothing.
        if (t.phase !== 'running' || this.tasks.get(`${job.id}/${task}`) !== t) return;
        if (job.kind === 'gang' && !this.host.observer.isTaskDone(job.id, task)) {
          if (this.host.gangs.activeMembers(job, t.attempt).length < job.tasks) return this.end(t, 'peers');
          this.host.observer.gangCompleted(job, t.attempt);
        }
        this.end(t, this.host.taskFails(job, task) ? 'error' : 'done');
      });
    });
    if (job.kind === 'gang') this.watchMates(t);
  }

  /** A task of a running gang that lost another, or was not told of a stop in time, exits. */
  private watchMates(t: HollowTask): void {
    const { firstStopAtMs: haltAt } = this.host.gangs.attempt(t.job, t.attempt);
    const untilStop = haltAt === null ? Infinity : haltAt + this.host.gangPeerMs - this.now;
    this.host.time.after(Math.max(1, Math.min(this.host.gangPeerMs / 2, untilStop)), () => {
      this.act(() => {
        if (t.phase !== 'running') return;
        const gang = this.host.gangs.attempt(t.job, t.attempt);
        const late = gang.firstStopAtMs !== null && this.now >= gang.firstStopAtMs + this.host.gangPeerMs;
        if (this.host.observer.isTaskDone(t.job.id, t.task)) this.end(t, 'done');
        else if (!late && this.host.gangs.activeMembers(t.job, t.attempt).length === t.job.tasks)
          this.watchMates(t);
        else this.end(t, 'peers');
      });
    });
  }

  /** All have saved: their progress is safe, and all exit. */
  finishCheckpoint(job: JobSpec, task: number): void {
    const t = this.tasks.get(`${job.id}/${task}`);
    if (t?.phase === 'saving') this.end(t, 'stopped', true);
  }

  /** An orderly stop holds only if every task of the gang hears of it within `gang_peer_s` of the first. */
  private saveGang(t: HollowTask): void {
    const gang = this.host.gangs.attempt(t.job, t.attempt);
    gang.firstStopAtMs ??= this.now;
    gang.toldToStop.add(t.task);
    this.host.time.after(t.job.saveS * 1000, () => {
      this.act(() => {
        if (t.phase !== 'saving') return;
        gang.savedTasks.add(t.task);
        const mates = this.host.gangs.activeMembers(t.job, t.attempt);
        if (gang.savedTasks.size < t.job.tasks || mates.length < t.job.tasks) return;
        gang.isCheckpointed = true;
        for (const m of mates) m.worker.finishCheckpoint(t.job, m.task);
      });
    });
    this.host.time.after(Math.max(0, gang.firstStopAtMs + this.host.gangPeerMs - this.now), () => {
      this.act(() => {
        if (t.phase === 'saving' && gang.toldToStop.size < t.job.tasks) this.end(t, 'stopped');
      });
    });
    // A task that was told but is lost before it has saved leaves the others with nothing to wait for.
    this.host.time.after(t.job.saveS * 1000 + 2 * this.host.gangPeerMs, () => {
      this.act(() => {
        if (t.phase === 'saving') this.end(t, 'stopped');
      });
    });
  }

  private stop(t: HollowTask, graceS: number): void {
    if (t.phase === 'exited') return;
    const saves = t.phase === 'running' && t.job.checkpointS > 0 && graceS >= t.job.saveS;
    if (!saves) {
      if (t.phase === 'saving' && graceS > 0) return;
      this.end(t, 'stopped');
      return;
    }
    t.phase = 'saving';
    this.changed();
    if (t.job.kind === 'gang') {
      this.saveGang(t);
      return;
    }
    this.host.time.after(t.job.saveS * 1000, () => {
      this.act(() => {
        if (t.phase === 'saving') this.end(t, 'stopped', true);
      });
    });
  }

  private end(t: HollowTask, cause: ExitCause, saved = false): void {
    // What was cleared with an earlier session has ended already.
    if (this.tasks.get(`${t.job.id}/${t.task}`) !== t || t.phase === 'exited') return;
    t.phase = 'exited';
    t.cause = cause;
    t.saved = saved;
    this.host.observer.taskStopped(t.job.id, t.task, this.id, cause === 'done');
    this.changed();
  }
}
