/**
 * Runs one step: starts the regions, warms them up, measures them, injects faults, and kills all processes.
 *
 * @module
 */
import { MonotonicTimeline } from '@spurbridge/simulated-worker';
import type { JobId, JobSpec } from '@spurbridge/wire';
import { ConfigurationLoad } from './configuration-load.js';
import type { Fault } from './faults.js';
import { QUICK_RESTART_S, endLeader } from './faults.js';
import { MeasuredInterval, killedByLease, readHelpers } from './measured-interval.js';
import type { ScaleOptions, Step } from './options.js';
import { Processes } from './processes.js';
import { RegionRuleChecker } from './region-rule-checker.js';
import type { RegionEvents } from './region.js';
import { Region } from './region.js';
import type { FaultResult, StepResult } from './results.js';
import { RunStatistics } from './run-statistics.js';
import { buildStepResult } from './step-result.js';
import { StepShape } from './step-shape.js';
import { MachineLoad, ProcessUsageSampler } from './usage.js';
import { Workload } from './workload.js';

const MIN_WARM_S = 8;
/** Tasks run for up to 1.5 times the mean run time. After this multiple of it, as many tasks end as start. */
const WARM_MEAN_RUNS = 1.7;
/** Pause before the users start, in seconds. */
const USERS_DELAY_S = 1;
/** Time to wait for the last events to arrive, in seconds. */
const DRAIN_S = 1;
const PROGRESS_INTERVAL_S = 10;
const EXIT_INTERRUPTED = 130;

/** One step of a run. */
export class StepRun {
  private readonly timeline = new MonotonicTimeline();
  private readonly processes = new Processes();
  private readonly shape: StepShape;
  private readonly regions: Region[] = [];
  /** One for each region, because machine names and team limits are specific to a region. */
  private readonly ruleCheckers: RegionRuleChecker[] = [];
  private readonly statistics: RunStatistics;
  private readonly unexpectedExits: string[] = [];

  constructor(
    private readonly options: ScaleOptions,
    private readonly step: Step,
    private readonly reportProgress: (line: string) => void,
  ) {
    this.shape = new StepShape(options, step);
    this.statistics = new RunStatistics((id) => this.find(id));
    for (let region = 0; region < step.regions; region += 1) this.addRegion(options.firstRegion + region);
  }

  private addRegion(number: number): void {
    const workload = this.shape.workloadShape(number);
    const checker = new RegionRuleChecker(this.shape.teams, new Workload(workload), this.statistics);
    const regionShape = this.shape.regionShape(number);
    const events = this.eventsFor(checker);
    this.ruleCheckers.push(checker);
    this.regions.push(new Region(regionShape, workload, this.processes, events, this.options));
  }

  private eventsFor({ eventOrder }: RegionRuleChecker): RegionEvents {
    return {
      onEvents: (source, events, until) => {
        eventOrder.batch(source, events, until);
      },
      onProcessStarted: (source) => {
        eventOrder.add(source, this.timeline.now);
      },
      onProcessEnded: (source) => {
        eventOrder.remove(source);
      },
      onUnexpectedExit: (name, code) => {
        this.unexpectedExits.push(`${name} (${code ?? 'signal'})`);
        this.reportProgress(`  ${name} exited unexpectedly: ${code ?? 'signal'}`);
      },
    };
  }

  private find(id: JobId): JobSpec | undefined {
    for (const region of this.regions) {
      const spec = region.find(id);
      if (spec !== undefined) return spec;
    }
    return undefined;
  }

  /** Runs the step. All processes are killed at the end, also after an error, SIGINT or SIGTERM. */
  async run(faults: readonly Fault[]): Promise<StepResult> {
    const onInterrupt = (): void => {
      void this.processes.endAll().then(() => process.exit(EXIT_INTERRUPTED));
    };
    process.once('SIGINT', onInterrupt);
    process.once('SIGTERM', onInterrupt);
    try {
      return await this.runPhases(faults);
    } finally {
      process.off('SIGINT', onInterrupt);
      process.off('SIGTERM', onInterrupt);
      await this.processes.endAll();
      for (const region of this.regions) region.removeFiles();
    }
  }

