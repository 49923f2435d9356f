import type { Configuration, ConfigurationVersion } from '@spurbridge/configuration';
import type { JobRecord, WallClockMs } from '@spurbridge/model';
import {
  tasksPerChunk,
  decodeJob,
  encodeJob,
  jobKey,
  rejectionReason,
  jobPhaseForUser,
} from '@spurbridge/model';
import type { KeyValueStore } from '@spurbridge/store';
import type { JobId, JobPhase, JobSpec, MachineType, Version } from '@spurbridge/wire';
import { KEY_ABSENT, ValidationError, parseSubmission, parseSubmissionId } from '@spurbridge/wire';
import type { Settings } from '../settings.js';
import type { JobOutcome } from './job-outcome.js';
import { JOB_NOT_FOUND, jobUnavailable } from './job-outcome.js';

const TRIES = 3;

/** The configuration as a node that answers users needs it. */
export interface ConfigurationSource {
  /** The version that this node goes by. */
  current(): Configuration;
  /** The version that the state service holds now; null: it does not answer. */
  latestVersion(): Promise<ConfigurationVersion | null>;
}

/** Users' calls, answered by any node from the state service alone. */
export class JobService {
  constructor(
    private readonly settings: Settings,
    private readonly store: KeyValueStore,
    private readonly wallNow: () => WallClockMs,
    private readonly types: () => readonly MachineType[],
    private readonly configuration: ConfigurationSource,
    private readonly progress: (id: JobId) => { done: number; running: number } | null,
  ) {}

  async submit(body: unknown): Promise<JobOutcome> {
    let spec: JobSpec;
    try {
      spec = parseSubmission(body);
    } catch (e) {
      return this.malformed(body, e);
    }
    if (this.types().length === 0)
      return this.statusOr(spec.id, jobUnavailable('machine types are not known yet'));
    const never = this.refusal(spec);
    // A retry of a known job is answered with its state even if the job would be refused now.
    if (never !== null) return this.statusOr(spec.id, await this.confirmRefusal(spec, never));
    const record: JobRecord = {
      spec,
      phase: 'active',
      submittedAt: this.wallNow(),
      chunkSize: tasksPerChunk(this.settings.storeLimits.valueKb),
    };
    const outcome = await this.store.commit(
      [{ key: jobKey(spec.id), version: KEY_ABSENT }],
      [{ put: jobKey(spec.id), value: encodeJob(record) }],
      1,
    );
    if (outcome.outcome === 'committed')
      return { outcome: 'created', status: { id: spec.id, phase: 'queued' } };
    if (outcome.outcome === 'conflict') return this.statusOr(spec.id, jobUnavailable('the id is in use'));
    return jobUnavailable('the state service did not confirm');
  }

  private refusal(spec: JobSpec): string | null {
    const { teams } = this.configuration.current();
    if (teams.some((t) => t.name === spec.team && t.isRetired)) return 'the team is retired';
    return rejectionReason(spec, teams, this.types());
  }

  /**
   * A refusal is final for its user, so it is never given from an old configuration: the state service says first that
   * there is no later one.
   */
  private async confirmRefusal(spec: JobSpec, never: string): Promise<JobOutcome> {
    const version = await this.configuration.latestVersion();
    if (version === null) return jobUnavailable('the configuration cannot be confirmed');
    if (version === this.configuration.current().version)
      return { outcome: 'rejected', error: this.refusal(spec) ?? never };
    return jobUnavailable('a later configuration is being taken in');
  }

  private async malformed(body: unknown, e: unknown): Promise<JobOutcome> {
    if (!(e instanceof ValidationError)) throw e;
    const refusal: JobOutcome = { outcome: 'malformed', error: e.message };
    let id: JobId;
    try {
      id = parseSubmissionId(body);
    } catch {
      return refusal;
    }
    return this.statusOr(id, refusal);
  }

  /** The state of a job that is known already; otherwise the given answer. */
  private async statusOr(id: JobId, otherwise: JobOutcome): Promise<JobOutcome> {
    const status = await this.status(id);
    return status.outcome === 'not-found' ? otherwise : status;
  }

  async status(id: JobId): Promise<JobOutcome> {
    const found = await this.store.read(jobKey(id), 1);
    if (found.outcome === 'absent') return JOB_NOT_FOUND;
    if (found.outcome !== 'found') return jobUnavailable('the state service does not answer');
    const record = readable(found.item.value);
    if (record === null) return jobUnavailable('the record cannot be read');
    // A part of a task graph is no job that anybody submitted: its graph is asked about, and cancelled.
    if (record.graph !== undefined) return JOB_NOT_FOUND;
    const p = this.progress(id) ?? { done: 0, running: 0 };
    const phase: JobPhase = jobPhaseForUser(record, p.running);
    const done = phase === 'done' ? record.spec.tasks : p.done;
    const running = record.phase === 'active' ? p.running : 0;
    return { outcome: 'known', status: { id, phase, done, running } };
  }

  async cancel(id: JobId): Promise<JobOutcome> {
    for (let n = 0; n < TRIES; n += 1) {
      const found = await this.store.read(jobKey(id), 1);
      if (found.outcome === 'absent') return JOB_NOT_FOUND;
      if (found.outcome !== 'found') return jobUnavailable('the state service does not answer');
      const record = readable(found.item.value);
      if (record === null) return jobUnavailable('the record cannot be read');
      if (record.graph !== undefined) return JOB_NOT_FOUND;
      if (record.phase !== 'active') return { outcome: 'known', status: { id, phase: record.phase } };
      const cancelledAt = this.wallNow();
      const outcome = await this.store.commit(
        [{ key: jobKey(id), version: found.item.version satisfies Version }],
        [{ put: jobKey(id), value: encodeJob({ ...record, phase: 'cancelled', cancelledAt }) }],
        1,
      );
      if (outcome.outcome === 'committed') return { outcome: 'known', status: { id, phase: 'cancelled' } };
      if (outcome.outcome !== 'conflict') return jobUnavailable('the state service did not confirm');
    }
    return jobUnavailable('the job keeps changing');
  }
}

/** A record that no copy is left of and nobody can read any more says neither that a job is known nor that it is not. */
function readable(value: unknown): JobRecord | null {
  try {
    return decodeJob(value);
  } catch (e) {
    if (e instanceof ValidationError) return null;
    throw e;
  }
}
