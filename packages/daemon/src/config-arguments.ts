/**
 * Parsers of the configuration command's arguments. Each throws commander's `InvalidArgumentError`.
 *
 * @module
 */
import { SOCKET_ADDRESS_FORM, isSocketAddress } from '@spurbridge/net';
import { InvalidArgumentError } from 'commander';

const MS_PER_S = 1000;
/** Seconds, with or without the unit. */
const DURATION = /^(\d+(?:\.\d+)?)s?$/;
const WHOLE_NUMBER = /^\d{1,9}$/;
const NO_LIMIT = 'none';

/** Parses a duration in seconds, such as `5s`, as milliseconds. */
export function parseDurationMs(text: string): number {
  const match = DURATION.exec(text);
  if (match === null) throw new InvalidArgumentError('expected seconds, such as 5s');
  return Number(match[1]) * MS_PER_S;
}

/** Parses an amount of resources; `none` stands for no limit, which is Infinity. */
export function parseAmount(text: string): number {
  if (text === NO_LIMIT) return Infinity;
  const amount = Number(text);
  if (text === '' || !Number.isFinite(amount) || amount < 0)
    throw new InvalidArgumentError('expected an amount of at least 0, or none for a limit');
  return amount;
}

/** Parses a version of the configuration. */
export function parseVersion(text: string): number {
  if (!WHOLE_NUMBER.test(text)) throw new InvalidArgumentError('expected a whole number');
  return Number(text);
}

/** Parses a node's address and appends it to those that were given before. */
export function appendAddress(text: string, previous: readonly string[]): string[] {
  if (!isSocketAddress(text)) throw new InvalidArgumentError(`expected ${SOCKET_ADDRESS_FORM}`);
  return [...previous, text];
}
