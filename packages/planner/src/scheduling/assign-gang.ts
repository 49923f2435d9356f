import type { SchedulingPass } from './scheduling-pass.js';
import { preempt } from './preemption.js';
import type { TaskAssignment, JobEvaluation } from './types.js';
import { EPSILON } from '@spurbridge/model';

/** Starts a whole gang, or keeps its places and makes room for all of it. */
export function assignGang(g: SchedulingPass, e: JobEvaluation): void {
  const { job } = e;
  const spec = job.spec;
  const room = g.remainingQuota.get(spec.team) ?? { cpus: 0, gpus: 0 };
  const fits = (n: number): boolean =>
    spec.cpus * n <= room.cpus + EPSILON && spec.gpus * n <= room.gpus + EPSILON;
  const guaranteed = g.guaranteedJobs.has(job);
  const whole = job.pendingTasks.length === job.pendingCount && e.unplacedCount === 0;
  const now = whole && fits(job.pendingTasks.length) && e.assignments.every((c) => c.startS <= 0);
  if (now) {
    for (const c of e.assignments) g.start(job, c, room);
    g.applyEvaluation(e);
  } else {
    // It keeps its places in the queues, as any cotask: when only starved gangs did, all that waited
    // counted on the same room, and nothing was rented for the others until they were late.
    const first = e.assignments[0];
    const zone = spec.oneZone && first !== undefined ? g.zoneOfQueue(first.queueIndex) : null;
    if (whole && fits(job.pendingTasks.length)) {
      g.applyEvaluation(e);
      const late = (c: TaskAssignment): boolean =>
        c.startS > 0 && c.endS - job.estimateS > job.toleratedWaitS;
      const waits = e.assignments.filter(late).map((c) => c.endS);
      if (waits.length > 0) preempt(g, job, waits, guaranteed, zone);
    }
    // Only what has no room now is rented for, beside the tasks that have.
    g.recordUnplaced(
      job,
      e.unplacedCount + e.assignments.filter((c) => c.startS > 0).length,
      e.unplacedCount > 0 ? Infinity : Math.max(...e.assignments.map((c) => c.startS)),
      fits(job.pendingTasks.length),
      zone,
    );
  }
}
