/**
 * The repository of snapshots, from which recovery takes the newest usable one.
 *
 * @module
 */
import type { SnapshotSource } from '@spurbridge/recovery';
import type { SnapshotDirectory } from './directory.js';
import { SnapshotFormatError } from './errors.js';
import type { Snapshot, SnapshotHeader } from './format.js';
import { decodeSnapshot, decodeSnapshotHeader } from './format.js';

/** Result of the inspection of one file. */
export type SnapshotInspection =
  | { readonly name: string; readonly header: SnapshotHeader; readonly bytes: number }
  /** `wrong` is the reason why the file is unusable. */
  | { readonly name: string; readonly wrong: string };

type OpenedSnapshot =
  | { readonly usable: true; readonly snapshot: Snapshot }
  | { readonly usable: false; readonly reason: string };

function describeFailure(error: unknown): string {
  return error instanceof SnapshotFormatError ? error.message : String(error);
}

/** Snapshots in a directory that outlives the nodes. */
export class SnapshotRepository implements SnapshotSource {
  /** @param onRejected - called with the name of each unusable file that is skipped, and the reason */
  constructor(
    private readonly directory: SnapshotDirectory,
    private readonly onRejected: (name: string, reason: string) => void,
  ) {}

  /**
   * The newest snapshot that is intact and of this deployment; null if there is none, or if the directory cannot
   * be read.
   *
   * @param deployment - id of the deployment; null accepts any, since it may not be known yet
   */
  async latest(deployment: string | null): Promise<Snapshot | null> {
    let names: readonly string[];
    try {
      names = await this.directory.listNames();
    } catch (error) {
      this.onRejected('the directory', String(error));
      return null;
    }
    for (const name of [...names].reverse()) {
      const opened = await this.open(name, deployment);
      if (opened.usable) return opened.snapshot;
      this.onRejected(name, opened.reason);
    }
    return null;
  }

  private async open(name: string, deployment: string | null): Promise<OpenedSnapshot> {
    try {
      const snapshot = decodeSnapshot(await this.directory.read(name));
      if (deployment === null || snapshot.deployment === deployment) return { usable: true, snapshot };
      return {
        usable: false,
        reason: `the snapshot belongs to deployment ${snapshot.deployment}, not ${deployment}`,
      };
    } catch (error) {
      return { usable: false, reason: describeFailure(error) };
    }
  }

  /**
   * Inspects every file, oldest first.
   *
   * @param verifyContents - also verifies the records, not only the header
   */
  async inspect(verifyContents: boolean): Promise<SnapshotInspection[]> {
    const inspections: SnapshotInspection[] = [];
    for (const name of await this.directory.listNames())
      inspections.push(await this.inspectFile(name, verifyContents));
    return inspections;
  }

  private async inspectFile(name: string, verifyContents: boolean): Promise<SnapshotInspection> {
    try {
      const bytes = await this.directory.read(name);
      const header = verifyContents ? decodeSnapshot(bytes) : decodeSnapshotHeader(bytes).header;
      return { name, header, bytes: bytes.length };
    } catch (error) {
      return { name, wrong: describeFailure(error) };
    }
  }

  /**
   * Stores a snapshot and removes the oldest ones beyond the limit.
   *
   * @param maxSnapshots - maximum number of snapshots of all nodes that are kept
   */
  async save(name: string, bytes: Buffer, maxSnapshots: number): Promise<void> {
    await this.directory.write(name, bytes);
    const names = await this.directory.listNames();
    const excess = Math.max(0, names.length - maxSnapshots);
    for (const oldName of names.slice(0, excess)) await this.directory.remove(oldName);
  }
}
