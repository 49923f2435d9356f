/**
 * The extension point of the leader: components that a program adds to it.
 *
 * @module
 */
import type { Job } from '@spurbridge/model';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { LeaderTerm } from './leader-term.js';

/**
 * A component of the leader beside scheduling, recording, heartbeats and scaling. It works on the cluster's state, listens to
 * the events of it, and lives for one term.
 */
export interface LeaderComponent {
  /** Reads what an earlier leader has recorded; the first scheduling pass comes after it. Resolves early when deposed. */
  restore(): Promise<void>;
  /** Runs until deposed. */
  run(): Promise<void>;
  /** Whether the job may be scheduled now. */
  isSchedulable(job: Job): boolean;
  /** Whether a job whose tasks are all done may be closed, and its task records deleted. */
  mayClose(job: Job): boolean;
  /** Whether all cancellations are known that must take effect before a lease is renewed (docs/design.md, "Renewals"). */
  readonly isFresh: boolean;
}

/** Creates the component of one term. */
export type LeaderComponentFactory = (term: LeaderTerm, cluster: ClusterState) => LeaderComponent;

/** All added components of one leader. */
export class LeaderComponents {
  constructor(readonly components: readonly LeaderComponent[]) {}

  /** Whether every component is fresh. */
  get areFresh(): boolean {
    return this.components.every((component) => component.isFresh);
  }

  /** Starts all components. */
  run(): Promise<void>[] {
    return this.components.map((component) => component.run());
  }

  /** Whether every component lets the job be scheduled. */
  isSchedulable(job: Job): boolean {
    return this.components.every((component) => component.isSchedulable(job));
  }

  /** Whether every component lets the job be closed. */
  mayClose(job: Job): boolean {
    return this.components.every((component) => component.mayClose(job));
  }
}
