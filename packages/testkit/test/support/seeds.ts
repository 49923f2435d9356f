/**
 * Seeds of randomised tests.
 *
 * @module
 */

/**
 * Returns the seeds of an environment variable in the form `first-last`, which allows manual runs with other seeds. If
 * the variable is not set or malformed, returns the seeds from 1 to `defaultLast`.
 */
export function seedsFrom(variable: string, defaultLast: number): number[] {
  const range = /^(\d+)-(\d+)$/.exec(process.env[variable] ?? `1-${defaultLast}`);
  const [first, last] = [Number(range?.[1] ?? 1), Number(range?.[2] ?? defaultLast)];
  return Array.from({ length: last - first + 1 }, (_, index) => first + index);
}
