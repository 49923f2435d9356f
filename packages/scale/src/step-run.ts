import type { Team } from '@spurbridge/model';
import { MonotonicTimeline } from '@spurbridge/simulated-worker';
import type { JobId, JobSpec } from '@spurbridge/wire';
import { MACHINE_CPUS } from './cloud-server.js';
import { ConfigurationLoad } from './configuration-load.js';
import type { RegionShape } from './controller-settings.js';
import { limitOf } from './controller-settings.js';
import type { LatencySummary, Reading } from './messages.js';
import type { ScaleOptions, Step } from './options.js';
import { CAPACITY_PLAN } from './options.js';
import type { RunProcess } from './processes.js';
import { Processes } from './processes.js';
import { RegionRuleChecker } from './region-rule-checker.js';
import { DEDICATED_WORKERS, Region } from './region.js';
import type { RoleName, RoleUsage, StepResult, FaultResult } from './results.js';
import { RunStatistics } from './run-statistics.js';
import type { Fault } from './faults.js';
import { QUICK_RESTART_S, endLeader } from './faults.js';
import { MachineLoad, ProcessUsageSampler, meanUsage } from './usage.js';
import { JOBS_A_REGION, Workload } from './workload.js';

/** Jobs at the peak, as a multiple of the day's mean: an assumption of docs/CAPACITY.md. */
const PEAK_FACTOR = 9;
const DAY_S = 86_400;
/** Small steps keep the jobs of a region's whole part and make them smaller, down to this many tasks. */
const LEAST_TASKS = 10;
const LEAST_WARM_S = 8;
/** Tasks run for up to one and a half times the mean: after that as many end as start. */
const WARM_RUNS = 1.7;

/** Counts and times of one measured stretch. */
interface Stretch {
  readonly seconds: number;
  readonly usage: (process: RunProcess) => RoleUsage | null;
  readonly before: ReadonlyMap<RunProcess, Reading>;
  readonly after: ReadonlyMap<RunProcess, Reading>;
  readonly machineCpu: number;
}

/** One step: regions are started, warmed up, measured, troubled and ended. */
export class StepRun {
  private readonly time = new MonotonicTimeline();
  private readonly processes = new Processes();
  private readonly regions: Region[] = [];
  /** Each region is judged by itself: names of machines and limits of teams are its own. */
  private readonly judges: RegionRuleChecker[] = [];
  private readonly tally: RunStatistics;
  private readonly ends: string[] = [];

  constructor(
    private readonly o: ScaleOptions,
    private readonly step: Step,
    private readonly say: (line: string) => void,
  ) {
    this.tally = new RunStatistics((id) => this.find(id));
    for (let region = 0; region < step.regions; region += 1) this.addRegion(o.firstRegion + region);
  }

  /** What one region's part is multiplied with. */
  private part(whole: number): number {
    return (whole / this.o.regions) * this.step.share;
  }

  private get workers(): number {
    return Math.max(this.zonesOf(0).length, Math.round(this.part(this.o.workers)));
  }

  private zonesOf(region: number): string[] {
    const count = Math.max(1, Math.floor(this.o.zones / this.o.regions));
    return Array.from({ length: count }, (_, z) => `zone-${region}-${z}`);
  }

  private shapeOf(region: number): RegionShape {
    const { nodes, teams } = this.o;
    return { region, zones: this.zonesOf(region), nodes, teams, workers: this.workers };
  }

  private teams(): Team[] {
    const cpusMax = limitOf(this.workers * MACHINE_CPUS);
    return Array.from({ length: this.o.teams }, (_, n) => ({
      name: `team-${n}`,
      cpus: 0,
      cpusMax,
      gpus: 0,
      gpusMax: 0,
    }));
  }

