/**
 * The log of a controller node: JSON lines on the standard error.
 *
 * @module
 */
import type { Logger } from '@spurbridge/controller';
import { destination, pino } from 'pino';

/** Levels that operators may choose, the least verbose first. */
export const LOG_LEVELS = ['error', 'info', 'debug'] as const;
const DEFAULT_LOG_LEVEL = 'info';
const STDERR_FILE_DESCRIPTOR = 2;

/** The level that the environment states, or the default where it states none or an unknown one. */
export function logLevelOf(variable: string | undefined): string {
  const isKnown = (LOG_LEVELS as readonly (string | undefined)[]).includes(variable);
  return isKnown && variable !== undefined ? variable : DEFAULT_LOG_LEVEL;
}

/** Creates a log in which each line names the node. */
export function createLogger(node: string, level: string): Logger {
  return pino(
    { level, base: { node }, timestamp: pino.stdTimeFunctions.isoTime },
    destination({ fd: STDERR_FILE_DESCRIPTOR, sync: true }),
  );
}
