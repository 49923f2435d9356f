/**
 * The controllers of a simulated world and which of them run.
 *
 * @module
 */
import type { Controller } from '@spurbridge/controller';
import type { RecoverableStore } from '@spurbridge/recovery';
import type { NodeId } from '@spurbridge/wire';
import type { ProcessClock } from './clock.js';
import type { SimStoreClient } from './store-client.js';

/** One controller process with everything that it is made of. */
export interface SimNode {
  readonly name: NodeId;
  readonly zone: string;
  readonly clock: ProcessClock;
  readonly store: SimStoreClient;
  readonly recoverableStore: RecoverableStore;
  readonly controller: Controller;
}

/** The name of the controller with this index. */
export function nodeName(index: number): NodeId {
  return `spur-${index}` as NodeId;
}

/** The latest process of every controller, in the order of their indices. */
export class NodeDirectory {
  readonly nodes: SimNode[] = [];

  /** The process of this name, or null where it has ended. */
  findRunning(name: string): SimNode | null {
    const node = this.nodes.find((candidate) => candidate.name === name);
    return node?.clock.alive === true ? node : null;
  }

  /** Names of all controllers but this one. */
  namesExcept(name: string): NodeId[] {
    return this.nodes.filter((node) => node.name !== name).map((node) => node.name);
  }

  /** The highest fencing token under which a running node leads; 0: none leads. */
  highestLeadingToken(): number {
    const leading = this.nodes.filter(
      (node) => node.clock.alive && node.controller.leadership.state === 'leading',
    );
    return Math.max(0, ...leading.map((node) => node.controller.leadership.fencingToken));
  }
}