  private addRegion(region: number): void {
    const { seed, teams } = this.o;
    const workload = {
      seed: seed + region,
      firstJob: region * JOBS_A_REGION,
      teams,
      startsPerS: this.part(this.o.starts),
      running: Math.round(this.part(this.o.running)),
      jobsPerS: Math.min(
        (CAPACITY_PLAN.jobsADay / this.o.regions / DAY_S) * PEAK_FACTOR,
        this.part(this.o.starts) / LEAST_TASKS,
      ),
      zones: this.zonesOf(region),
    };
    const judge = new RegionRuleChecker(this.teams(), new Workload(workload), this.tally);
    this.judges.push(judge);
    this.regions.push(
      new Region(
        this.shapeOf(region),
        workload,
        this.processes,
        {
          onEvents: (source, events, until) => {
            judge.eventOrder.batch(source, events, until);
          },
          onProcessStarted: (source) => {
            judge.eventOrder.add(source, this.time.now);
          },
          onProcessEnded: (source) => {
            judge.eventOrder.remove(source);
          },
          onUnexpectedExit: (name, code) => {
            this.ends.push(`${name} (${code ?? 'signal'})`);
            this.say(`  ${name} ended by itself: ${code ?? 'signal'}`);
          },
        },
        this.o,
      ),
    );
  }

  private find(id: JobId): JobSpec | undefined {
    for (const region of this.regions) {
      const spec = region.find(id);
      if (spec !== undefined) return spec;
    }
    return undefined;
  }

  /** Plays the step; every process is ended, whatever happens. */
  async run(troubles: readonly Fault[]): Promise<StepResult> {
    const interrupted = (): void => {
      void this.processes.endAll().then(() => process.exit(130));
    };
    process.once('SIGINT', interrupted);
    process.once('SIGTERM', interrupted);
    try {
      return await this.play(troubles);
    } finally {
      process.off('SIGINT', interrupted);
      process.off('SIGTERM', interrupted);
      await this.processes.endAll();
      for (const region of this.regions) region.removeFiles();
    }
  }

  private async play(troubles: readonly Fault[]): Promise<StepResult> {
    for (const region of this.regions) await region.start();
    await this.sleep(1);
    for (const region of this.regions) await region.startUsers();
    const warmS = this.warmS;
    await this.watch(warmS, 'warming up');
    this.tally.reset();
    const load = this.configurationLoad();
    const ends = this.endLeaders();
    let stretch: Stretch;
    try {
      stretch = await this.measure(this.o.seconds);
    } finally {
      clearInterval(ends);
      load?.stop();
    }
    // Read before the last changes are waited for: what starts meanwhile is not of the measured time.
    const result = this.result(stretch, warmS);
    const configuration = (await load?.end()) ?? null;
    const troubled: FaultResult[] = [];
    for (const trouble of troubles) troubled.push(await this.trouble(trouble));
    await this.drain();
    return { ...result, configuration, troubles: troubled, ends: this.ends, brokenRules: this.brokenRules() };
  }

  private configurationLoad(): ConfigurationLoad | null {
    const region = this.regions[0];
    if (region === undefined || this.o.changes === 0) return null;
    return new ConfigurationLoad(region.shape, region.nodes, this.o.changes);
  }

  private endLeaders(): NodeJS.Timeout | undefined {
    const everyS = this.o.endLeaderEvery;
    if (everyS === 0) return undefined;
    return setInterval(() => {
      for (const region of this.regions) void endLeader(region, QUICK_RESTART_S, (s) => this.sleep(s));
    }, everyS * 1000);
  }

  private get warmS(): number {
    const meanRunS = this.regions[0]?.workload.meanRunS ?? 0;
    return Math.max(LEAST_WARM_S, Math.ceil(meanRunS * WARM_RUNS));
  }

  private brokenRules(): string[] {
    return this.judges.flatMap((j) => j.violations);
  }

