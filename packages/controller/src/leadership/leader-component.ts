/**
 * The extension point of the leader: components that a program adds to it.
 *
 * @module
 */
import type { Job } from '@spurbridge/model';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { LeaderTerm } from './leader-term.js';

/**
 * A component of the leader in addition to scheduling, recording, heartbeats and scaling. It works on the cluster
 * state, listens to its events, and exists for one term.
 */
export interface LeaderComponent {
  /** Reads the records of earlier leaders; the first scheduling pass starts afterwards. Resolves early when deposed. */
  restore(): Promise<void>;
  /** Runs until the leader is deposed. */
  run(): Promise<void>;
  /** Whether the job may be scheduled now. */
  isSchedulable(job: Job): boolean;
  /** Whether a job whose tasks are all done may be closed, and its task records deleted. */
  mayClose(job: Job): boolean;
  /** Whether the component knows all cancellations that must precede a lease renewal (docs/design.md, "Renewals"). */
  readonly isFresh: boolean;
}

/** Creates the component of one term. */
export type LeaderComponentFactory = (term: LeaderTerm, cluster: ClusterState) => LeaderComponent;

/** All added components of one leader. */
export class LeaderComponents {
  constructor(readonly components: readonly LeaderComponent[]) {}

  /** Whether every component knows all cancellations that must precede a lease renewal. */
  get areFresh(): boolean {
    return this.components.every((component) => component.isFresh);
  }

  /** Starts all components. */
  run(): Promise<void>[] {
    return this.components.map((component) => component.run());
  }

  /** Whether every component allows scheduling the job. */
  isSchedulable(job: Job): boolean {
    return this.components.every((component) => component.isSchedulable(job));
  }

  /** Whether every component allows closing the job. */
  mayClose(job: Job): boolean {
    return this.components.every((component) => component.mayClose(job));
  }
}
