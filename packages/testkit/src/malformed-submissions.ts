/**
 * Submissions that must be rejected.
 *
 * @module
 */
import type { JobSpec } from '@spurbridge/wire';
import { formatSubmission } from '@spurbridge/wire';

/** CPUs, accelerators and memory that exceed those of every machine type. */
const EXCESSIVE_COUNT = 1000;
const EXCESSIVE_MEMORY_GB = 1_000_000;

/** Fields of a submission that may be null and therefore may be omitted. */
const OPTIONAL_FIELDS: ReadonlySet<string> = new Set(['builds', 'yard', 'dueS']);
/** The job's name; without it, the request identifies no job. */
const NAME_FIELD = 'nameId';

/** A submission that must be rejected, and the reason. */
export interface MalformedSubmission {
  readonly defect: string;
  readonly body: Record<string, unknown>;
}

/** Variants of the job that can never run, and one variant without each required field. */
export function malformedSubmissions(spec: JobSpec): MalformedSubmission[] {
  const body = formatSubmission(spec);
  const required = Object.keys(body).filter((field) => field !== NAME_FIELD && !OPTIONAL_FIELDS.has(field));
  return [
    { defect: 'more CPUs than any machine', body: { ...body, cpus: EXCESSIVE_COUNT } },
    { defect: 'more accelerators than any machine', body: { ...body, accelerators: EXCESSIVE_COUNT } },
    { defect: 'more memory than any machine', body: { ...body, memGb: EXCESSIVE_MEMORY_GB } },
    { defect: 'an unknown machine type', body: { ...body, builds: ['none-such'] } },
    { defect: 'an empty list of machine types', body: { ...body, builds: [] } },
    { defect: 'an unknown zone', body: { ...body, yard: 'nowhere' } },
    { defect: 'an unknown team', body: { ...body, crew: 'nobody' } },
    { defect: 'no tasks', body: { ...body, pieces: 0 } },
    ...required.map((missing) => ({
      defect: `missing field ${missing}`,
      body: Object.fromEntries(Object.entries(body).filter(([field]) => field !== missing)),
    })),
  ];
}
