// Gangs (PROTOCOL, "Gangs"), without checkpoints.
export class Gangs {
  constructor(settings) {
    this.settings = settings;
    this.attempts = new Map(); // "job try" -> { members: Map(piece -> { worker, task }), isRunning, timer }
  }

  attemptOf(task) {
    return this.attempts.get(`${task.job} ${task.attempt}`);
  }

  /** The task has its image and waits for the others of its attempt. */
  join(worker, task, job) {
    const key = `${task.job} ${task.attempt}`;
    let attempt = this.attempts.get(key);
    if (attempt === undefined) this.attempts.set(key, (attempt = { members: new Map(), isRunning: false, timer: null }));
    task.phase = 'waiting';
    attempt.members.set(task.piece, { worker, task });
    worker.changed();
    task.timer = worker.after(this.settings.workers.gang_wait_s * 1000, () => {
      if (task.phase === 'waiting') worker.exit(task, 'incomplete');
    });
    if (attempt.isRunning || attempt.members.size < job.spec.pieces) return;
    attempt.isRunning = true;
    for (const { worker: each, task: member } of attempt.members.values()) {
      clearTimeout(member.timer);
      member.phase = 'running';
      each.changed();
    }
    attempt.timer = setTimeout(() => {
      const members = [...attempt.members.values()];
      if (members.length < job.spec.pieces || attempt.isBroken) return;
      attempt.isOver = true;
      for (const { worker: each, task: member } of members) {
        worker.host.doneTasks.add(member.piece);
        each.act(() => each.exit(member, 'done'));
      }
    }, job.runS * 1000);
  }

  /** A task has left its machine. */
  left(task, why) {
    const attempt = this.attemptOf(task);
    if (attempt === undefined || attempt.members.get(task.piece)?.task !== task) return;
    attempt.members.delete(task.piece);
    if (attempt.isRunning && !attempt.isOver && why !== 'done') this.broke(task);
  }

  broke(task) {
    const attempt = this.attemptOf(task);
    if (attempt === undefined || !attempt.isRunning || attempt.isOver || attempt.isBroken) return;
    attempt.isBroken = true;
    for (const { worker, task: member } of [...attempt.members.values()])
      worker.after(Math.random() * this.settings.workers.gang_peer_s * 1000, () => {
        if (member.phase === 'running') worker.exit(member, 'peers');
      });
  }
}
