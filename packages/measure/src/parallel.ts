/**
 * Runs the parts of a measurement in parallel, each in its own process.
 *
 * @module
 */
import { spawn } from 'node:child_process';
import { availableParallelism } from 'node:os';
import { fileURLToPath } from 'node:url';
import { MeasurementPartError } from './errors.js';

const MAIN = fileURLToPath(new URL('main.ts', import.meta.url));

/** Runs one part of a measurement in its own process. The last line of its output is the result. */
function runPart(name: string, part: unknown): Promise<unknown> {
  return new Promise((resolve, reject) => {
    const child = spawn(
      process.execPath,
      ['--expose-gc', '--import', 'tsx', MAIN, name, '--part', JSON.stringify(part)],
      {
        stdio: ['ignore', 'pipe', 'inherit'],
      },
    );
    const chunks: Buffer[] = [];
    child.stdout.on('data', (chunk: Buffer) => chunks.push(chunk));
    child.once('error', reject);
    child.once('close', (code) => {
      const last = Buffer.concat(chunks).toString('utf8').trimEnd().split('\n').at(-1) ?? '';
      if (code === 0) resolve(JSON.parse(last));
      else reject(new MeasurementPartError(name, part, code));
    });
  });
}

/**
 * Runs all parts, at most one less than there are processors at a time. Returns their results in the order of the parts.
 *
 * @throws MeasurementPartError if the process of a part exits with another code than 0
 */
export async function runPartsInParallel(
  name: string,
  parts: readonly unknown[],
  printLine: (line: string) => void,
): Promise<unknown[]> {
  const results: unknown[] = [];
  let next = 0;
  let done = 0;
  const runNext = async (): Promise<void> => {
    while (next < parts.length) {
      const i = next;
      next += 1;
      results[i] = await runPart(name, parts[i]);
      done += 1;
      printLine(`${done} of ${parts.length} parts`);
    }
  };
  await Promise.all(Array.from({ length: Math.max(1, availableParallelism() - 1) }, runNext));
  return results;
}
