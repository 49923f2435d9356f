import { spawn } from 'node:child_process';
import { availableParallelism } from 'node:os';
import { fileURLToPath } from 'node:url';

const MAIN = fileURLToPath(new URL('main.ts', import.meta.url));

/** One part of a measurement in a process of its own; its last line is the result. */
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
    child.stdout.on('data', (c: Buffer) => chunks.push(c));
    child.once('error', reject);
    child.once('close', (code) => {
      const last = Buffer.concat(chunks).toString('utf8').trimEnd().split('\n').at(-1) ?? '';
      if (code === 0) resolve(JSON.parse(last));
      else reject(new Error(`${name} ${JSON.stringify(part)} ended with ${String(code)}`));
    });
  });
}

/** Results of all parts, in their order, as many at once as there are processors to spare. */
export async function parallel(
  name: string,
  parts: readonly unknown[],
  say: (line: string) => void,
): Promise<unknown[]> {
  const results: unknown[] = [];
  let next = 0;
  let done = 0;
  const work = async (): Promise<void> => {
    while (next < parts.length) {
      const i = next;
      next += 1;
      results[i] = await runPart(name, parts[i]);
      done += 1;
      say(`${done} of ${parts.length} parts`);
    }
  };
  await Promise.all(Array.from({ length: Math.max(1, availableParallelism() - 1) }, work));
  return results;
}
