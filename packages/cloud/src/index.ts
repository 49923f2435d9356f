import type { Clock, Urgency } from '@spurbridge/net';
import { Budget, JsonClient } from '@spurbridge/net';
import type { ListedMachine, MachineId, MachineType, RentalRequest } from '@spurbridge/wire';
import {
  PATHS,
  formatRelease,
  formatRental,
  parseMachineList,
  parseRental,
  parseTypes,
} from '@spurbridge/wire';

export type RentOutcome =
  | { readonly outcome: 'rented'; readonly machines: readonly MachineId[] }
  | { readonly outcome: 'no_capacity' }
  | { readonly outcome: 'refused' }
  | { readonly outcome: 'unknown' };

/** The rental service as the controllers use it; the stand-in of `testkit` implements it too. */
export interface Cloud {
  types(): Promise<readonly MachineType[] | null>;
  rent(request: RentalRequest): Promise<RentOutcome>;
  /** True once the machines and everything on them are surely gone. */
  release(machines: readonly MachineId[], urgency: Urgency): Promise<boolean>;
  list(): Promise<readonly ListedMachine[] | null>;
}

const ANSWER_MS = 4000;
export const MAX_RENT = 50;
export const MAX_RELEASE = 100;
const PAGE = 500;

export class HttpCloud implements Cloud {
  private readonly client: JsonClient;
  private readonly budget: Budget;

  constructor(address: string, rps: number, clock: Clock) {
    this.client = new JsonClient(address, 8);
    this.budget = new Budget(clock, rps * 0.8, rps * 1.5);
  }

  async types(): Promise<readonly MachineType[] | null> {
    const answer = await this.call('GET', PATHS.types, undefined, 1);
    return answer?.status === 200 ? parseTypes(answer.body) : null;
  }

  async rent(request: RentalRequest): Promise<RentOutcome> {
    if (!this.budget.take(1, 2)) return { outcome: 'refused' };
    try {
      const answer = await this.client.call('POST', PATHS.rentals, formatRental(request), ANSWER_MS);
      if (answer.status === 200) return { outcome: 'rented', machines: parseRental(answer.body) };
      const error = (answer.body as { error?: unknown } | null)?.error;
      if (answer.status === 503 && error === 'no capacity') return { outcome: 'no_capacity' };
      if (answer.status === 429) this.budget.drain();
      return { outcome: 'refused' };
    } catch {
      return { outcome: 'unknown' };
    }
  }

  async release(machines: readonly MachineId[], urgency: Urgency): Promise<boolean> {
    const answer = await this.call('POST', PATHS.release, formatRelease(machines), urgency);
    return answer?.status === 200;
  }

  async list(): Promise<readonly ListedMachine[] | null> {
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
    urgency: Urgency,
  ): Promise<{ status: number; body: unknown } | null> {
    if (!this.budget.take(1, urgency)) return null;
    try {
      const answer = await this.client.call(method, path, body, ANSWER_MS);
      if (answer.status === 429) this.budget.drain();
      return answer;
    } catch {
      return null;
    }
  }
}
