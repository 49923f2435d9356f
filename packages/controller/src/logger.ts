/**
 * The logger of the controllers.
 *
 * @module
 */

/** The part of a pino logger that the controllers use. */
export interface Logger {
  debug(fields: object, message: string): void;
  info(fields: object, message: string): void;
  error(fields: object, message: string): void;
}
