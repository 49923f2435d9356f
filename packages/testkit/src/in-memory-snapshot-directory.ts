/**
 * A directory of snapshots that outlives the nodes of a simulated environment.
 *
 * @module
 */
import type { SnapshotDirectory } from '@spurbridge/snapshot';
import { SpurbridgeError } from '@spurbridge/wire';

/** A file was read that does not exist. */
export class MissingSnapshotError extends SpurbridgeError {
  constructor(readonly file: string) {
    super('SNAPSHOT_MISSING', `snapshot file ${file} does not exist`);
  }
}

/** Keeps files in memory. */
export class InMemorySnapshotDirectory implements SnapshotDirectory {
  private readonly files = new Map<string, Buffer>();

  listNames(): Promise<readonly string[]> {
    return Promise.resolve([...this.files.keys()].sort());
  }

  /** Rejects with a MissingSnapshotError if there is no such file. */
  read(name: string): Promise<Buffer> {
    const bytes = this.files.get(name);
    return bytes === undefined ? Promise.reject(new MissingSnapshotError(name)) : Promise.resolve(bytes);
  }

  write(name: string, bytes: Buffer): Promise<void> {
    this.files.set(name, bytes);
    return Promise.resolve();
  }

  remove(name: string): Promise<void> {
    this.files.delete(name);
    return Promise.resolve();
  }
}
