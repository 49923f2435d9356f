/**
 * Users' calls about jobs.
 *
 * @module
 */
import type { Configuration, ConfigurationVersion } from '@spurbridge/configuration';
import type { JobRecord, WallClockMs } from '@spurbridge/model';
import {
  decodeJob,
  encodeJob,
  jobKey,
  jobPhaseForUser,
  rejectionReason,
  tasksPerChunk,
} from '@spurbridge/model';
import type { RequestPriority } from '@spurbridge/net';
import type { KeyValueStore, ReadOutcome } from '@spurbridge/store';
import type { JobId, JobSpec, MachineType, Version } from '@spurbridge/wire';
import { KEY_ABSENT, ValidationError, parseSubmission, parseSubmissionId } from '@spurbridge/wire';
import type { Settings } from '../settings.js';
import type { JobOutcome } from './job-outcome.js';
import { JOB_NOT_FOUND, jobUnavailable } from './job-outcome.js';

/** Maximum attempts of a cancellation that conflicts with other changes of the job's record. */
const MAX_CANCEL_ATTEMPTS = 3;
const USER_REQUEST_PRIORITY: RequestPriority = 1;

/** The configuration against which submissions are validated. */
export interface ConfigurationSource {
  /** The version that this controller uses. */
  current(): Configuration;
  /** The latest version in the key-value store, or null when the store does not respond. */
  latestVersion(): Promise<ConfigurationVersion | null>;
}

/** How many of a job's tasks are done and running. */
export interface TaskCounts {
  readonly done: number;
  readonly running: number;
}

/** The record of a user's job, or the outcome of the call if there is none. */
type JobLookup =
  | { readonly kind: 'found'; readonly record: JobRecord; readonly version: Version }
  | { readonly kind: 'outcome'; readonly outcome: JobOutcome };

/** Serves users' calls on any controller, using only the key-value store. */
export class JobService {
  constructor(
    private readonly settings: Settings,
    private readonly store: KeyValueStore,
    private readonly wallNow: () => WallClockMs,
    private readonly machineTypes: () => readonly MachineType[],
    private readonly configuration: ConfigurationSource,
    /** The progress of a job as the leader last published it, or null if it is not known. */
    private readonly progress: (id: JobId) => TaskCounts | null,
  ) {}

  /**
   * Submits a job. A repeated submission has the outcome of a status request, even if the job would be rejected now.
   */
  async submit(body: unknown): Promise<JobOutcome> {
    let spec: JobSpec;
    try {
      spec = parseSubmission(body);
    } catch (error) {
      return this.malformed(body, error);
    }
    if (this.machineTypes().length === 0)
      return this.statusOr(spec.id, jobUnavailable('machine types are not known yet'));
    const reason = this.rejectionOf(spec);
    if (reason !== null) return this.statusOr(spec.id, await this.confirmRejection(spec, reason));
    const key = jobKey(spec.id);
    const outcome = await this.store.commit(
      [{ key, version: KEY_ABSENT }],
      [{ put: key, value: encodeJob(this.newRecord(spec)) }],
      USER_REQUEST_PRIORITY,
    );
    if (outcome.outcome === 'committed')
      return { outcome: 'created', status: { id: spec.id, phase: 'queued' } };
    if (outcome.outcome === 'conflict')
      return this.statusOr(spec.id, jobUnavailable('a record with this job id already exists'));
    return jobUnavailable('the state service did not confirm the write');
  }

  private newRecord(spec: JobSpec): JobRecord {
    return {
      spec,
      phase: 'active',
      submittedAt: this.wallNow(),
      chunkSize: tasksPerChunk(this.settings.storeLimits.valueKb),
    };
  }

  /** Why the job can never run, or null. */
  private rejectionOf(spec: JobSpec): string | null {
    const { teams } = this.configuration.current();
    if (teams.some((team) => team.name === spec.team && team.isRetired)) return 'the team is retired';
    return rejectionReason(spec, teams, this.machineTypes());
  }

