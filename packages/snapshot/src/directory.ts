/**
 * Where snapshot files are stored, and how they are named.
 *
 * @module
 */
import { mkdir, readFile, readdir, rename, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { SnapshotOrigin } from './format.js';

const FILE_SUFFIX = '.snapshot';
const PARTIAL_FILE_SUFFIX = '.partial';
const EPOCH_DIGITS = 8;
const REVISION_DIGITS = 14;

/** A directory of snapshot files. Tests use implementations without a file system. */
export interface SnapshotDirectory {
  /** Names of all snapshot files in ascending order: by epoch, then by revision. */
  listNames(): Promise<readonly string[]>;
  /** Reads a file; rejects if there is none. */
  read(name: string): Promise<Buffer>;
  /** Writes a file atomically: readers find the whole file or none. */
  write(name: string, bytes: Buffer): Promise<void>;
  /** Removes a file if it exists. */
  remove(name: string): Promise<void>;
}

/** A directory of the file system, which is created when it is first used. */
export class FileSystemSnapshotDirectory implements SnapshotDirectory {
  constructor(private readonly path: string) {}

  async listNames(): Promise<readonly string[]> {
    await mkdir(this.path, { recursive: true });
    const fileNames = await readdir(this.path);
    return fileNames.filter((fileName) => fileName.endsWith(FILE_SUFFIX)).sort();
  }

  read(name: string): Promise<Buffer> {
    return readFile(join(this.path, name));
  }

  async write(name: string, bytes: Buffer): Promise<void> {
    await mkdir(this.path, { recursive: true });
    const partialPath = join(this.path, `${name}${PARTIAL_FILE_SUFFIX}`);
    await writeFile(partialPath, bytes);
    await rename(partialPath, join(this.path, name));
  }

  remove(name: string): Promise<void> {
    return rm(join(this.path, name), { force: true });
  }
}

/** File name of a snapshot. Numbers have a fixed width, so that names sort in the order of their revisions. */
export function snapshotName(origin: Pick<SnapshotOrigin, 'epoch' | 'revision'>, node: string): string {
  const epoch = String(origin.epoch).padStart(EPOCH_DIGITS, '0');
  const revision = String(origin.revision).padStart(REVISION_DIGITS, '0');
  return `${epoch}-${revision}-${node}${FILE_SUFFIX}`;
}
