/**
 * Errors of the measurements.
 *
 * @module
 */
import { SpurbridgeError } from '@spurbridge/wire';

/** The process of a part of a measurement exited with another code than 0. */
export class MeasurementPartError extends SpurbridgeError {
  constructor(measurement: string, part: unknown, exitCode: number | null) {
    super(
      'MEASUREMENT_PART_FAILED',
      `${measurement} ${JSON.stringify(part)} exited with code ${String(exitCode)}`,
    );
  }
}

/** A measurement requested a node that the simulated world does not have. */
export class NoSuchNodeError extends SpurbridgeError {
  constructor(nodeIndex: number) {
    super('NO_SUCH_NODE', `the simulated world has no node ${nodeIndex}`);
  }
}

/** The graph service rejected a request of a measurement with a response that is not retryable. */
export class GraphRequestRefusedError extends SpurbridgeError {
  constructor(response: object) {
    super('GRAPH_REQUEST_REFUSED', JSON.stringify(response));
  }
}

/** A site description lacks a field or has one of an unexpected type. */
export class SiteError extends SpurbridgeError {
  constructor(message: string) {
    super('SITE_INVALID', message);
  }
}

/** The bench wrote no report for a day of a site. */
export class DayNotPlayedError extends SpurbridgeError {
  constructor(site: string, day: string, logTail: string) {
    super('DAY_NOT_PLAYED', `${site} ${day}: the bench wrote no report; end of its output:\n${logTail}`);
  }
}