  /**
   * A rejection is final for its user, so it must not be based on an outdated configuration. The latest version in the
   * key-value store is read first, to confirm that there is no later one.
   */
  private async confirmRejection(spec: JobSpec, reason: string): Promise<JobOutcome> {
    const version = await this.configuration.latestVersion();
    if (version === null) return jobUnavailable('the latest configuration version cannot be read');
    if (version === this.configuration.current().version)
      return { outcome: 'rejected', error: this.rejectionOf(spec) ?? reason };
    return jobUnavailable('a later configuration version is being applied');
  }

  private async malformed(body: unknown, error: unknown): Promise<JobOutcome> {
    if (!(error instanceof ValidationError)) throw error;
    const malformed: JobOutcome = { outcome: 'malformed', error: error.message };
    let id: JobId;
    try {
      id = parseSubmissionId(body);
    } catch {
      return malformed;
    }
    return this.statusOr(id, malformed);
  }

  /** The status of the job, or `otherwise` if the job is not known. */
  private async statusOr(id: JobId, otherwise: JobOutcome): Promise<JobOutcome> {
    const status = await this.status(id);
    return status.outcome === 'not-found' ? otherwise : status;
  }

  /** The status of a job. */
  async status(id: JobId): Promise<JobOutcome> {
    const found = await this.store.read(jobKey(id), USER_REQUEST_PRIORITY);
    const lookup = lookUp(found);
    if (lookup.kind === 'outcome') return lookup.outcome;
    const { record } = lookup;
    const counts = this.progress(id) ?? { done: 0, running: 0 };
    const phase = jobPhaseForUser(record, counts.running);
    const done = phase === 'done' ? record.spec.tasks : counts.done;
    const running = record.phase === 'active' ? counts.running : 0;
    return { outcome: 'known', status: { id, phase, done, running } };
  }

  /** Cancels a job; a job that has ended keeps its phase. */
  async cancel(id: JobId): Promise<JobOutcome> {
    const key = jobKey(id);
    for (let attempt = 0; attempt < MAX_CANCEL_ATTEMPTS; attempt += 1) {
      const found = await this.store.read(key, USER_REQUEST_PRIORITY);
      const lookup = lookUp(found);
      if (lookup.kind === 'outcome') return lookup.outcome;
      const { record, version } = lookup;
      if (record.phase !== 'active') return { outcome: 'known', status: { id, phase: record.phase } };
      const cancelled: JobRecord = { ...record, phase: 'cancelled', cancelledAt: this.wallNow() };
      const outcome = await this.store.commit(
        [{ key, version }],
        [{ put: key, value: encodeJob(cancelled) }],
        USER_REQUEST_PRIORITY,
      );
      if (outcome.outcome === 'committed') return { outcome: 'known', status: { id, phase: 'cancelled' } };
      if (outcome.outcome !== 'conflict')
        return jobUnavailable('the state service did not confirm the write');
    }
    return jobUnavailable('the job record was changed concurrently on every attempt');
  }
}

function lookUp(found: ReadOutcome): JobLookup {
  if (found.outcome === 'absent') return { kind: 'outcome', outcome: JOB_NOT_FOUND };
  if (found.outcome !== 'found')
    return { kind: 'outcome', outcome: jobUnavailable('the state service does not respond') };
  const record = decodeOrNull(found.item.value);
  if (record === null)
    return { kind: 'outcome', outcome: jobUnavailable('the job record cannot be decoded') };
  // Jobs of a task graph were not submitted by users; status requests and cancellations apply to the graph.
  if (record.graph !== undefined) return { kind: 'outcome', outcome: JOB_NOT_FOUND };
  return { kind: 'found', record, version: found.item.version };
}

/**
 * Decodes a record. Returns null for a damaged record without an intact replica, because it does not
 * show whether the job exists.
 */
function decodeOrNull(value: unknown): JobRecord | null {
  try {
    return decodeJob(value);
  } catch (error) {
    if (error instanceof ValidationError) return null;
    throw error;
  }
}
