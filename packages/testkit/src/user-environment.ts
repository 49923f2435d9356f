/**
 * What the users of a simulated world need of it.
 *
 * @module
 */
import type { SimTime } from './clock.js';
import type { FaultInjector } from './fault-injector.js';
import type { SimNetwork } from './network.js';
import type { RuleChecker } from './rule-checker.js';
import type { SimNode } from './sim-node.js';
import type { TrafficRecorder } from './traffic-recorder.js';

/** The world as its users see it. */
export interface UserEnvironment {
  readonly time: SimTime;
  readonly network: SimNetwork;
  readonly nodes: readonly SimNode[];
  readonly faults: FaultInjector;
  readonly checker: RuleChecker;
  readonly recorder: TrafficRecorder;
  /** A random whole number from 0 up to `below`, without it. */
  random(below: number): number;
}
