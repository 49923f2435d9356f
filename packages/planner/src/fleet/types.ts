/**
 * What the planning of the fleet is given, and what it decides.
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
  /** Seconds since the last task left it; of a booting machine, since it was requested. */
  readonly idleS: number;
  readonly usedCpus: number;
  readonly usedGpus: number;
  readonly usedMemoryGb: number;
  readonly isSchedulable: boolean;
  /** The images in its cache with their sizes in GB. */
  readonly images: ReadonlyMap<string, number>;
  /** The tasks of services on it. */
  readonly replicas: readonly Replica[];
  /** Of what is used, what cannot be preempted for a service: services and gangs. */
  readonly nonPreemptibleCpus: number;
  readonly nonPreemptibleMemoryGb: number;
  /** Whether nothing on it started or was stopped lately, and nothing on it keeps it from being drained. */
  readonly isStable: boolean;
}

/** A task of a service, as far as moving it is concerned. */
export interface Replica {
  readonly cpus: number;
  readonly memoryGb: number;
  readonly gpus: number;
  readonly spot: boolean;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  /** A move must not wait for the image, so only machines that have it in their cache are considered. */
  readonly image: string;
  /** What binds the zones of the job's replicas, shared by them all; null when nothing does. */
  readonly zoneSpread: ZoneSpread | null;
}

/** The zones in which a job's replicas are, and what they have to keep to. */
export interface ZoneSpread {
  readonly replicasByZone: ReadonlyMap<string, number>;
  readonly maxPerZone: number;
  readonly oneZone: boolean;
}

/** What the fleet is sized by. */
export interface FleetPolicy {
  /** Seconds that an empty on-demand machine is kept. */
  readonly scaleInIdleS: number;
  /** CPUs, in use or free, that the demand of the recent past says will be needed. */
  readonly targetCpus: number;
  /** The part of these that has to be on-demand. */
  readonly targetOnDemandCpus: number;
  /** In a burst, the CPUs that would keep up with the arrays that arrive; 0 while they arrive as usual. */
  readonly burstCpus: number;
  /** Whether services spread over the zones: spare on-demand capacity is then kept in more than one. */
  readonly spreadsServices: boolean;
  /** Whether cost is weighed against speed: spare machines are scaled in, and expensive ones are the last choice. */
  readonly isCostAware: boolean;
  /** Whether to look for a machine that can be emptied; this is expensive and need not be done each time. */
  readonly isConsolidating: boolean;
  /** The number of machines that the controller can manage easily; beyond half of it, larger machines are preferred. */
  readonly manageableMachines: number;
  /** Work that would start within this share of a machine's boot time is left to the queues. */
  readonly minQueueBootShare: number;
}

/** The state that a plan of the fleet is made from. */
export interface FleetInput {
  readonly types: readonly MachineType[];
  readonly machines: readonly FleetMachine[];
  readonly unplacedDemand: readonly UnplacedDemand[];
  readonly policy: FleetPolicy;
  /** Whether the cloud may have capacity: false while such a request was refused lately. */
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
  /** A machine whose replicas fit elsewhere: it is to be drained so that it can be scaled in. */
  readonly drain: MachineId | null;
}
