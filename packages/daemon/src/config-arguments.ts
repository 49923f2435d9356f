/**
 * Parsers of the configuration command's arguments. Each throws commander's `InvalidArgumentError`.
 *
 * @module
 */
import { SOCKET_ADDRESS_FORM, isSocketAddress } from '@spurbridge/net';
import { InvalidArgumentError } from 'commander';

const MS_PER_S = 1000;
/** A duration in seconds, with or without the unit `s`. */
const DURATION_PATTERN = /^(\d+(?:\.\d+)?)s?$/;
const VERSION_PATTERN = /^\d{1,9}$/;
const NO_LIMIT_ARGUMENT = 'none';

/** Parses a duration in seconds, such as `5s`, as milliseconds. */
export function parseDurationMs(text: string): number {
  const match = DURATION_PATTERN.exec(text);
  if (match === null) throw new InvalidArgumentError('expected a duration in seconds, such as 5s');
  return Number(match[1]) * MS_PER_S;
}

/** Parses an amount of resources; `none` means no limit and becomes Infinity. */
export function parseAmount(text: string): number {
  if (text === NO_LIMIT_ARGUMENT) return Infinity;
  const amount = Number(text);
  if (text === '' || !Number.isFinite(amount) || amount < 0)
    throw new InvalidArgumentError('expected a number of at least 0, or none for no limit');
  return amount;
}

/** Parses a version of the configuration. */
export function parseVersion(text: string): number {
  if (!VERSION_PATTERN.test(text))
    throw new InvalidArgumentError('expected a version, a whole number of up to 9 digits');
  return Number(text);
}

/** Parses a node's address and appends it to those of earlier `--node` flags. */
export function appendAddress(text: string, previous: readonly string[]): string[] {
  if (!isSocketAddress(text)) throw new InvalidArgumentError(`expected ${SOCKET_ADDRESS_FORM}`);
  return [...previous, text];
}
