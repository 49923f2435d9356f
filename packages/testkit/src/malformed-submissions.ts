/**
 * Submissions that must be rejected.
 *
 * @module
 */
import type { JobSpec } from '@spurbridge/wire';
import { formatSubmission } from '@spurbridge/wire';

/** More of a resource than any machine has. */
const TOO_MANY = 1000;
const TOO_MUCH_MEMORY_GB = 1_000_000;

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
    { defect: 'more CPUs than any machine', body: { ...body, cpus: TOO_MANY } },
    { defect: 'more accelerators than any machine', body: { ...body, accelerators: TOO_MANY } },
    { defect: 'more memory than any machine', body: { ...body, memGb: TOO_MUCH_MEMORY_GB } },
    { defect: 'a machine type that there is not', body: { ...body, builds: ['none-such'] } },
    { defect: 'no machine type', body: { ...body, builds: [] } },
    { defect: 'a zone that there is not', body: { ...body, yard: 'nowhere' } },
    { defect: 'a team that there is not', body: { ...body, crew: 'nobody' } },
    { defect: 'no tasks', body: { ...body, pieces: 0 } },
    ...required.map((missing) => ({
      defect: `no ${missing}`,
      body: Object.fromEntries(Object.entries(body).filter(([field]) => field !== missing)),
    })),
  ];
}
