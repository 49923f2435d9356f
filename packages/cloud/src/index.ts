import type { Clock, RequestPriority } from '@spurbridge/net';
import { RateLimiter, JsonClient } from '@spurbridge/net';
import type { ListedMachine, MachineId, MachineType, RentalRequest } from '@spurbridge/wire';
import {
  PATHS,
  formatReleaseRequest,
  formatRentalRequest,
  parseMachineList,
  parseRentalResponse,
  parseMachineTypes,
} from '@spurbridge/wire';

export type RentalOutcome =
  | { readonly outcome: 'rented'; readonly machines: readonly MachineId[] }
  | { readonly outcome: 'no_capacity' }
  | { readonly outcome: 'refused' }
  | { readonly outcome: 'unknown' };

/** The rental service as the controllers use it; the stand-in of `testkit` implements it too. */
export interface CloudProvider {
  listMachineTypes(): Promise<readonly MachineType[] | null>;
  rent(request: RentalRequest): Promise<RentalOutcome>;
  /** True once the machines and everything on them are surely gone. */
  release(machines: readonly MachineId[], urgency: RequestPriority): Promise<boolean>;
  listMachines(): Promise<readonly ListedMachine[] | null>;
}

const ANSWER_MS = 4000;
export const MAX_MACHINES_PER_RENTAL = 50;
export const MAX_MACHINES_PER_RELEASE = 100;
const PAGE = 500;

export class HttpCloudProvider implements CloudProvider {
  private readonly client: JsonClient;
  private readonly budget: RateLimiter;

  constructor(address: string, rps: number, clock: Clock) {
    this.client = new JsonClient(address, 8);
    this.budget = new RateLimiter(clock, rps * 0.8, rps * 1.5);
  }

  async listMachineTypes(): Promise<readonly MachineType[] | null> {
    const answer = await this.call('GET', PATHS.machineTypes, undefined, 1);
    return answer?.status === 200 ? parseMachineTypes(answer.body) : null;
  }

  async rent(request: RentalRequest): Promise<RentalOutcome> {
    if (!this.budget.tryAcquire(1, 2)) return { outcome: 'refused' };
    try {
      const answer = await this.client.call('POST', PATHS.rentals, formatRentalRequest(request), ANSWER_MS);
      if (answer.status === 200) return { outcome: 'rented', machines: parseRentalResponse(answer.body) };
      const error = (answer.body as { error?: unknown } | null)?.error;
      if (answer.status === 503 && error === 'no capacity') return { outcome: 'no_capacity' };
      if (answer.status === 429) this.budget.drain();
      return { outcome: 'refused' };
    } catch {
      return { outcome: 'unknown' };
    }
  }

  async release(machines: readonly MachineId[], urgency: RequestPriority): Promise<boolean> {
    const answer = await this.call('POST', PATHS.release, formatReleaseRequest(machines), urgency);
    return answer?.status === 200;
  }

  async listMachines(): Promise<readonly ListedMachine[] | null> {
    const machines: ListedMachine[] = [];
    for (let from = ''; ;) {
      const path = `${PATHS.rentals}?${from === '' ? '' : `from=${from}&`}most=${PAGE}`;
      const answer = await this.call('GET', path, undefined, 2);
      if (answer?.status !== 200) return null;
      const page = parseMachineList(answer.body);
      machines.push(...page.machines);
      const last = page.machines.at(-1);
      if (!page.more || last === undefined) return machines;
      from = last.id;
    }
  }

  private async call(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    urgency: RequestPriority,
  ): Promise<{ status: number; body: unknown } | null> {
    if (!this.budget.tryAcquire(1, urgency)) return null;
    try {
      const answer = await this.client.call(method, path, body, ANSWER_MS);
      if (answer.status === 429) this.budget.drain();
      return answer;
    } catch {
      return null;
    }
  }
}
