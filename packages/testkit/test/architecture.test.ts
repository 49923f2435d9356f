/** Holds the architecture page against the sources: packages, what they import, file names; and finds import cycles. */
import assert from 'node:assert/strict';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { test } from 'node:test';

const PAGE = 'docs/architecture.md';
const page = readFileSync(PAGE, 'utf8');

/** Modules of all packages, each with the modules that it imports; imports of types count. */
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
    const ours = /^@spurbridge\/(.+)$/.exec(specifier)?.[1];
    return ours === undefined ? [] : [`packages/${ours}/src/index.ts`];
  });
}

const graph = importGraph();
const packageOf = (module: string): string => module.split('/')[1] ?? '';

/** A cycle through the module, or null. */
function findCycle(start: string): string[] | null {
  const cameFrom = new Map<string, string>();
  const open = [start];
  for (let module = open.pop(); module !== undefined; module = open.pop())
    for (const next of graph.get(module) ?? []) {
      if (next === start) return pathTo(module, cameFrom, start);
      if (cameFrom.has(next)) continue;
      cameFrom.set(next, module);
      open.push(next);
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

test('no module imports itself by way of others, imports of types included', () => {
  const cycles = [...graph.keys()].map(findCycle).filter((cycle) => cycle !== null);
  assert.deepEqual(cycles, []);
});

test('the architecture page lists every package, with the packages that it imports, only downward', () => {
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
      assert.ok(listed.indexOf(i) < index, `${name} imports ${i}, which is not above it`);
  }
});

test('files and folders that the architecture page and the glossary name exist', () => {
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
