/**
 * The log of a controller node: JSON lines on the standard error.
 *
 * @module
 */
import type { Logger } from '@spurbridge/controller';
import { destination, pino } from 'pino';

/** Log levels that operators may choose, the least verbose first. */
export const LOG_LEVELS = ['error', 'info', 'debug'] as const;
const DEFAULT_LOG_LEVEL = 'info';
const STDERR_FILE_DESCRIPTOR = 2;

/** The log level of the environment variable, or the default if it is unset or unknown. */
export function logLevelOf(variable: string | undefined): string {
  const isKnown = (LOG_LEVELS as readonly (string | undefined)[]).includes(variable);
  return isKnown && variable !== undefined ? variable : DEFAULT_LOG_LEVEL;
}

/** Creates a logger whose lines name the node. */
export function createLogger(node: string, level: string): Logger {
  return pino(
    { level, base: { node }, timestamp: pino.stdTimeFunctions.isoTime },
    destination({ fd: STDERR_FILE_DESCRIPTOR, sync: true }),
  );
}
