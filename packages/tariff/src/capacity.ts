/**
 * Estimates the capacity that deferred work can rely on.
 *
 * @module
 */
import type { Team } from '@spurbridge/model';
import { read } from '@spurbridge/wire';

/** Half-life of an observed peak. */
const PEAK_HALF_LIFE_MS = 12 * 3600 * 1000;
/** Half-life of an observed usage. */
const USAGE_HALF_LIFE_MS = 20 * 60 * 1000;
/** Share of the capacity that is relied on; the rest is a reserve for unforeseen demand. */
const USABLE_SHARE = 0.85;

/** CPUs taken by a team's work that is never deferred. */
interface TeamUsage {
  readonly services: number;
  /** Running means of urgent work that ends. */
  readonly urgent: number;
}

/** Estimates capacity from observations only, so that machines that never existed are not relied on. */
export class CapacityEstimator {
  private peakCpus = 0;
  private observedAtMs: number | null = null;
  private readonly usageByTeam = new Map<string, TeamUsage>();

  /**
   * Adds an observation.
   *
   * @param atMs monotonic time
   * @param cpus CPUs of all machines that accept tasks
   * @param services CPUs that each team's services use or wait for
   * @param urgent CPUs that each team's other non-deferrable work uses now
   */
  observe(
    atMs: number,
    cpus: number,
    services: ReadonlyMap<string, number>,
    urgent: ReadonlyMap<string, number>,
  ): void {
    const elapsedMs = this.observedAtMs === null ? 0 : atMs - this.observedAtMs;
    this.observedAtMs = atMs;
    this.peakCpus = Math.max(cpus, this.peakCpus * 0.5 ** (elapsedMs / PEAK_HALF_LIFE_MS));
    const oldWeight = 0.5 ** (elapsedMs / USAGE_HALF_LIFE_MS);
    for (const team of new Set([...this.usageByTeam.keys(), ...services.keys(), ...urgent.keys()])) {
      const before = this.usageByTeam.get(team)?.urgent ?? 0;
      this.usageByTeam.set(team, {
        services: services.get(team) ?? 0,
        urgent: before * oldWeight + (urgent.get(team) ?? 0) * (1 - oldWeight),
      });
    }
  }

  private usedBy(team: string): number {
    const usage = this.usageByTeam.get(team);
    return usage === undefined ? 0 : usage.services + usage.urgent;
  }

  /** The observed peak of CPUs, decayed with its age. */
  get peak(): number {
    return this.peakCpus;
  }

  /** CPUs for deferred work of all teams together. */
  get totalCpus(): number {
    let used = 0;
    for (const team of this.usageByTeam.keys()) used += this.usedBy(team);
    return Math.max(0, this.peakCpus * USABLE_SHARE - used);
  }

  /**
   * CPUs for a team's deferred work: the larger of its guarantee and what the others leave, up to its limit.
   */
  cpusFor(team: Team): number {
    let usedByOthers = 0;
    for (const name of this.usageByTeam.keys()) if (name !== team.name) usedByOthers += this.usedBy(name);
    const available = Math.max(Math.min(team.cpus, this.peakCpus), this.peakCpus - usedByOthers);
    return Math.max(0, Math.min(team.cpusMax, available) * USABLE_SHARE - this.usedBy(team.name));
  }

  /** The state that the next leader restores. */
  encode(): Record<string, unknown> {
    return { peakCpus: this.peakCpus };
  }

  /**
   * Restores the observations of an earlier leader.
   *
   * @throws ValidationError naming the field
   */
  restore(value: unknown): void {
    this.peakCpus = Math.max(this.peakCpus, read.amount(read.asObject(value, 'capacity'), 'peakCpus'));
  }
}
