/**
 * Compares the architecture page with the sources (packages, their imports, file names), detects import cycles, and
 * verifies the source paths that any page names.
 */
import assert from 'node:assert/strict';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { test } from 'node:test';

const PAGE = 'docs/architecture.md';
const page = readFileSync(PAGE, 'utf8');

/** A path of sources or tests, with or without the leading `packages/`. */
const SOURCE_PATH = /^(?:packages\/|[a-z-]+\/(?:src|test)(?:\/|$))/;
const SOURCE_FILE = /^[\w./-]+\.ts$/;
/** Text of globs and placeholders, such as `*`, `<n>` and `...`. */
const PLACEHOLDER = /[*<>\s]|\.\.\./;

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

/** The README and all pages under `docs`. */
function documentationPages(): string[] {
  const pages = readdirSync('docs', { recursive: true, encoding: 'utf8' }).filter((name) =>
    name.endsWith('.md'),
  );
  return ['README.md', ...pages.map((name) => join('docs', name))];
}

/** Expands the first pair of braces, such as in `{a,b}.ts`, and then the remaining ones. */
function expandBraces(name: string): string[] {
  const match = /^(.*?)\{([^{}]*)\}(.*)$/.exec(name);
  if (match === null) return [name];
  const [, prefix = '', alternatives = '', suffix = ''] = match;
  return alternatives.split(',').flatMap((alternative) => expandBraces(`${prefix}${alternative}${suffix}`));
}

/** The source files and folders that a page names in backticks. */
function namedSourcePaths(pageName: string): string[] {
  const quoted = [...readFileSync(pageName, 'utf8').matchAll(/`([^`\n]+)`/g)].map(([, name = '']) => name);
  return quoted
    .filter((name) => !PLACEHOLDER.test(name))
    .flatMap(expandBraces)
    .filter((name) => SOURCE_PATH.test(name) || SOURCE_FILE.test(name));
}

/** Pages may shorten the path of a source file to its last parts, down to the name of the file. */
function isSourcePath(name: string, sourceFiles: readonly string[]): boolean {
  if (SOURCE_FILE.test(name)) return sourceFiles.some((file) => file === name || file.endsWith(`/${name}`));
  return existsSync(name) || existsSync(join('packages', name));
}

test('source and test paths named in any page exist', () => {
  const sourceFiles = readdirSync('packages', { recursive: true, encoding: 'utf8' })
    .filter((name) => /^[^/]+\/(?:src|test)\/.*\.ts$/.test(name))
    .map((name) => join('packages', name));
  const missing = documentationPages().flatMap((pageName) =>
    namedSourcePaths(pageName)
      .filter((name) => !isSourcePath(name, sourceFiles))
      .map((name) => `${pageName}: ${name}`),
  );
  assert.deepEqual(missing, []);
});
