/**
 * Rule checker of one region of a run.
 *
 * @module
 */
import type { Team } from '@spurbridge/model';
import { RuleChecker } from '@spurbridge/testkit';
import { RUN_SETTINGS } from './controller-settings.js';
import type { RunEvent } from './events.js';
import { EventOrder, applyEvent } from './events.js';
import type { RunStatistics } from './run-statistics.js';
import type { Workload } from './workload.js';

const SWEEP_INTERVAL_MS = 500;

/** Checks the events of one region against the rules, in the order of their times. */
export class RegionRuleChecker {
  readonly eventOrder = new EventOrder((event) => {
    this.check(event);
  });
  private readonly checker: RuleChecker;
  /** Time of the event that is being checked, which serves as the checker's clock, in milliseconds. */
  private eventAt = 0;
  private sweptAt = 0;

  constructor(
    teams: readonly Team[],
    private readonly workload: Workload,
    private readonly statistics: RunStatistics,
  ) {
    this.checker = new RuleChecker(() => this.eventAt, teams, RUN_SETTINGS.workers.cancel_s * 1000);
  }

  /** Violations so far, one line each. */
  get violations(): string[] {
    return this.checker.violations.map((violation) => `${violation.rule}: ${violation.what}`);
  }

  private check(event: RunEvent): void {
    this.eventAt = event.at;
    if (event.at - this.sweptAt > SWEEP_INTERVAL_MS) {
      this.checker.sweep();
      this.sweptAt = event.at;
    }
    applyEvent(this.checker, event, (id) => this.workload.find(id));
    this.statistics.record(event);
  }
}
