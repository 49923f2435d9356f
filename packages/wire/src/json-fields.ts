/**
 * Readers for the fields of a JSON object. Every message is validated once, when it enters the process; unknown fields
 * are ignored.
 *
 * @module
 */
import { SpurbridgeError } from './errors.js';

/** Maximum length of a name that `name` accepts, in UTF-16 code units. */
const MAX_NAME_LENGTH = 200;

/**
 * Placeholder path of a value without a field name, such as an array element; `within` replaces it with the outer path.
 */
const UNNAMED_ENTRY = 'entry';

/** A field is missing or has an unexpected value. */
export class ValidationError extends SpurbridgeError {
  constructor(
    /** Path of the field, such as `tasks[3].image`. */
    readonly field: string,
    private readonly expected: string,
  ) {
    super('INVALID_FIELD', `${field}: expected ${expected}`);
  }

  /** Returns the same error with the path of the enclosing object or array prepended to the field's path. */
  within(path: string): ValidationError {
    const fullPath = this.field === UNNAMED_ENTRY ? path : `${path}.${this.field}`;
    return new ValidationError(fullPath, this.expected);
  }
}

/** Runs a reader of a nested value; the path of a `ValidationError` that it throws is extended by `path`. */
export function withFieldPath<T>(path: string, run: () => T): T {
  try {
    return run();
  } catch (error) {
    if (error instanceof ValidationError) throw error.within(path);
    throw error;
  }
}

/** A JSON object whose fields have not been checked yet. */
export type JsonObject = Readonly<Record<string, unknown>>;

function isAbsent(value: unknown): value is undefined | null {
  return value === undefined || value === null;
}

/** The value itself, if it is an object; `field` names it in the error. */
export function asObject(value: unknown, field: string): JsonObject {
  if (typeof value !== 'object' || value === null || Array.isArray(value))
    throw new ValidationError(field, 'an object');
  return value as JsonObject;
}

/** The value itself, if it is an array; `field` names it in the error. */
export function asArray(value: unknown, field: string): readonly unknown[] {
  if (!Array.isArray(value)) throw new ValidationError(field, 'an array');
  return value;
}

/** A string, which may be empty. */
export function string(object: JsonObject, field: string): string {
  const value = object[field];
  if (typeof value !== 'string') throw new ValidationError(field, 'a string');
  return value;
}

/** A string of 1 to 200 characters. */
export function name(object: JsonObject, field: string): string {
  const value = string(object, field);
  if (value.length === 0 || value.length > MAX_NAME_LENGTH)
    throw new ValidationError(field, `a string of 1 to ${MAX_NAME_LENGTH} characters`);
  return value;
}

/** A string, or null if the field is null or missing. */
export function optionalString(object: JsonObject, field: string): string | null {
  return isAbsent(object[field]) ? null : string(object, field);
}

/** A boolean. */
export function boolean(object: JsonObject, field: string): boolean {
  const value = object[field];
  if (typeof value !== 'boolean') throw new ValidationError(field, 'true or false');
  return value;
}

/** A boolean, false if the field is null or missing. */
export function booleanOrFalse(object: JsonObject, field: string): boolean {
  return isAbsent(object[field]) ? false : boolean(object, field);
}

/** An amount: a finite decimal number of at least `min`. */
export function amount(object: JsonObject, field: string, min = 0): number {
  const value = object[field];
  if (typeof value !== 'number' || !Number.isFinite(value) || value < min)
    throw new ValidationError(field, `a number of at least ${min}`);
  return value;
}

/** An amount of at least 0, or null if the field is null or missing. */
export function optionalAmount(object: JsonObject, field: string): number | null {
  return isAbsent(object[field]) ? null : amount(object, field);
}

/** A count, version, token or attempt: an integer of at least `min`. */
export function count(object: JsonObject, field: string, min = 0): number {
  const value = object[field];
  if (typeof value !== 'number' || !Number.isInteger(value) || value < min)
    throw new ValidationError(field, `an integer of at least ${min}`);
  return value;
}

/** A count of at least 0, or null if the field is null or missing. */
export function optionalCount(object: JsonObject, field: string): number | null {
  return isAbsent(object[field]) ? null : count(object, field);
}

/** One of the allowed strings. */
export function oneOf<T extends string>(object: JsonObject, field: string, allowed: readonly T[]): T {
  const value = string(object, field);
  if (!(allowed as readonly string[]).includes(value))
    throw new ValidationError(field, `one of ${allowed.join(', ')}`);
  return value as T;
}

/** An array of strings, or null if the field is null or missing. */
export function optionalStrings(object: JsonObject, field: string): readonly string[] | null {
  const value = object[field];
  if (isAbsent(value)) return null;
  return asArray(value, field).map((entry) => {
    if (typeof entry !== 'string') throw new ValidationError(field, 'an array of strings');
    return entry;
  });
}
