/**
 * The cloud over HTTP: Protocol, Controller nodes -> cloud.
 *
 * @module
 */
import type { Clock, HttpMethod, HttpResponse, RequestPriority } from '@spurbridge/net';
import { HTTP_STATUS, JsonClient, REQUEST_PRIORITY, RateLimiter } from '@spurbridge/net';
import type { ListedMachine, MachineId, MachineType, RentalRequest } from '@spurbridge/wire';
import {
  PATHS,
  formatReleaseRequest,
  formatRentalRequest,
  parseMachineList,
  parseMachineTypes,
  parseRentalResponse,
} from '@spurbridge/wire';
import type { CloudProvider, RentalOutcome } from './cloud-provider.js';

const RESPONSE_TIMEOUT_MS = 4000;
/** Machines per page of the list: the maximum that the cloud returns. */
const LIST_PAGE_SIZE = 500;
const MAX_SOCKETS = 8;

/** Request rate and burst of one node, as fractions of the cloud's limit. */
const REQUEST_RATE_SHARE = 0.8;
const REQUEST_BURST_SHARE = 1.5;

/** Error text by which a 503 response states that no machine of the requested type is available. */
const NO_CAPACITY_ERROR = 'no capacity';

/** A client of the cloud that stays within its node's share of the request limit. */
export class HttpCloudProvider implements CloudProvider {
  private readonly client: JsonClient;
  private readonly requests: RateLimiter;

  /** The address is `host:port`; `rps` is the cloud's limit in requests per second. */
  constructor(address: string, rps: number, clock: Clock) {
    this.client = new JsonClient(address, MAX_SOCKETS);
    this.requests = new RateLimiter(clock, rps * REQUEST_RATE_SHARE, rps * REQUEST_BURST_SHARE);
  }

  async listMachineTypes(): Promise<readonly MachineType[] | null> {
    const response = await this.send('GET', PATHS.machineTypes, undefined, REQUEST_PRIORITY.high);
    return response?.status === HTTP_STATUS.ok ? parseMachineTypes(response.body) : null;
  }

  async rent(request: RentalRequest): Promise<RentalOutcome> {
    if (!this.requests.tryAcquire(1, REQUEST_PRIORITY.normal)) return { outcome: 'refused' };
    try {
      const body = formatRentalRequest(request);
      const response = await this.client.call('POST', PATHS.rentals, body, RESPONSE_TIMEOUT_MS);
      if (response.status === HTTP_STATUS.tooManyRequests) this.requests.drain();
      return parseRentalOutcome(response);
    } catch {
      // A `NoResponseError`, or a `ValidationError` if the response cannot be understood.
      return { outcome: 'unknown' };
    }
  }

  async release(machines: readonly MachineId[], priority: RequestPriority): Promise<boolean> {
    const response = await this.send('POST', PATHS.release, formatReleaseRequest(machines), priority);
    return response?.status === HTTP_STATUS.ok;
  }

  /** Reads the whole list, a page at a time. */
  async listMachines(): Promise<readonly ListedMachine[] | null> {
    const machines: ListedMachine[] = [];
    for (let from = ''; ;) {
      const response = await this.send('GET', listPath(from), undefined, REQUEST_PRIORITY.normal);
      if (response?.status !== HTTP_STATUS.ok) return null;
      const page = parseMachineList(response.body);
      machines.push(...page.machines);
      const last = page.machines.at(-1);
      if (!page.hasMore || last === undefined) return machines;
      from = last.id;
    }
  }

  /** The response to a request; null if the rate limit prevented sending it, or no response was received. */
  private async send(
    method: HttpMethod,
    path: string,
    body: unknown,
    priority: RequestPriority,
  ): Promise<HttpResponse | null> {
    if (!this.requests.tryAcquire(1, priority)) return null;
    try {
      const response = await this.client.call(method, path, body, RESPONSE_TIMEOUT_MS);
      if (response.status === HTTP_STATUS.tooManyRequests) this.requests.drain();
      return response;
    } catch {
      // A `NoResponseError`.
      return null;
    }
  }
}

/** Path of the page of the list that begins after the machine `from`, or of the first page if `from` is ''. */
function listPath(from: string): string {
  return `${PATHS.rentals}?${from === '' ? '' : `from=${from}&`}most=${LIST_PAGE_SIZE}`;
}

function parseRentalOutcome(response: HttpResponse): RentalOutcome {
  if (response.status === HTTP_STATUS.ok)
    return { outcome: 'rented', machines: parseRentalResponse(response.body) };
  const error = (response.body as { error?: unknown } | null)?.error;
  if (response.status === HTTP_STATUS.unavailable && error === NO_CAPACITY_ERROR)
    return { outcome: 'no_capacity' };
  return { outcome: 'refused' };
}
