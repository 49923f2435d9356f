/** Compares the architecture page with the sources (packages, their imports, file names), and detects import cycles. */
import assert from 'node:assert/strict';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { test } from 'node:test';

const PAGE = 'docs/architecture.md';
const page = readFileSync(PAGE, 'utf8');

/** The modules of all packages, each with the modules that it imports, including type imports. */
function importGraph(): Map<string, string[]> {
  const modules = readdirSync('packages', { recursive: true, encoding: 'utf8' })
    .filter((name) => /^[^/]+\/src\/.*\.ts$/.test(name))
    .map((name) => join('packages', name));
  return new Map(modules.map((module) => [module, importsOf(module)]));
}

function importsOf(module: string): string[] {
  const imports = readFileSync(module, 'utf8').matchAll(/from '([^']+)'/g);
  return [...imports].flatMap(([, specifier = '']) => {
    if (specifier.startsWith('.')) return [join(dirname(module), specifier).replace(/\.js$/, '.ts')];
    const packageName = /^@spurbridge\/(.+)$/.exec(specifier)?.[1];
    return packageName === undefined ? [] : [`packages/${packageName}/src/index.ts`];
  });
}

const graph = importGraph();
const packageOf = (module: string): string => module.split('/')[1] ?? '';

/** Returns an import cycle through the module, or null if there is none. */
function findCycle(start: string): string[] | null {
  const cameFrom = new Map<string, string>();
  const stack = [start];
  for (let module = stack.pop(); module !== undefined; module = stack.pop())
    for (const next of graph.get(module) ?? []) {
      if (next === start) return pathTo(module, cameFrom, start);
      if (cameFrom.has(next)) continue;
      cameFrom.set(next, module);
      stack.push(next);
    }
  return null;
}

function pathTo(end: string, cameFrom: ReadonlyMap<string, string>, start: string): string[] {
  const path = [end];
  for (let at = end; at !== start;) {
    at = cameFrom.get(at) ?? start;
    path.unshift(at);
  }
  return path;
}

test('modules have no import cycles, including cycles of type imports', () => {
  const cycles = [...graph.keys()].map(findCycle).filter((cycle) => cycle !== null);
  assert.deepEqual(cycles, []);
});

test('the architecture page lists every package with its imports, and each import is listed above it', () => {
  const rows = [...page.matchAll(/^\| `([a-z-]+)`\s+\| ([^|]*)\|$/gm)].map(
    ([, name = '', imports = '']) =>
      [name, [...imports.matchAll(/`([a-z-]+)`/g)].map((m) => m[1] ?? '')] as const,
  );
  const listed = rows.map(([name]) => name);
  assert.deepEqual([...listed].sort(), readdirSync('packages').sort());
  for (const [index, [name, imports]] of rows.entries()) {
    const found = new Set<string>();
    for (const [module, imported] of graph)
      if (packageOf(module) === name)
        for (const i of imported) if (packageOf(i) !== name) found.add(packageOf(i));
    assert.deepEqual([...imports].sort(), [...found].sort(), name);
    for (const i of found)
      assert.ok(listed.indexOf(i) < index, `${name} imports ${i}, which is not listed above it`);
  }
});

test('files and folders named in the architecture page and the glossary exist', () => {
  const glossary = readFileSync('docs/glossary.md', 'utf8');
  const named = [
    ...[...page.matchAll(/`(packages\/[^`]+|docs\/[^`]+)`/g)].map((m) => m[1] ?? ''),
    ...[...glossary.matchAll(/`([a-z-]+\/src\/[^`]*)`/g)].map((m) => join('packages', m[1] ?? '')),
  ];
  assert.deepEqual(
    named.filter((name) => !existsSync(name)),
    [],
  );
});
