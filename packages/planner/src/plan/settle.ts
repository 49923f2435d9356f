import { settleGang } from './gangs.js';
import type { Ground } from './ground.js';
import { preempt } from './preempt.js';
import type { Choice, Evaluation } from './types.js';
import { EPSILON } from '@spurbridge/model';

/** Takes the evaluation over into the queues, and starts what can start now. */
export function settle(g: Ground, e: Evaluation): void {
  if (e.job.spec.kind === 'gang') return settleGang(g, e);
  const { job } = e;
  const spec = job.spec;
  const room = g.room.get(spec.team) ?? { cpus: 0, gpus: 0 };
  const fits = (n: number): boolean =>
    spec.cpus * n <= room.cpus + EPSILON && spec.gpus * n <= room.gpus + EPSILON;
  const guaranteed = g.guaranteed.has(job);
  // A service that would fetch its image past its aim waits a moment for room where the image is.
  const tooSlow =
    spec.kind === 'service' && job.ageS < job.patienceS
      ? e.choices.filter((c) => c.startS <= 0 && c.endS > job.patienceS)
      : [];
  const deferred = new Set<Choice>();
  if (tooSlow.length > 0) {
    const ends = tooSlow.map((c) => c.endS);
    const made = preempt(g, job, ends, guaranteed);
    const slowest = [...tooSlow].sort((a, b) => b.endS - a.endS);
    for (const c of slowest.slice(0, made)) deferred.add(c);
  }
  let late = 0;
  let limited = 0;
  let startsInS = 0;
  const delayed: Choice[] = [];
  for (const c of e.choices) {
    if (!fits(1)) {
      limited += 1;
    } else if (deferred.has(c)) {
      room.cpus -= spec.cpus;
      room.gpus -= spec.gpus;
    } else if (c.startS <= g.headS(job)) {
      g.start(job, c, room);
    } else {
      // Room within the limit is taken in the order of the plan, also by what starts later.
      room.cpus -= spec.cpus;
      room.gpus -= spec.gpus;
      late += 1;
      startsInS = Math.max(startsInS, c.startS);
      delayed.push(c);
    }
  }
  // What the limit keeps back must not hold a place in any queue.
  if (limited === 0) g.adopt(e);
  else g.adoptStarted(e, limited);
  const more = Math.max(0, e.unplaced + (limited === 0 ? job.pendingCount - job.pending.length : 0));
  if (e.unplaced > 0) startsInS = Infinity;
  if (late + more > 0) g.waits(job, late + more, startsInS, true);
  if (limited > 0) g.waits(job, limited, Infinity, false);
  if (limited > 0) return;
  const waits = delayed.filter((c) => c.startS > job.patienceS).map((c) => c.endS);
  for (let i = 0; i < e.unplaced; i += 1) waits.push(Infinity);
  if (waits.length > 0) preempt(g, job, waits, guaranteed);
}
