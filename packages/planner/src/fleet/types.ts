/**
 * Input and output of fleet planning.
 *
 * @module
 */

import type { MachineId, MachineType } from '@spurbridge/wire';
import type { UnplacedDemand } from '../scheduling/index.js';

/** A machine of the fleet. */
export interface FleetMachine {
  readonly id: MachineId;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly isBooting: boolean;
  /** Whether it may be scaled in when it is not needed. */
  readonly canScaleIn: boolean;
  /** Seconds since its last task ended; for a booting machine, since it was requested. */
  readonly idleS: number;
  readonly usedCpus: number;
  readonly usedGpus: number;
  readonly usedMemoryGb: number;
  readonly isSchedulable: boolean;
  /** The images in its cache with their sizes in GB. */
  readonly images: ReadonlyMap<string, number>;
  /** The tasks of services on it. */
  readonly replicas: readonly Replica[];
  /** The part of the used resources that cannot be preempted for a service: services and gangs. */
  readonly nonPreemptibleCpus: number;
  readonly nonPreemptibleMemoryGb: number;
  /**
   * Whether it can be drained: nothing on it started or was stopped recently, and nothing on it prevents
   * draining.
   */
  readonly isStable: boolean;
}

/** A task of a service, with the constraints on moving it. */
export interface Replica {
  readonly cpus: number;
  readonly memoryGb: number;
  readonly gpus: number;
  readonly spot: boolean;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  /**
   * Only machines that have the image in their cache are considered, because a move must not wait for a
   * fetch.
   */
  readonly image: string;
  /** The zone constraints shared by all replicas of the job; null if there are none. */
  readonly zoneSpread: ZoneSpread | null;
}

/** The zones in which a job's replicas run, and the constraints on them. */
export interface ZoneSpread {
  readonly replicasByZone: ReadonlyMap<string, number>;
  readonly maxPerZone: number;
  readonly oneZone: boolean;
}

/** The parameters and targets of a fleet plan. */
export interface FleetPolicy {
  /** Seconds for which an empty on-demand machine is kept. */
  readonly scaleInIdleS: number;
  /** The target of CPUs, used or free, derived from recent demand. */
  readonly targetCpus: number;
  /** The part of this target that has to be on-demand. */
  readonly targetOnDemandCpus: number;
  /** The CPUs that would keep up with arriving arrays during a burst; 0 outside of bursts. */
  readonly burstCpus: number;
  /** Whether services spread over zones; if so, spare on-demand capacity is kept in more than one zone. */
  readonly spreadsServices: boolean;
  /**
   * Whether cost is weighed against speed: spare machines are scaled in, and expensive ones are chosen last.
   */
  readonly isCostAware: boolean;
  /** Whether to look for a machine to consolidate; this is expensive and not needed in every plan. */
  readonly isConsolidating: boolean;
  /**
   * The number of machines that the controller can manage easily; beyond half of it, larger machines are
   * preferred.
   */
  readonly manageableMachines: number;
  /** No machine is requested for work that would start in the queues within this share of its boot time. */
  readonly minQueueBootShare: number;
}

/** The state that the fleet is planned from. */
export interface FleetInput {
  readonly types: readonly MachineType[];
  readonly machines: readonly FleetMachine[];
  readonly unplacedDemand: readonly UnplacedDemand[];
  readonly policy: FleetPolicy;
  /** Whether the cloud may have capacity; false if it refused such a request recently. */
  readonly hasCapacity: (type: string, zone: string, spot: boolean) => boolean;
}

/** Machines of one kind to scale out to. */
export interface ScaleOutRequest {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** What to change in the fleet. */
export interface FleetPlan {
  readonly scaleOut: readonly ScaleOutRequest[];
  /** Empty machines to release. */
  readonly scaleIn: readonly MachineId[];
  /** A machine to drain because its replicas fit on other machines; it is scaled in once it is empty. */
  readonly drain: MachineId | null;
}
