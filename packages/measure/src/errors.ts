/**
 * Errors of the measurements.
 *
 * @module
 */
import { SpurbridgeError } from '@spurbridge/wire';

/** A part of a measurement whose process exited without a result. */
export class MeasurementPartError extends SpurbridgeError {
  constructor(measurement: string, part: unknown, exitCode: number | null) {
    super('MEASUREMENT_PART_FAILED', `${measurement} ${JSON.stringify(part)} ended with ${String(exitCode)}`);
  }
}

/** A measurement asked the simulated world for a node that it does not have. */
export class NoSuchNodeError extends SpurbridgeError {
  constructor(nodeIndex: number) {
    super('NO_SUCH_NODE', `no such node: ${nodeIndex}`);
  }
}

/** The graph service refused a request of a measurement for a reason that no retry can change. */
export class GraphRequestRefusedError extends SpurbridgeError {
  constructor(response: object) {
    super('GRAPH_REQUEST_REFUSED', JSON.stringify(response));
  }
}

/** A site description that lacks a field, or holds one of another type than expected. */
export class SiteError extends SpurbridgeError {
  constructor(message: string) {
    super('SITE_INVALID', message);
  }
}

/** A day of a site after which the bench left no report. */
export class DayNotPlayedError extends SpurbridgeError {
  constructor(site: string, day: string, logTail: string) {
    super('DAY_NOT_PLAYED', `${site} ${day} could not be played:\n${logTail}`);
  }
}
