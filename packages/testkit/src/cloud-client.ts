/**
 * The cloud provider, as reached by one controller process over the simulated network.
 *
 * @module
 */
import type { CloudProvider, RentalOutcome } from '@spurbridge/cloud';
import { formatReleaseRequest, formatRentalRequest } from '@spurbridge/wire';
import type { SimCloud } from './cloud.js';
import { CLOUD_HOST } from './hosts.js';
import type { SimNetwork } from './network.js';
import type { TrafficRecorder } from './traffic-recorder.js';

const RESPONSE_TIMEOUT_MS = 4000;

/** The calling process and its network path. */
export interface CloudClientOptions {
  /** The host of the process. */
  readonly host: string;
  /** Identifies the process, so that a rental request repeated by another process is detected. */
  readonly requester: string;
  readonly network: SimNetwork;
  readonly cloud: SimCloud;
  readonly recorder: TrafficRecorder;
}

/** A provider whose calls take time and can be lost to network partitions. */
export function createCloudClient(options: CloudClientOptions): CloudProvider {
  const { host, requester, network, cloud, recorder } = options;
  const call = <T>(handle: () => T): Promise<T | null> =>
    network.call(host, CLOUD_HOST, RESPONSE_TIMEOUT_MS, handle);
  return {
    listMachineTypes: async () => call(() => cloud.types),
    rent: async (request) => {
      recorder.record('rental', host, CLOUD_HOST, formatRentalRequest(request));
      const outcome = await call<RentalOutcome>(() => cloud.rent(request, requester));
      return outcome ?? { outcome: 'unknown' };
    },
    release: async (ids) => {
      recorder.record('release', host, CLOUD_HOST, formatReleaseRequest(ids));
      return (await call(() => cloud.release(ids))) === true;
    },
    listMachines: async () => call(() => cloud.list()),
  };
}
