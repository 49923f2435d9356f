/**
 * The interface between simulated users and their environment.
 *
 * @module
 */
import type { SimTime } from './clock.js';
import type { FaultInjector } from './fault-injector.js';
import type { SimNetwork } from './network.js';
import type { RuleChecker } from './rule-checker.js';
import type { SimNode } from './sim-node.js';
import type { TrafficRecorder } from './traffic-recorder.js';

/** The environment as visible to its users. */
export interface UserEnvironment {
  readonly time: SimTime;
  readonly network: SimNetwork;
  readonly nodes: readonly SimNode[];
  readonly faults: FaultInjector;
  readonly checker: RuleChecker;
  readonly recorder: TrafficRecorder;
  /** A random integer from 0 to `below` - 1. */
  random(below: number): number;
}
