import type { Ground } from './ground.js';
import { preempt } from './preempt.js';
import type { Choice, Evaluation } from './types.js';
import { EPSILON } from '@spurbridge/model';

/** Starts a whole gang, or keeps its places and makes room for all of it. */
export function settleGang(g: Ground, e: Evaluation): void {
  const { job } = e;
  const spec = job.spec;
  const room = g.room.get(spec.team) ?? { cpus: 0, gpus: 0 };
  const fits = (n: number): boolean =>
    spec.cpus * n <= room.cpus + EPSILON && spec.gpus * n <= room.gpus + EPSILON;
  const guaranteed = g.guaranteed.has(job);
  const whole = job.pending.length === job.pendingCount && e.unplaced === 0;
  const now = whole && fits(job.pending.length) && e.choices.every((c) => c.startS <= 0);
  if (now) {
    for (const c of e.choices) g.start(job, c, room);
    g.adopt(e);
  } else {
    // It keeps its places in the queues, as any cotask: when only starved gangs did, all that waited
    // counted on the same room, and nothing was rented for the others until they were late.
    const first = e.choices[0];
    const zone = spec.oneZone && first !== undefined ? g.zoneAt(first.at) : null;
    if (whole && fits(job.pending.length)) {
      g.adopt(e);
      const late = (c: Choice): boolean => c.startS > 0 && c.endS - job.estimateS > job.patienceS;
      const waits = e.choices.filter(late).map((c) => c.endS);
      if (waits.length > 0) preempt(g, job, waits, guaranteed, zone);
    }
    // Only what has no room now is rented for, beside the tasks that have.
    g.waits(
      job,
      e.unplaced + e.choices.filter((c) => c.startS > 0).length,
      e.unplaced > 0 ? Infinity : Math.max(...e.choices.map((c) => c.startS)),
      fits(job.pending.length),
      zone,
    );
  }
}
