/**
 * Configuration changes made while jobs run, and how long each takes to be in force on every node.
 *
 * @module
 */
import { DDSketch } from '@datadog/sketches-js';
import { ConfigurationClient, StaleVersionError } from '@spurbridge/configuration';
import type { ConfigurationChange } from '@spurbridge/configuration';
import { MACHINE_CPUS } from './cloud-server.js';
import { summarizeLatencies } from './meter.js';
import { teamCpuLimit } from './controller-settings.js';
import type { RegionShape } from './controller-settings.js';
import type { LatencySummary, NodeAddress } from './messages.js';

const MS_PER_HOUR = 3_600_000;
const POLL_INTERVAL_MS = 25;
const MAX_WAIT_MS = 20_000;
const MAX_ATTEMPTS = 5;
/** Limits are lowered by up to this share and never raised, so that the limits of the rule checker stay valid. */
const MAX_LIMIT_REDUCTION = 0.2;

/** Outcomes and latencies of the configuration changes of a measured interval. */
export interface ConfigurationResult {
  readonly asked: number;
  readonly committed: number;
  /** Attempts that were repeated because another change had been committed first. */
  readonly conflicts: number;
  readonly failed: number;
  /** Changes that were committed but not in force on every node within 20 s. */
  readonly lagged: number;
  /** Time from the first request until the change is in force on every node, in milliseconds. */
  readonly inForceMs: LatencySummary;
  /** Time from the response to the commit until the change is in force on every node, in milliseconds. */
  readonly afterCommitMs: LatencySummary;
  /** Latency of one commit that changes every team, in milliseconds; null if it was not made. */
  readonly allTeamsMs: number | null;
}

/** Changes teams of one region while jobs run, and measures how long each change takes to be in force. */
export class ConfigurationLoad {
  private readonly nodes: ConfigurationClient[];
  private readonly client: ConfigurationClient;
  private readonly inForce = new DDSketch();
  private readonly afterCommit = new DDSketch();
  private readonly counts = { asked: 0, committed: 0, conflicts: 0, failed: 0, lagged: 0 };
  private readonly pending = new Set<Promise<unknown>>();
  private readonly timer: NodeJS.Timeout;
  private allTeamsMs: number | null = null;

  constructor(
    private readonly shape: RegionShape,
    nodes: readonly NodeAddress[],
    changesPerHour: number,
  ) {
    this.nodes = nodes.map((node) => new ConfigurationClient([node.address]));
    this.client = new ConfigurationClient(nodes.map((node) => node.address));
    this.timer = setInterval(() => {
      this.startChange([this.teamChange(this.counts.asked)]);
    }, MS_PER_HOUR / changesPerHour);
  }

  private teamChange(n: number): ConfigurationChange {
    const limit = teamCpuLimit(this.shape.workers * MACHINE_CPUS);
    const lowered = limit * (1 - (MAX_LIMIT_REDUCTION * (1 + (n % 10))) / 10);
    return { team: `team-${n % this.shape.teams}`, cpusMax: Math.round(lowered * 100) / 100 };
  }

  private startChange(changes: readonly ConfigurationChange[]): void {
    const change = this.commitAndWait(changes).catch(() => {
      this.counts.failed += 1;
    });
    this.pending.add(change);
    void change.finally(() => this.pending.delete(change));
  }

  /** Commits the changes and waits until they are in force on every node. Returns the latency in ms; null on failure. */
  private async commitAndWait(changes: readonly ConfigurationChange[]): Promise<number | null> {
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
    for (let n = 0; n < MAX_ATTEMPTS; n += 1) {
      try {
        return (await this.client.apply(changes, 'scale', false)).version;
      } catch (error) {
        if (!(error instanceof StaleVersionError)) throw error;
        this.counts.conflicts += 1;
      }
    }
    return null;
  }

  /** Polls one node until it applies at least this version; returns false on timeout. */
  private async waitFor(node: ConfigurationClient, version: number): Promise<boolean> {
    const until = performance.now() + MAX_WAIT_MS;
    while (performance.now() < until) {
      const appliedVersion = await node.status().then(
        (all) => all[0]?.version ?? 0,
        () => 0,
      );
      if (appliedVersion >= version) return true;
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
    return false;
  }

  /** Stops starting changes. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Waits for the pending changes, changes all teams in one commit, and returns the result. */
  async end(): Promise<ConfigurationResult> {
    this.stop();
    await Promise.all(this.pending);
    const changes = Array.from({ length: this.shape.teams }, (_, n) => ({
      ...this.teamChange(n * 3 + 1),
      team: `team-${n}`,
    }));
    this.allTeamsMs = await this.commitAndWait(changes).catch(() => null);
    for (const client of [this.client, ...this.nodes]) client.close();
    return {
      ...this.counts,
      inForceMs: summarizeLatencies(this.inForce),
      afterCommitMs: summarizeLatencies(this.afterCommit),
      allTeamsMs: this.allTeamsMs,
    };
  }
}
