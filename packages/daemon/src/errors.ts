/**
 * Errors of the command line, and their conversion to text.
 *
 * @module
 */
import { SpurbridgeError } from '@spurbridge/wire';

/** A settings file, a flag or another input of the operator is invalid; the message is a single line. */
export class SettingsError extends SpurbridgeError {
  constructor(message: string, options?: ErrorOptions) {
    super('SETTINGS_INVALID', message, options);
  }
}

/** The message of a thrown value. */
export function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

/** The first line of the message; the TOML parser appends an excerpt of the file as further lines. */
export function firstLineOf(error: unknown): string {
  return messageOf(error).split('\n')[0] ?? '';
}