  private async runPhases(faults: readonly Fault[]): Promise<StepResult> {
    await this.startRegions();
    const { warmS } = this;
    await this.waitWithProgress(warmS, 'warming up');
    this.statistics.reset();
    const load = this.startConfigurationLoad();
    const leaderRestarts = this.startLeaderRestarts();
    let interval: MeasuredInterval;
    try {
      interval = await this.measure(this.options.seconds);
    } finally {
      clearInterval(leaderRestarts);
      load?.stop();
    }
    // Tasks that start while the last configuration changes are awaited are not part of the interval.
    const result = this.resultOf(interval, warmS);
    const configuration = (await load?.end()) ?? null;
    const troubles: FaultResult[] = [];
    for (const fault of faults) troubles.push(await this.injectFault(fault));
    await this.sleep(DRAIN_S);
    const brokenRules = this.brokenRules();
    return { ...result, configuration, troubles, ends: this.unexpectedExits, brokenRules };
  }

  private async startRegions(): Promise<void> {
    for (const region of this.regions) await region.start();
    await this.sleep(USERS_DELAY_S);
    for (const region of this.regions) await region.startUsers();
  }

  private startConfigurationLoad(): ConfigurationLoad | null {
    const region = this.regions[0];
    if (region === undefined || this.options.changes === 0) return null;
    return new ConfigurationLoad(region.shape, region.nodes, this.options.changes);
  }

  private startLeaderRestarts(): NodeJS.Timeout | undefined {
    const intervalS = this.options.endLeaderEvery;
    if (intervalS === 0) return undefined;
    return setInterval(() => {
      for (const region of this.regions)
        void endLeader(region, QUICK_RESTART_S, (seconds) => this.sleep(seconds));
    }, intervalS * 1000);
  }

  private get warmS(): number {
    const meanRunS = this.regions[0]?.workload.meanRunS ?? 0;
    return Math.max(MIN_WARM_S, Math.ceil(meanRunS * WARM_MEAN_RUNS));
  }

  private brokenRules(): string[] {
    return this.ruleCheckers.flatMap((checker) => checker.violations);
  }

  private sleep(seconds: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, seconds * 1000));
  }

  /** Waits, and prints the progress at intervals. */
  private async waitWithProgress(seconds: number, phase: string): Promise<void> {
    const until = performance.now() + seconds * 1000;
    let starts = this.statistics.starts;
    while (performance.now() < until) {
      const spanS = Math.min(PROGRESS_INTERVAL_S, (until - performance.now()) / 1000);
      await this.sleep(spanS);
      const rate = (this.statistics.starts - starts) / spanS;
      starts = this.statistics.starts;
      this.reportProgress(
        `  ${phase}: ${this.statistics.runningTasks} tasks running, ${rate.toFixed(0)} starts/s, ` +
          `urgent p99 ${this.statistics.urgentLatency.p99} ms, ${this.brokenRules().length} rules broken`,
      );
    }
  }

  private async measure(seconds: number): Promise<MeasuredInterval> {
    const before = await readHelpers(this.regions);
    const load = new MachineLoad();
    const sampler = new ProcessUsageSampler(this.processes.running);
    const beganAt = performance.now();
    await this.waitWithProgress(seconds, 'measuring');
    const usage = sampler.end();
    const machineCpu = load.read();
    const after = await readHelpers(this.regions);
    const measuredS = (performance.now() - beganAt) / 1000;
    return new MeasuredInterval(this.regions, { seconds: measuredS, usage, before, after, machineCpu });
  }

  private async injectFault(fault: Fault): Promise<FaultResult> {
    this.reportProgress(`  injecting fault: ${fault.name}`);
    const region = this.regions[0] as Region;
    const killedBefore = killedByLease(await readHelpers(this.regions));
    const brokenBefore = this.brokenRules().length;
    this.statistics.reset();
    const beganAt = performance.now();
    await fault.inject(region, (seconds) => this.sleep(seconds));
    await this.waitWithProgress(fault.watchS, fault.name);
    const watchedS = (performance.now() - beganAt) / 1000;
    return {
      trouble: fault.name,
      watchedS,
      startsPerS: this.statistics.starts / watchedS,
      longestPauseS: this.statistics.longestPauseS,
      urgentMs: this.statistics.urgentLatency,
      killedByLease: killedByLease(await readHelpers(this.regions)) - killedBefore,
      brokenRules: this.brokenRules().length - brokenBefore,
    };
  }

  private resultOf(interval: MeasuredInterval, warmS: number): StepResult {
    return buildStepResult({
      options: this.options,
      step: this.step,
      shape: this.shape,
      regions: this.regions,
      interval,
      statistics: this.statistics,
      processes: this.processes.running,
      warmS,
      ends: this.unexpectedExits,
      brokenRules: this.brokenRules(),
      now: this.timeline.now,
    });
  }
}
