/** Field readers: every message is checked once, here at the edge; unknown fields are ignored. */
export class ValidationError extends Error {
  constructor(
    readonly field: string,
    private readonly expected: string,
  ) {
    super(`${field}: expected ${expected}`);
  }

  /** The same, with the path of what holds the field. */
  within(path: string): ValidationError {
    return new ValidationError(this.field === 'entry' ? path : `${path}.${this.field}`, this.expected);
  }
}

/** Reads something nested: what is wrong in it is named with the path to it. */
export function withFieldPath<T>(path: string, run: () => T): T {
  try {
    return run();
  } catch (e) {
    if (e instanceof ValidationError) throw e.within(path);
    throw e;
  }
}

export type JsonObject = Readonly<Record<string, unknown>>;

export function asObject(value: unknown, field: string): JsonObject {
  if (typeof value !== 'object' || value === null || Array.isArray(value))
    throw new ValidationError(field, 'an object');
  return value as JsonObject;
}

export function asArray(value: unknown, field: string): readonly unknown[] {
  if (!Array.isArray(value)) throw new ValidationError(field, 'an array');
  return value;
}

export function string(o: JsonObject, field: string): string {
  const v = o[field];
  if (typeof v !== 'string') throw new ValidationError(field, 'a string');
  return v;
}

export function name(o: JsonObject, field: string): string {
  const v = string(o, field);
  if (v.length === 0 || v.length > 200) throw new ValidationError(field, 'a name');
  return v;
}

export function optionalString(o: JsonObject, field: string): string | null {
  return o[field] === undefined || o[field] === null ? null : string(o, field);
}

export function boolean(o: JsonObject, field: string): boolean {
  const v = o[field];
  if (typeof v !== 'boolean') throw new ValidationError(field, 'true or false');
  return v;
}

export function booleanOrFalse(o: JsonObject, field: string): boolean {
  return o[field] === undefined || o[field] === null ? false : boolean(o, field);
}

/** An amount: a finite decimal of at least `min`. */
export function amount(o: JsonObject, field: string, min = 0): number {
  const v = o[field];
  if (typeof v !== 'number' || !Number.isFinite(v) || v < min)
    throw new ValidationError(field, `a number of at least ${min}`);
  return v;
}

export function optionalAmount(o: JsonObject, field: string): number | null {
  return o[field] === undefined || o[field] === null ? null : amount(o, field);
}

/** A count, version, token or attempt. */
export function count(o: JsonObject, field: string, min = 0): number {
  const v = o[field];
  if (typeof v !== 'number' || !Number.isInteger(v) || v < min)
    throw new ValidationError(field, `an integer of at least ${min}`);
  return v;
}

export function optionalCount(o: JsonObject, field: string): number | null {
  return o[field] === undefined || o[field] === null ? null : count(o, field);
}

export function oneOf<T extends string>(o: JsonObject, field: string, allowed: readonly T[]): T {
  const v = string(o, field);
  if (!(allowed as readonly string[]).includes(v)) throw new ValidationError(field, allowed.join(', '));
  return v as T;
}

export function optionalStrings(o: JsonObject, field: string): readonly string[] | null {
  const v = o[field];
  if (v === undefined || v === null) return null;
  return asArray(v, field).map((e) => {
    if (typeof e !== 'string') throw new ValidationError(field, 'strings');
    return e;
  });
}
