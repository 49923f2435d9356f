/**
 * Command-line options whose values are numbers within bounds.
 *
 * @module
 */
import { InvalidArgumentError, Option } from 'commander';

/** A command-line option whose value is a number. */
export interface NumberOptionSpec {
  /** Name of the flag without its dashes, such as `some-limit`. */
  readonly name: string;
  readonly description: string;
  readonly defaultValue: number;
  readonly min: number;
  /** Infinity means that there is no upper bound. */
  readonly max: number;
  /** Whether fractions are rejected; by default they are accepted. */
  readonly integer?: boolean;
}

function describeExpected({ min, max, integer }: NumberOptionSpec): string {
  const kind = integer === true ? 'whole number' : 'number';
  const range = max === Infinity ? `of at least ${min}` : `from ${min} to ${max}`;
  return `expected a ${kind} ${range}`;
}

function parseNumber(text: string, spec: NumberOptionSpec): number {
  const value = Number(text);
  const isInRange = text.trim() !== '' && value >= spec.min && value <= spec.max;
  if (!isInRange || (spec.integer === true && !Number.isInteger(value)))
    throw new InvalidArgumentError(describeExpected(spec));
  return value;
}

/** Creates an option that is also read from the environment: `--some-limit` from `SPURBRIDGE_SOME_LIMIT`. */
export function numberOption(spec: NumberOptionSpec): Option {
  const variable = `SPURBRIDGE_${spec.name.toUpperCase().replaceAll('-', '_')}`;
  return new Option(`--${spec.name} <number>`, spec.description)
    .argParser((text: string) => parseNumber(text, spec))
    .default(spec.defaultValue)
    .env(variable);
}
