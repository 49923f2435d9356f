import type { Team } from '@spurbridge/model';
import { read } from '@spurbridge/wire';

/** How fast what was seen is forgotten. */
const PEAK_HALF_LIFE_MS = 12 * 3600 * 1000;
const USE_HALF_LIFE_MS = 5 * 60 * 1000;
/** Of what is there, kept free for what nobody foresees. */
const HEADROOM = 0.85;

interface Use {
  /** CPUs taken by work that is never deferred, as an average over the last minutes. */
  steady: number;
}

/** What deferred work may count on, learned from what was seen: capacity that never was there is not. */
export class CapacityMemory {
  private peakCpus = 0;
  private at: number | null = null;
  private readonly uses = new Map<string, Use>();

  /**
   * @param atMs steady time
   * @param cpus of all machines that take tasks
   * @param undeferred CPUs that each team's work that is never deferred takes or waits for
   */
  observe(atMs: number, cpus: number, undeferred: ReadonlyMap<string, number>): void {
    const tookMs = this.at === null ? 0 : atMs - this.at;
    this.peakCpus = Math.max(cpus, this.peakCpus * 0.5 ** (tookMs / PEAK_HALF_LIFE_MS));
    const keep = this.at === null ? 0 : 0.5 ** (tookMs / USE_HALF_LIFE_MS);
    this.at = atMs;
    for (const name of new Set([...this.uses.keys(), ...undeferred.keys()])) {
      const now = undeferred.get(name) ?? 0;
      const use = this.uses.get(name) ?? { steady: now };
      // What is more than usual counts at once, what is less only in time.
      use.steady = Math.max(now, use.steady * keep + now * (1 - keep));
      this.uses.set(name, use);
    }
  }

  get pool(): number {
    let used = 0;
    for (const u of this.uses.values()) used += u.steady;
    return Math.max(0, this.peakCpus * HEADROOM - used);
  }

  /** CPUs for a team's deferred work: its guarantee, or what the others leave, up to its limit. */
  of(team: Team): number {
    let others = 0;
    for (const [name, u] of this.uses) if (name !== team.name) others += u.steady;
    const there = Math.max(Math.min(team.cpus, this.peakCpus), this.peakCpus - others);
    const own = this.uses.get(team.name)?.steady ?? 0;
    return Math.max(0, Math.min(team.cpusMax, there) * HEADROOM - own);
  }

  encode(): Record<string, unknown> {
    return { peakCpus: this.peakCpus };
  }

  restore(value: unknown): void {
    this.peakCpus = Math.max(this.peakCpus, read.amount(read.asObject(value, 'capacity'), 'peakCpus'));
  }
}
