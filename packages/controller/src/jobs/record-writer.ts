import type { TaskChunk, Job } from '@spurbridge/model';
import { chunkKey, encodeChunk, encodeJob, jobKey } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { CommitOutcome } from '@spurbridge/store';
import type { Attempt, Mutation, Compare, KeyValue, JobId, Version } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';
import type { ClusterState } from './cluster-state.js';
import { WakeSignal } from '../wake-signal.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

/** Finished tasks wait this long for others to share their write; intents go at once. */
const FOLD_MS = 400;
const MOST_BYTES = 48 * 1024;
const PARALLEL = 4;

interface Entry {
  readonly job: Job;
  readonly chunk: TaskChunk;
  dueAt: MonotonicMs;
  /** Holds a new intent. */
  urgent: boolean;
}

/**
 * Keeps the records as the leader's memory has them. Each write is conditioned on the leadership and
 * on the record's last version, so one applied late changes nothing.
 */
export class RecordWriter {
  private readonly entries = new Map<string, Entry>();
  private readonly closing = new Map<JobId, Job>();
  private readonly clearing = new Set<Job>();
  private readonly busy = new Set<string>();
  private readonly signal = new WakeSignal();
  private running = 0;
  private backOffUntil = 0 as MonotonicMs;

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    /** Takes in a job's record that was read again. */
    private readonly learn: (item: KeyValue) => void,
    /** Whether a job whose tasks are all done may be closed: what they came to is known elsewhere, too. */
    private readonly mayClose: (job: Job) => boolean,
  ) {
    cluster.on('placed', (job, task) => {
      this.dirty(job, task, true);
    });
    cluster.on('off', (job, p) => {
      this.dirty(job, p.task, false);
    });
    cluster.on('abandoned', (job, task) => {
      this.dirty(job, task, false);
    });
    cluster.on('ended', (job) => {
      this.ended(job);
    });
  }

  private dirty(job: Job, task: number, urgent: boolean): void {
    if (job.state === 'done') return;
    const now = this.term.context.clock.now();
    const chunk = job.chunkOf(task);
    const key = chunkKey(job.spec.id, chunk.index);
    const dueAt = urgent ? now : addMs(now, FOLD_MS);
    const entry = this.entries.get(key);
    if (entry === undefined) this.entries.set(key, { job, chunk, dueAt, urgent });
    else {
      entry.dueAt = Math.min(entry.dueAt, dueAt) as MonotonicMs;
      entry.urgent ||= urgent;
    }
    if (urgent) this.signal.notify();
  }

  /** The job is closing, or cancelled: its record and its task records are put in order. */
  private ended(job: Job): void {
    if (job.state === 'closing') this.closing.set(job.spec.id, job);
    if (job.state === 'done' || (job.state === 'cancelled' && job.placements.size === 0))
      this.clearing.add(job);
    this.signal.notify();
  }

  stop(): void {
    this.signal.notify();
  }

  async run(): Promise<void> {
    const { clock } = this.term.context;
    while (this.term.isActive) {
      await this.signal.wait(clock, 100);
      while (this.term.isActive && this.running < PARALLEL && this.launch());
    }
  }

  /** Starts one commit; false when nothing is due. */
  private launch(): boolean {
    const { clock, leadership } = this.term.context;
    if (clock.now() < this.backOffUntil || !leadership.holdsValidLease()) return false;
    const work = this.closeOne() ?? this.writeChunks() ?? this.clearOne();
    if (work === null) return false;
    this.running += 1;
    work
      .catch((e: unknown) => {
        this.term.context.log.error({ error: String(e) }, 'recording failed');
      })
      .finally(() => {
        this.running -= 1;
        this.signal.notify();
      });
    return true;
  }

  private closeOne(): Promise<void> | null {
    for (const [id, job] of this.closing) {
      if (job.state !== 'closing') {
        this.closing.delete(id);
        continue;
      }
      if (!this.mayClose(job)) continue;
      const key = jobKey(id);
      const chunks = job.chunks.map((c) => chunkKey(id, c.index));
      if (this.busy.has(key) || chunks.some((k) => this.busy.has(k))) continue;
      return this.close(job, key);
    }
    return null;
  }

  private async close(job: Job, key: string): Promise<void> {
    const { store, log, wallNow, clock } = this.term.context;
    this.busy.add(key);
    const at = wallNow() - (clock.now() - job.submittedAt);
    const changes: Mutation[] = [
      {
        put: key,
        value: encodeJob({
          spec: job.spec,
          phase: 'done',
          submittedAt: at as never,
          chunkSize: job.chunkSize,
          ...(job.graph === null ? {} : { graph: job.graph }),
        }),
      },
    ];
    const only = job.chunks.length === 1 ? job.chunks[0] : undefined;
    if (only !== undefined && only.version !== KEY_ABSENT)
      changes.push({ delete: chunkKey(job.spec.id, only.index) });
    const outcome = await store.commit(
      [this.term.context.leadership.leadershipCompare(), { key, version: job.version }],
      changes,
      1,
    );
    this.busy.delete(key);
    if (!this.term.isActive) return;
    if (outcome.outcome === 'committed') {
      job.version = outcome.revision as number as Version;
      job.transitionTo('done');
      this.closing.delete(job.spec.id);
      for (const c of job.chunks) this.entries.delete(chunkKey(job.spec.id, c.index));
      if (only !== undefined) only.version = KEY_ABSENT;
      this.clearing.add(job);
      log.info({ job: job.spec.id, tasks: job.spec.tasks }, 'job done');
    } else await this.failed(outcome, [{ key, job, chunk: null }]);
  }

  private writeChunks(): Promise<void> | null {
    const now = this.term.context.clock.now();
    const most = this.term.context.settings.storeLimits.txnOps;
    const batch: { key: string; entry: Entry; value: unknown; edition: number }[] = [];
    let bytes = 0;
    const due = [...this.entries].filter(([key, e]) => e.dueAt <= now && !this.busy.has(key));
    if (due.length === 0) return null;
    due.sort((a, b) => Number(b[1].urgent) - Number(a[1].urgent) || a[1].dueAt - b[1].dueAt);
    const urgent = due[0]?.[1].urgent === true;
    for (const [key, entry] of due) {
      if (batch.length >= most) break;
      if (entry.job.state === 'done') {
        this.entries.delete(key);
        continue;
      }
      const value = encodeChunk(entry.job, entry.chunk);
      bytes += JSON.stringify(value).length + 300;
      if (batch.length > 0 && bytes > MOST_BYTES) break;
      batch.push({ key, entry, value, edition: entry.chunk.revision });
    }
    if (batch.length === 0) return null;
    for (const b of batch) {
      this.busy.add(b.key);
      this.entries.delete(b.key);
    }
    return this.write(batch, urgent);
  }

  private async write(
    batch: readonly { key: string; entry: Entry; value: unknown; edition: number }[],
    urgent: boolean,
  ): Promise<void> {
    const { store, leadership } = this.term.context;
    const conditions: Compare[] = [leadership.leadershipCompare()];
    const changes: Mutation[] = [];
    const started = batch.map((b) => {
      conditions.push({ key: b.key, version: b.entry.chunk.version });
      changes.push({ put: b.key, value: b.value });
      return intended(b.entry.job, b.entry.chunk);
    });
    const outcome = await store.commit(conditions, changes, urgent ? 1 : 2);
    for (const b of batch) this.busy.delete(b.key);
    if (!this.term.isActive) return;
    if (outcome.outcome === 'committed') {
      batch.forEach((b, i) => {
        b.entry.chunk.version = outcome.revision as number as Version;
        b.entry.chunk.durableRevision = Math.max(b.entry.chunk.durableRevision, b.edition);
        this.cluster.markDurable(b.entry.job, started[i] ?? []);
      });
      return;
    }
    for (const b of batch) {
      const again = this.entries.get(b.key);
      if (again === undefined) this.entries.set(b.key, b.entry);
      else again.urgent ||= b.entry.urgent;
    }
    await this.failed(
      outcome,
      batch.map((b) => ({ key: b.key, job: b.entry.job, chunk: b.entry.chunk })),
    );
  }

  private clearOne(): Promise<void> | null {
    for (const job of this.clearing) {
      // Read as cancelled, it had no task before its task records were read: deleted then, nobody knew of what still ran,
      // and limits let others start beside it (docs/incidents/records-deleted-too-early.md). Its last task brings it back here.
      if (job.state === 'cancelled' && job.placements.size > 0) {
        this.clearing.delete(job);
        continue;
      }
      const keys = job.chunks.map((c) => chunkKey(job.spec.id, c.index));
      if (keys.some((k) => this.busy.has(k) || this.entries.has(k))) continue;
      const chunks = job.chunks.filter((c) => c.version !== KEY_ABSENT);
      if (chunks.length === 0) {
        this.clearing.delete(job);
        if (job.state === 'done' || job.placements.size === 0) this.cluster.releaseJob(job);
        continue;
      }
      return this.clear(job, chunks.slice(0, this.term.context.settings.storeLimits.txnOps));
    }
    return null;
  }

  private async clear(job: Job, chunks: readonly TaskChunk[]): Promise<void> {
    const { store, leadership } = this.term.context;
    const keys = chunks.map((c) => chunkKey(job.spec.id, c.index));
    for (const k of keys) this.busy.add(k);
    const outcome = await store.commit(
      [leadership.leadershipCompare()],
      keys.map((k) => ({ delete: k })),
      3,
    );
    for (const k of keys) this.busy.delete(k);
    if (!this.term.isActive) return;
    if (outcome.outcome === 'committed') for (const c of chunks) c.version = KEY_ABSENT;
    else await this.failed(outcome, []);
  }

  /** Refused: later. Unknown or conflicting: the versions may have moved, so they are read again. */
  private async failed(
    outcome: CommitOutcome,
    touched: readonly { key: string; job: Job; chunk: TaskChunk | null }[],
  ): Promise<void> {
    const { store, leadership, clock } = this.term.context;
    if (leadership.stepDownOnConflict(outcome)) return;
    this.backOffUntil = addMs(clock.now(), 120);
    if (outcome.outcome !== 'conflict') return;
    for (const t of touched) {
      if (!outcome.failed.includes(t.key)) continue;
      const found = await store.read(t.key, 1);
      if (!this.term.isActive) return;
      if (found.outcome === 'found') {
        if (t.chunk === null) this.learn(found.item);
        else t.chunk.version = found.item.version;
      } else if (found.outcome === 'absent' && t.chunk !== null) t.chunk.version = KEY_ABSENT;
    }
  }
}

function intended(job: Job, chunk: TaskChunk): { task: number; attempt: Attempt }[] {
  const first = chunk.index * job.chunkSize;
  const found: { task: number; attempt: Attempt }[] = [];
  for (const p of job.placements.values())
    if (p.state === 'intended' && p.task >= first && p.task < first + job.chunkSize)
      found.push({ task: p.task, attempt: p.attempt });
  return found;
}
