import type { Configuration, ConfigurationVersion } from '@spurbridge/configuration';
import type { JobRecord, WallMs } from '@spurbridge/model';
import { chunkSizeFor, decodeJob, encodeJob, jobKey, neverRuns, userPhase } from '@spurbridge/model';
import type { StateStore } from '@spurbridge/store';
import type { JobId, JobPhase, JobSpec, JobStatus, MachineType, Version } from '@spurbridge/wire';
import { ABSENT, MalformedError, parseSubmission, parseSubmissionId } from '@spurbridge/wire';
import type { Settings } from './settings.js';

export type Answer =
  | { readonly code: 200 | 201; readonly status: JobStatus }
  | { readonly code: 400 | 404 | 422; readonly error: string }
  /** Cannot be decided now: asked again after `retryAfterS`. */
  | { readonly code: 503; readonly error: string; readonly retryAfterS: number };

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
    private readonly store: StateStore,
    private readonly wallNow: () => WallMs,
    private readonly types: () => readonly MachineType[],
    private readonly configuration: ConfigurationSource,
    private readonly progress: (id: JobId) => { done: number; running: number } | null,
  ) {}

  async submit(body: unknown): Promise<Answer> {
    let spec: JobSpec;
    try {
      spec = parseSubmission(body);
    } catch (e) {
      return this.malformed(body, e);
    }
    if (this.types().length === 0) return this.known(spec.id, unsure('machine types are not known yet'));
    const never = this.refusal(spec);
    // A retry of a known job is answered with its state even if the job would be refused now.
    if (never !== null) return this.known(spec.id, await this.confirmed(spec, never));
    const record: JobRecord = {
      spec,
      phase: 'active',
      at: this.wallNow(),
      chunkSize: chunkSizeFor(this.settings.state.valueKb),
    };
    const outcome = await this.store.commit(
      [{ key: jobKey(spec.id), version: ABSENT }],
      [{ put: jobKey(spec.id), value: encodeJob(record) }],
      1,
    );
    if (outcome.outcome === 'committed') return { code: 201, status: { id: spec.id, phase: 'queued' } };
    if (outcome.outcome === 'conflict') return this.known(spec.id, unsure('the id is in use'));
    return unsure('the state service did not confirm');
  }

  private refusal(spec: JobSpec): string | null {
    const { teams } = this.configuration.current();
    if (teams.some((t) => t.name === spec.team && t.isRetired)) return 'the team is retired';
    return neverRuns(spec, teams, this.types());
  }

  /**
   * A refusal is final for its user, so it is never given from an old configuration: the state service says first that
   * there is no later one.
   */
  private async confirmed(spec: JobSpec, never: string): Promise<Answer> {
    const version = await this.configuration.latestVersion();
    if (version === null) return unsure('the configuration cannot be confirmed');
    if (version === this.configuration.current().version)
      return { code: 422, error: this.refusal(spec) ?? never };
    return unsure('a later configuration is being taken in');
  }

  private async malformed(body: unknown, e: unknown): Promise<Answer> {
    if (!(e instanceof MalformedError)) throw e;
    const refusal: Answer = { code: 400, error: e.message };
    let id: JobId;
    try {
      id = parseSubmissionId(body);
    } catch {
      return refusal;
    }
    return this.known(id, refusal);
  }

  /** The state of a job that is known already; otherwise the given answer. */
  private async known(id: JobId, otherwise: Answer): Promise<Answer> {
    const status = await this.status(id);
    return status.code === 404 ? otherwise : status;
  }

  async status(id: JobId): Promise<Answer> {
    const found = await this.store.read(jobKey(id), 1);
    if (found.outcome === 'absent') return { code: 404, error: 'no such job' };
    if (found.outcome !== 'found') return unsure('the state service does not answer');
    const record = readable(found.item.value);
    if (record === null) return unsure('the record cannot be read');
    // A part of a task graph is no job that anybody submitted: its graph is asked about, and cancelled.
    if (record.graph !== undefined) return { code: 404, error: 'no such job' };
    const p = this.progress(id) ?? { done: 0, running: 0 };
    const phase: JobPhase = userPhase(record, p.running);
    const done = phase === 'done' ? record.spec.tasks : p.done;
    const running = record.phase === 'active' ? p.running : 0;
    return { code: 200, status: { id, phase, done, running } };
  }

  async cancel(id: JobId): Promise<Answer> {
    for (let n = 0; n < TRIES; n += 1) {
      const found = await this.store.read(jobKey(id), 1);
      if (found.outcome === 'absent') return { code: 404, error: 'no such job' };
      if (found.outcome !== 'found') return unsure('the state service does not answer');
      const record = readable(found.item.value);
      if (record === null) return unsure('the record cannot be read');
      if (record.graph !== undefined) return { code: 404, error: 'no such job' };
      if (record.phase !== 'active') return { code: 200, status: { id, phase: record.phase } };
      const cancelledAt = this.wallNow();
      const outcome = await this.store.commit(
        [{ key: jobKey(id), version: found.item.version satisfies Version }],
        [{ put: jobKey(id), value: encodeJob({ ...record, phase: 'cancelled', cancelledAt }) }],
        1,
      );
      if (outcome.outcome === 'committed') return { code: 200, status: { id, phase: 'cancelled' } };
      if (outcome.outcome !== 'conflict') return unsure('the state service did not confirm');
    }
    return unsure('the job keeps changing');
  }
}

/** A record that no copy is left of and nobody can read any more says neither that a job is known nor that it is not. */
function readable(value: unknown): JobRecord | null {
  try {
    return decodeJob(value);
  } catch (e) {
    if (e instanceof MalformedError) return null;
    throw e;
  }
}

function unsure(error: string): Answer {
  return { code: 503, error, retryAfterS: 1 };
}