  private sleep(seconds: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, seconds * 1000));
  }

  /** Waits, and says now and then how it goes. */
  private async watch(seconds: number, what: string): Promise<void> {
    const until = performance.now() + seconds * 1000;
    let starts = this.tally.starts;
    while (performance.now() < until) {
      const spanS = Math.min(10, (until - performance.now()) / 1000);
      await this.sleep(spanS);
      const rate = (this.tally.starts - starts) / spanS;
      starts = this.tally.starts;
      this.say(
        `  ${what}: ${this.tally.runningTasks} tasks run, ${rate.toFixed(0)} starts a second, ` +
          `urgent p99 ${this.tally.urgentLatency.p99} ms, ${this.brokenRules().length} rules broken`,
      );
    }
  }

  private get meters(): RunProcess[] {
    return this.regions.flatMap((r) =>
      [r.state, r.cloud, r.users, ...r.hosts.values()].filter((p): p is RunProcess => p !== null),
    );
  }

  private async readAll(): Promise<Map<RunProcess, Reading>> {
    const read = this.meters.map(async (p) => [p, await p.read()] as const);
    return new Map(await Promise.all(read));
  }

  private async measure(seconds: number): Promise<Stretch> {
    const before = await this.readAll();
    const load = new MachineLoad();
    const watch = new ProcessUsageSampler(this.processes.running);
    const began = performance.now();
    await this.watch(seconds, 'measuring');
    const usage = watch.end();
    const machineCpu = load.read();
    const after = await this.readAll();
    return { seconds: (performance.now() - began) / 1000, usage, before, after, machineCpu };
  }

  private async trouble(trouble: Fault): Promise<FaultResult> {
    this.say(`  trouble: ${trouble.name}`);
    const region = this.regions[0] as Region;
    const killedBefore = this.killed(await this.readAll());
    const brokenBefore = this.brokenRules().length;
    this.tally.reset();
    const began = performance.now();
    await trouble.inject(region, (s) => this.sleep(s));
    await this.watch(trouble.watchS, trouble.name);
    const watchedS = (performance.now() - began) / 1000;
    return {
      trouble: trouble.name,
      watchedS,
      startsPerS: this.tally.starts / watchedS,
      longestPauseS: this.tally.longestPauseS,
      urgentMs: this.tally.urgentLatency,
      killedByLease: this.killed(await this.readAll()) - killedBefore,
      brokenRules: this.brokenRules().length - brokenBefore,
    };
  }

  /** The last events are still on their way. */
  private drain(): Promise<void> {
    return this.sleep(1);
  }

  private killed(readings: ReadonlyMap<RunProcess, Reading>): number {
    let sum = 0;
    for (const reading of readings.values()) sum += reading.counts['killedByLease'] ?? 0;
    return sum;
  }

  // --- what came of it -----------------------------------------------------------------------------

  private result(s: Stretch, warmS: number): StepResult {
    const { o, step, tally } = this;
    const regions = this.regions.length;
    const counted = (of: (r: Region) => RunProcess | null, kind: string): number =>
      this.sum(s, this.regions.map(of), kind) / regions;
    const hosted = (kind: string): number =>
      this.sum(
        s,
        this.regions.flatMap((r) => [...r.hosts.values()]),
        kind,
      ) / regions;
    const running = this.processes.running;
    return {
      ...step,
      workers: this.workers,
      teams: o.teams,
      nodes: o.nodes,
      processes: running.length,
      warmS,
      seconds: round(s.seconds),
      startsAskedPerS: round(this.part(o.starts)),
      tasksCamePerS: round(tally.tasksSubmitted / s.seconds / regions),
      startsPerS: round(tally.starts / s.seconds / regions),
      jobsPerS: round(tally.jobsSubmitted / s.seconds / regions),
      running: Math.round(tally.runningTasks / regions),
      roles: this.roles(s),
      tasksOnLoneWorker: round(this.loneTasks(s)),
      state: {
        requestsPerS: round(counted((r) => r.state, 'requests') / s.seconds),
        changesPerS: round(counted((r) => r.state, 'changes') / s.seconds),
        refusedPerS: round(counted((r) => r.state, 'refused') / s.seconds),
        conflicts: counted((r) => r.state, 'conflicts'),
      },
      reportsPerS: round(hosted('reports') / s.seconds),
      commandsPerS: round(hosted('commands') / s.seconds),
      unanswered: hosted('unanswered'),
      redirects: hosted('redirects'),
      urgentMs: tally.urgentLatency,
      urgentNotStarted: tally.countOverdue(this.time.now),
      acceptedMs: this.worst(s, 'accepted'),
      users: this.userCounts(s),
      killedByLease: this.killed(s.after) - this.killed(s.before),
      ends: [...this.ends],
      readySeconds: this.regions[0]?.readyMs === null ? null : round((this.regions[0]?.readyMs ?? 0) / 1000),
      endedJobs: o.endedJobs,
      elections: this.regions.reduce(
        (n, r) => n + r.logs.reduce((k, log) => k + (log.messages.get('leading') ?? 0), 0),
        0,
      ),
      brokenRules: this.brokenRules(),
      troubles: [],
      machineCpu: round(s.machineCpu),
      memoryMb: Math.round(running.reduce((sum, p) => sum + (s.usage(p)?.residentMb ?? 0), 0)),
    };
  }

  private sum(s: Stretch, processes: readonly (RunProcess | null)[], kind: string): number {
    let sum = 0;
    for (const p of processes) {
      if (p === null) continue;
      sum += (s.after.get(p)?.counts[kind] ?? 0) - (s.before.get(p)?.counts[kind] ?? 0);
    }
    return sum;
  }

  /** A latency of the users of that region where it was worst. */
  private worst(s: Stretch, kind: string): LatencySummary {
    const all = this.regions.flatMap((r) => {
      const found = r.users === null ? undefined : s.after.get(r.users)?.latencies[kind];
      return found === undefined ? [] : [found];
    });
    return all.sort((a, b) => b.p99 - a.p99)[0] ?? { count: 0, p50: 0, p99: 0, most: 0 };
  }

  private userCounts(s: Stretch): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const r of this.regions) {
      if (r.users === null) continue;
      const after = s.after.get(r.users)?.counts ?? {};
      const before = s.before.get(r.users)?.counts ?? {};
      for (const [kind, n] of Object.entries(after))
        counts[kind] = (counts[kind] ?? 0) + n - (before[kind] ?? 0);
    }
    return counts;
  }

  private roles(s: Stretch): Record<RoleName, RoleUsage> {
    const of = (pick: (r: Region) => readonly (RunProcess | null | undefined)[]): RoleUsage => {
      const all = this.regions.flatMap(pick).flatMap((p) => {
        const usage = p === null || p === undefined ? null : s.usage(p);
        return usage === null ? [] : [usage];
      });
      return rounded(meanUsage(all));
    };
    const isLeader = (r: Region, p: RunProcess): boolean =>
      r.leader !== null && r.controllers[r.leader] === p;
    return {
      leader: of((r) => r.controllers.filter((p) => isLeader(r, p))),
      node: of((r) => r.controllers.filter((p) => !isLeader(r, p))),
      state: of((r) => [r.state]),
      cloud: of((r) => [r.cloud]),
      users: of((r) => [r.users]),
      workers: of((r) => r.shape.zones.map((zone) => r.hosts.get(zone))),
      worker: rounded(meanUsage(this.loneWorkers(s))),
    };
  }

  /** Bytes of a worker are those on its sockets: what it tells the driver is no part of the protocol. */
  private loneWorkers(s: Stretch): RoleUsage[] {
    return this.loneProcesses.flatMap((p) => {
      const usage = s.usage(p);
      const before = s.before.get(p);
      const after = s.after.get(p);
      if (usage === null || before === undefined || after === undefined) return [];
      const kb = (of: (x: Reading) => number): number => (of(after) - of(before)) / 1000 / s.seconds;
      return [{ ...usage, kbInPerS: kb((x) => x.bytesIn), kbOutPerS: kb((x) => x.bytesOut) }];
    });
  }

  private get loneProcesses(): RunProcess[] {
    return this.regions.flatMap((r) => DEDICATED_WORKERS.flatMap((name) => r.hosts.get(name) ?? []));
  }

  /** Tasks on each of the workers that are alone: mean of the two readings. */
  private loneTasks(s: Stretch): number {
    const all = this.loneProcesses.map(
      (p) => ((s.before.get(p)?.tasks ?? 0) + (s.after.get(p)?.tasks ?? 0)) / 2,
    );
    return all.reduce((sum, n) => sum + n, 0) / Math.max(1, all.length);
  }
}

function round(x: number): number {
  return Number(x.toFixed(3));
}

function rounded(u: RoleUsage): RoleUsage {
  return {
    cpu: round(u.cpu),
    cpuPeak: round(u.cpuPeak),
    residentMb: round(u.residentMb),
    peakMb: round(u.peakMb),
    sockets: round(u.sockets),
    kbInPerS: round(u.kbInPerS),
    kbOutPerS: round(u.kbOutPerS),
  };
}
