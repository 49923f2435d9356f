import type { Compare, Revision } from '@spurbridge/wire';
import type { Replica } from '../replica/replica.js';

/** Chooses what the store is asked to confirm: what changed last, then everything in turn. */
export class AuditSelector {
  private readonly recent = new Set<string>();
  private turn: Iterator<string> | null = null;
  /** Keys that were absent at a revision which the watch had not reached. */
  private readonly suspects = new Map<string, Revision>();

  constructor(private readonly most: number) {}

  restart(): void {
    this.recent.clear();
    this.suspects.clear();
    this.turn = null;
  }

  changed(key: string): void {
    this.recent.delete(key);
    this.recent.add(key);
  }

  choose(copy: Replica, isStoodInFor: (key: string) => boolean): Compare[] {
    const chosen = new Map<string, Compare>();
    const add = (key: string): void => {
      const seen = copy.get(key);
      if (seen !== undefined && !isStoodInFor(key)) chosen.set(key, { key, version: seen.version });
    };
    for (const key of [...this.recent].reverse()) {
      if (chosen.size >= this.most) break;
      add(key);
    }
    this.recent.clear();
    for (let n = 0; n < this.most && chosen.size < this.most; n += 1) {
      this.turn ??= copy.keys();
      const next = this.turn.next();
      if (next.done === true) {
        this.turn = null;
        break;
      }
      add(next.value);
    }
    return [...chosen.values()];
  }

  suspect(key: string, at: Revision): void {
    if (!this.suspects.has(key)) this.suspects.set(key, at);
  }

  /** A suspect that the watch, now past its revision, did not show as deleted. */
  lost(copy: Replica): string | null {
    for (const [key, at] of this.suspects) {
      if (copy.revision < at) continue;
      this.suspects.delete(key);
      // Written again since, it is another record: deleted and made anew between two audits, it counted as lost.
      const seen = copy.get(key);
      if (seen !== undefined && seen.version <= at) return key;
    }
    return null;
  }
}
