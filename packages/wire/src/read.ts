/** Field readers: every message is checked once, here at the edge; unknown fields are ignored. */
export class MalformedError extends Error {
  constructor(
    readonly field: string,
    private readonly expected: string,
  ) {
    super(`${field}: expected ${expected}`);
  }

  /** The same, with the path of what holds the field. */
  within(path: string): MalformedError {
    return new MalformedError(this.field === 'entry' ? path : `${path}.${this.field}`, this.expected);
  }
}

/** Reads something nested: what is wrong in it is named with the path to it. */
export function within<T>(path: string, run: () => T): T {
  try {
    return run();
  } catch (e) {
    if (e instanceof MalformedError) throw e.within(path);
    throw e;
  }
}

export type Fields = Readonly<Record<string, unknown>>;

export function asObject(value: unknown, field: string): Fields {
  if (typeof value !== 'object' || value === null || Array.isArray(value))
    throw new MalformedError(field, 'an object');
  return value as Fields;
}

export function asArray(value: unknown, field: string): readonly unknown[] {
  if (!Array.isArray(value)) throw new MalformedError(field, 'an array');
  return value;
}

export function str(o: Fields, field: string): string {
  const v = o[field];
  if (typeof v !== 'string') throw new MalformedError(field, 'a string');
  return v;
}

export function name(o: Fields, field: string): string {
  const v = str(o, field);
  if (v.length === 0 || v.length > 200) throw new MalformedError(field, 'a name');
  return v;
}

export function optStr(o: Fields, field: string): string | null {
  return o[field] === undefined || o[field] === null ? null : str(o, field);
}

export function bool(o: Fields, field: string): boolean {
  const v = o[field];
  if (typeof v !== 'boolean') throw new MalformedError(field, 'true or false');
  return v;
}

export function optBool(o: Fields, field: string): boolean {
  return o[field] === undefined || o[field] === null ? false : bool(o, field);
}

/** An amount: a finite decimal of at least `min`. */
export function amount(o: Fields, field: string, min = 0): number {
  const v = o[field];
  if (typeof v !== 'number' || !Number.isFinite(v) || v < min)
    throw new MalformedError(field, `a number of at least ${min}`);
  return v;
}

export function optAmount(o: Fields, field: string): number | null {
  return o[field] === undefined || o[field] === null ? null : amount(o, field);
}

/** A count, version, token or attempt. */
export function count(o: Fields, field: string, min = 0): number {
  const v = o[field];
  if (typeof v !== 'number' || !Number.isInteger(v) || v < min)
    throw new MalformedError(field, `an integer of at least ${min}`);
  return v;
}

export function optCount(o: Fields, field: string): number | null {
  return o[field] === undefined || o[field] === null ? null : count(o, field);
}

export function oneOf<T extends string>(o: Fields, field: string, allowed: readonly T[]): T {
  const v = str(o, field);
  if (!(allowed as readonly string[]).includes(v)) throw new MalformedError(field, allowed.join(', '));
  return v as T;
}

export function optNames(o: Fields, field: string): readonly string[] | null {
  const v = o[field];
  if (v === undefined || v === null) return null;
  return asArray(v, field).map((e) => {
    if (typeof e !== 'string') throw new MalformedError(field, 'strings');
    return e;
  });
}
