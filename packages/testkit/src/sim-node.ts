/**
 * The controllers of a simulated environment.
 *
 * @module
 */
import type { Controller } from '@spurbridge/controller';
import type { RecoverableStore } from '@spurbridge/recovery';
import type { NodeId } from '@spurbridge/wire';
import type { ProcessClock } from './clock.js';
import type { SimStoreClient } from './store-client.js';

/** One controller process and its parts. */
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

/** The latest process of every controller, by index. */
export class NodeDirectory {
  readonly nodes: SimNode[] = [];

  /** The running process of the controller with this name, or null if it has ended. */
  findRunning(name: string): SimNode | null {
    const node = this.nodes.find((candidate) => candidate.name === name);
    return node?.clock.alive === true ? node : null;
  }

  /** Names of all other controllers. */
  namesExcept(name: string): NodeId[] {
    return this.nodes.filter((node) => node.name !== name).map((node) => node.name);
  }

  /** The highest fencing token under which a running node leads; 0 if none leads. */
  highestLeadingToken(): number {
    const leading = this.nodes.filter(
      (node) => node.clock.alive && node.controller.leadership.state === 'leading',
    );
    return Math.max(0, ...leading.map((node) => node.controller.leadership.fencingToken));
  }
}
