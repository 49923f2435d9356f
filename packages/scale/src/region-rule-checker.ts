import type { Team } from '@spurbridge/model';
import { RuleChecker } from '@spurbridge/testkit';
import { RUN_SETTINGS } from './controller-settings.js';
import type { RunEvent } from './events.js';
import { EventOrder, applyEvent } from './events.js';
import type { RunStatistics } from './run-statistics.js';
import type { Workload } from './workload.js';

const SWEEP_MS = 500;

/** Holds one region's events against the rules, in the order of their times. */
export class RegionRuleChecker {
  readonly eventOrder = new EventOrder((event) => {
    this.take(event);
  });
  private readonly checker: RuleChecker;
  /** The checker's clock stands at the event that it is told of. */
  private eventAt = 0;
  private sweptAt = 0;

  constructor(
    teams: readonly Team[],
    private readonly workload: Workload,
    private readonly tally: RunStatistics,
  ) {
    this.checker = new RuleChecker(() => this.eventAt, teams, RUN_SETTINGS.workers.cancel_s * 1000);
  }

  /** What was broken until now, a line each. */
  get violations(): string[] {
    return this.checker.violations.map((b) => `${b.rule}: ${b.what}`);
  }

  private take(event: RunEvent): void {
    this.eventAt = event.at;
    if (event.at - this.sweptAt > SWEEP_MS) {
      this.checker.sweep();
      this.sweptAt = event.at;
    }
    applyEvent(this.checker, event, (id) => this.workload.find(id));
    this.tally.record(event);
  }
}
