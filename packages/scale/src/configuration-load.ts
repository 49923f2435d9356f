import { DDSketch } from '@datadog/sketches-js';
import { ConfigurationClient, StaleVersionError } from '@spurbridge/configuration';
import type { ConfigurationChange } from '@spurbridge/configuration';
import { MACHINE_CPUS } from './cloud-server.js';
import { summary } from './child.js';
import { limitOf } from './controller-settings.js';
import type { RegionShape } from './controller-settings.js';
import type { LatencySummary, NodeAddress } from './messages.js';

const HOUR_MS = 3_600_000;
const LOOK_MS = 25;
const MOST_WAIT_MS = 20_000;
const TRIES = 5;
/** A limit is lowered by up to this share, so that the checker's limit, the settings file's, still holds. */
const LOWERED_BY = 0.2;

/** What came of the changes of configuration in a stretch of time. */
export interface ConfigurationResult {
  readonly asked: number;
  readonly committed: number;
  /** Times that another change came between, so that it was asked for again. */
  readonly conflicts: number;
  readonly failed: number;
  /** Committed, and not in force everywhere within 20 s. */
  readonly lagged: number;
  /** From the first request to being in force on every node, in milliseconds. */
  readonly inForceMs: LatencySummary;
  /** From the commit's answer to being in force on every node, in milliseconds. */
  readonly afterCommitMs: LatencySummary;
  /** A change of every team in one commit: from the request to being in force, in milliseconds; null: it was not made. */
  readonly allTeamsMs: number | null;
}

/** Changes teams of one region while jobs run, and measures until each change is in force. */
export class ConfigurationLoad {
  private readonly nodes: ConfigurationClient[];
  private readonly client: ConfigurationClient;
  private readonly inForce = new DDSketch();
  private readonly afterCommit = new DDSketch();
  private readonly counts = { asked: 0, committed: 0, conflicts: 0, failed: 0, lagged: 0 };
  private readonly underWay = new Set<Promise<unknown>>();
  private readonly timer: NodeJS.Timeout;
  private allTeamsMs: number | null = null;

  constructor(
    private readonly shape: RegionShape,
    nodes: readonly NodeAddress[],
    changesAnHour: number,
  ) {
    this.nodes = nodes.map((n) => new ConfigurationClient([n.address]));
    this.client = new ConfigurationClient(nodes.map((n) => n.address));
    this.timer = setInterval(() => {
      this.begin([this.change(this.counts.asked)]);
    }, HOUR_MS / changesAnHour);
  }

  private change(n: number): ConfigurationChange {
    const limit = limitOf(this.shape.workers * MACHINE_CPUS);
    const lowered = limit * (1 - (LOWERED_BY * (1 + (n % 10))) / 10);
    return { team: `team-${n % this.shape.teams}`, cpusMax: Math.round(lowered * 100) / 100 };
  }

  private begin(changes: readonly ConfigurationChange[]): void {
    const made = this.make(changes).catch(() => {
      this.counts.failed += 1;
    });
    this.underWay.add(made);
    void made.finally(() => this.underWay.delete(made));
  }

  /** Makes one change, and waits until it is in force everywhere; milliseconds from the first request. */
  private async make(changes: readonly ConfigurationChange[]): Promise<number | null> {
    this.counts.asked += 1;
    const beganAt = performance.now();
    const version = await this.commit(changes);
    if (version === null) {
      this.counts.failed += 1;
      return null;
    }
    this.counts.committed += 1;
    const committedAt = performance.now();
    const waits = this.nodes.map((node) => this.waitFor(node, version));
    const isInForce = (await Promise.all(waits)).every(Boolean);
    if (!isInForce) {
      this.counts.lagged += 1;
      return null;
    }
    const now = performance.now();
    this.inForce.accept(now - beganAt);
    this.afterCommit.accept(now - committedAt);
    return now - beganAt;
  }

  private async commit(changes: readonly ConfigurationChange[]): Promise<number | null> {
    for (let n = 0; n < TRIES; n += 1) {
      try {
        return (await this.client.apply(changes, 'scale', false)).version;
      } catch (e) {
        if (!(e instanceof StaleVersionError)) throw e;
        this.counts.conflicts += 1;
      }
    }
    return null;
  }

  /** Asks one node which version it goes by itself until that is new enough. */
  private async waitFor(node: ConfigurationClient, version: number): Promise<boolean> {
    const until = performance.now() + MOST_WAIT_MS;
    while (performance.now() < until) {
      const own = await node.status().then(
        (all) => all[0]?.version ?? 0,
        () => 0,
      );
      if (own >= version) return true;
      await new Promise((resolve) => setTimeout(resolve, LOOK_MS));
    }
    return false;
  }

  /** Asks for no further changes. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Waits for what is under way, changes all teams at once, and says what came of it. */
  async end(): Promise<ConfigurationResult> {
    this.stop();
    await Promise.all(this.underWay);
    const all = Array.from({ length: this.shape.teams }, (_, n) => this.change(n * 3 + 1)).map((c, n) => ({
      ...c,
      team: `team-${n}`,
    }));
    this.allTeamsMs = await this.make(all).catch(() => null);
    for (const client of [this.client, ...this.nodes]) client.close();
    return {
      ...this.counts,
      inForceMs: summary(this.inForce),
      afterCommitMs: summary(this.afterCommit),
      allTeamsMs: this.allTeamsMs,
    };
  }
}
