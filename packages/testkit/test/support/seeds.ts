/**
 * Seeds of generated tests.
 *
 * @module
 */

/**
 * The seeds from `first` to `last` of an environment variable in the form `first-last`, so that others can be played by
 * hand; without it those from 1 to `standard`.
 */
export function seedsFrom(variable: string, standard: number): number[] {
  const range = /^(\d+)-(\d+)$/.exec(process.env[variable] ?? `1-${standard}`);
  const [first, last] = [Number(range?.[1] ?? 1), Number(range?.[2] ?? standard)];
  return Array.from({ length: last - first + 1 }, (_, index) => first + index);
}
