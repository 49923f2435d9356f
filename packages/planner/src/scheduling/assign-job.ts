import { assignGang } from './assign-gang.js';
import type { SchedulingPass } from './scheduling-pass.js';
import { preempt } from './preemption.js';
import type { TaskAssignment, JobEvaluation } from './types.js';
import { EPSILON } from '@spurbridge/model';

/** Takes the evaluation over into the queues, and starts what can start now. */
export function assignJob(g: SchedulingPass, e: JobEvaluation): void {
  if (e.job.spec.kind === 'gang') return assignGang(g, e);
  const { job } = e;
  const spec = job.spec;
  const room = g.remainingQuota.get(spec.team) ?? { cpus: 0, gpus: 0 };
  const fits = (n: number): boolean =>
    spec.cpus * n <= room.cpus + EPSILON && spec.gpus * n <= room.gpus + EPSILON;
  const guaranteed = g.guaranteedJobs.has(job);
  // A service that would fetch its image past its aim waits a moment for room where the image is.
  const tooSlow =
    spec.kind === 'service' && job.ageS < job.toleratedWaitS
      ? e.assignments.filter((c) => c.startS <= 0 && c.endS > job.toleratedWaitS)
      : [];
  const deferred = new Set<TaskAssignment>();
  if (tooSlow.length > 0) {
    const ends = tooSlow.map((c) => c.endS);
    const made = preempt(g, job, ends, guaranteed);
    const slowest = [...tooSlow].sort((a, b) => b.endS - a.endS);
    for (const c of slowest.slice(0, made)) deferred.add(c);
  }
  let late = 0;
  let limited = 0;
  let startsInS = 0;
  const delayed: TaskAssignment[] = [];
  for (const c of e.assignments) {
    if (!fits(1)) {
      limited += 1;
    } else if (deferred.has(c)) {
      room.cpus -= spec.cpus;
      room.gpus -= spec.gpus;
    } else if (c.startS <= g.placeAheadS(job)) {
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
  if (limited === 0) g.applyEvaluation(e);
  else g.applyStartedAssignments(e, limited);
  const more = Math.max(
    0,
    e.unplacedCount + (limited === 0 ? job.pendingCount - job.pendingTasks.length : 0),
  );
  if (e.unplacedCount > 0) startsInS = Infinity;
  if (late + more > 0) g.recordUnplaced(job, late + more, startsInS, true);
  if (limited > 0) g.recordUnplaced(job, limited, Infinity, false);
  if (limited > 0) return;
  const waits = delayed.filter((c) => c.startS > job.toleratedWaitS).map((c) => c.endS);
  for (let i = 0; i < e.unplacedCount; i += 1) waits.push(Infinity);
  if (waits.length > 0) preempt(g, job, waits, guaranteed);
}
