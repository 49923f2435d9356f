import { InvalidArgumentError, Option } from 'commander';

/** A flag for a number, with the variable of the same name: `--some-limit`, `SPURBRIDGE_SOME_LIMIT`. */
export function numberFlag(
  name: string,
  what: string,
  byDefault: number,
  least: number,
  most: number,
  whole = false,
): Option {
  const variable = `SPURBRIDGE_${name.toUpperCase().replaceAll('-', '_')}`;
  return new Option(`--${name} <number>`, what)
    .argParser((text: string) => {
      const n = Number(text);
      if (text.trim() === '' || !(n >= least && n <= most) || (whole && !Number.isInteger(n)))
        throw new InvalidArgumentError(
          `a ${whole ? 'whole ' : ''}number ${most === Infinity ? `of at least ${least}` : `from ${least} to ${most}`} is expected`,
        );
      return n;
    })
    .default(byDefault)
    .env(variable);
}
