import type { Team } from '@spurbridge/model';
import { read } from '@spurbridge/wire';

/** How fast what was seen is forgotten. */
const PEAK_HALF_LIFE_MS = 12 * 3600 * 1000;
const USE_HALF_LIFE_MS = 20 * 60 * 1000;
/** Of what is there, kept free for what nobody foresees. */
const HEADROOM = 0.85;

/** CPUs that a team's work takes that is never deferred. */
interface Use {
  readonly services: number;
  /** Of urgent work that ends, on average over the last while. */
  readonly urgent: number;
}

/** What deferred work may count on, learned from what was seen: capacity that never was there is not. */
export class CapacityEstimator {
  private peakCpus = 0;
  private at: number | null = null;
  private readonly uses = new Map<string, Use>();

  /**
   * @param atMs steady time
   * @param cpus of all machines that take tasks
   * @param services CPUs that each team's services take or wait for
   * @param urgent CPUs that each team's other work that is never deferred takes now
   */
  observe(
    atMs: number,
    cpus: number,
    services: ReadonlyMap<string, number>,
    urgent: ReadonlyMap<string, number>,
  ): void {
    const tookMs = this.at === null ? 0 : atMs - this.at;
    this.peakCpus = Math.max(cpus, this.peakCpus * 0.5 ** (tookMs / PEAK_HALF_LIFE_MS));
    const keep = 0.5 ** (tookMs / USE_HALF_LIFE_MS);
    this.at = atMs;
    for (const name of new Set([...this.uses.keys(), ...services.keys(), ...urgent.keys()])) {
      const before = this.uses.get(name)?.urgent ?? 0;
      this.uses.set(name, {
        services: services.get(name) ?? 0,
        urgent: before * keep + (urgent.get(name) ?? 0) * (1 - keep),
      });
    }
  }

  private used(name: string): number {
    const u = this.uses.get(name);
    return u === undefined ? 0 : u.services + u.urgent;
  }

  /** The most CPUs that were seen, as far as that is not forgotten. */
  get peak(): number {
    return this.peakCpus;
  }

  get pool(): number {
    let used = 0;
    for (const name of this.uses.keys()) used += this.used(name);
    return Math.max(0, this.peakCpus * HEADROOM - used);
  }

  /** CPUs for a team's deferred work: its guarantee, or what the others leave, up to its limit. */
  of(team: Team): number {
    let others = 0;
    for (const name of this.uses.keys()) if (name !== team.name) others += this.used(name);
    const there = Math.max(Math.min(team.cpus, this.peakCpus), this.peakCpus - others);
    return Math.max(0, Math.min(team.cpusMax, there) * HEADROOM - this.used(team.name));
  }

  encode(): Record<string, unknown> {
    return { peakCpus: this.peakCpus };
  }

  restore(value: unknown): void {
    this.peakCpus = Math.max(this.peakCpus, read.amount(read.asObject(value, 'capacity'), 'peakCpus'));
  }
}
