import { mkdir, readFile, readdir, rename, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { SnapshotSource } from '@spurbridge/recovery';
import type { Snapshot, SnapshotHeader } from './format.js';
import { SnapshotFormatError, decodeSnapshotHeader, decodeSnapshot } from './format.js';

const SUFFIX = '.snapshot';

/** Where snapshots lie: a directory, or a stand-in of one. Names sort by epoch, then by revision. */
export interface SnapshotDirectory {
  listNames(): Promise<readonly string[]>;
  read(name: string): Promise<Buffer>;
  /** Whole or not at all. */
  write(name: string, bytes: Buffer): Promise<void>;
  remove(name: string): Promise<void>;
}

export class FileSystemSnapshotDirectory implements SnapshotDirectory {
  constructor(private readonly path: string) {}

  async listNames(): Promise<readonly string[]> {
    await mkdir(this.path, { recursive: true });
    return (await readdir(this.path)).filter((n) => n.endsWith(SUFFIX)).sort();
  }

  read(name: string): Promise<Buffer> {
    return readFile(join(this.path, name));
  }

  async write(name: string, bytes: Buffer): Promise<void> {
    await mkdir(this.path, { recursive: true });
    const partial = join(this.path, `${name}.partial`);
    await writeFile(partial, bytes);
    await rename(partial, join(this.path, name));
  }

  remove(name: string): Promise<void> {
    return rm(join(this.path, name), { force: true });
  }
}

/** Name of a snapshot; a longer number is a later one, so numbers have a fixed width. */
export function snapshotName(h: Pick<SnapshotHeader, 'epoch' | 'revision'>, node: string): string {
  return `${String(h.epoch).padStart(8, '0')}-${String(h.revision).padStart(14, '0')}-${node}${SUFFIX}`;
}

export type SnapshotInspection =
  | { readonly name: string; readonly header: SnapshotHeader; readonly bytes: number }
  | { readonly name: string; readonly wrong: string };

/** Snapshots in a folder, newest first; what is damaged or another deployment's is passed over with the reason. */
export class SnapshotRepository implements SnapshotSource {
  constructor(
    private readonly folder: SnapshotDirectory,
    private readonly refused: (name: string, reason: string) => void,
  ) {}

  async latest(deployment: string | null): Promise<Snapshot | null> {
    let names: readonly string[];
    try {
      names = await this.folder.listNames();
    } catch (e) {
      this.refused('the directory', String(e));
      return null;
    }
    for (const name of [...names].reverse()) {
      const found = await this.open(name, deployment);
      if (!('wrong' in found)) return found;
      this.refused(name, found.wrong);
    }
    return null;
  }

  private async open(
    name: string,
    deployment: string | null,
  ): Promise<Snapshot | { readonly wrong: string }> {
    try {
      const snapshot = decodeSnapshot(await this.folder.read(name));
      if (deployment !== null && snapshot.deployment !== deployment)
        return { wrong: `it is of deployment ${snapshot.deployment}, not ${deployment}` };
      return snapshot;
    } catch (e) {
      return { wrong: e instanceof SnapshotFormatError ? e.message : String(e) };
    }
  }

  /** Every snapshot with its header, or what is wrong with it; `whole` also checks what it holds. */
  async inspect(whole: boolean): Promise<SnapshotInspection[]> {
    const found: SnapshotInspection[] = [];
    for (const name of await this.folder.listNames()) {
      try {
        const bytes = await this.folder.read(name);
        const header = whole ? decodeSnapshot(bytes) : decodeSnapshotHeader(bytes).header;
        found.push({ name, header, bytes: bytes.length });
      } catch (e) {
        found.push({ name, wrong: e instanceof SnapshotFormatError ? e.message : String(e) });
      }
    }
    return found;
  }

  async save(name: string, bytes: Buffer, most: number): Promise<void> {
    await this.folder.write(name, bytes);
    const names = await this.folder.listNames();
    for (const old of names.slice(0, Math.max(0, names.length - most))) await this.folder.remove(old);
  }
}
