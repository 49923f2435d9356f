/**
 * Messages of the cloud's API: Protocol, Controller nodes -> cloud. The `format` functions of responses and the `parse`
 * functions of requests are for the simulated cloud.
 *
 * @module
 */
import type { MachineId } from './ids.js';
import * as read from './json-fields.js';
import { WireNames } from './wire-names.js';

/** A type of machine that the cloud rents (Protocol, Controller nodes -> cloud, GET /flavors). */
export interface MachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** Capacity of the image cache, in GB. */
  readonly cacheGb: number;
  /** Speed at which images are fetched, in GB per second; actual speeds deviate by up to a third. */
  readonly fetchGbPerS: number;
  /** Price of an ordinary machine, per hour. */
  readonly price: number;
  /** Current price of a spot machine, per hour. */
  readonly spotPrice: number;
  /** Typical time from the rental request until the machine is up, in seconds. */
  readonly bootS: number;
  /** Zones in which it is offered. */
  readonly zones: readonly string[];
}

function parseMachineType(value: unknown): MachineType {
  const fields = read.asObject(value, 'builds');
  return {
    name: read.name(fields, 'sku'),
    cpus: read.amount(fields, 'cpus'),
    gpus: read.optionalAmount(fields, 'accelerators') ?? 0,
    memoryGb: read.amount(fields, 'memGb'),
    cacheGb: read.optionalAmount(fields, 'cacheGb') ?? 0,
    fetchGbPerS: read.amount(fields, 'fetchGbPerS'),
    price: read.amount(fields, 'hourly'),
    spotPrice: read.optionalAmount(fields, 'marketPrice') ?? read.amount(fields, 'hourly'),
    bootS: read.amount(fields, 'readyS'),
    zones: read.optionalStrings(fields, 'yards') ?? [],
  };
}

function formatMachineType(type: MachineType): Record<string, unknown> {
  return {
    sku: type.name,
    cpus: type.cpus,
    accelerators: type.gpus,
    memGb: type.memoryGb,
    cacheGb: type.cacheGb,
    fetchGbPerS: type.fetchGbPerS,
    hourly: type.price,
    marketPrice: type.spotPrice,
    readyS: type.bootS,
    yards: type.zones,
  };
}

/** Reads the response to GET /flavors; throws a `ValidationError`. */
export function parseMachineTypes(body: unknown): readonly MachineType[] {
  return read.asArray(read.asObject(body, 'body')['builds'], 'builds').map(parseMachineType);
}

/** The body of the response to GET /flavors. */
export function formatMachineTypes(types: readonly MachineType[]): Record<string, unknown> {
  return { builds: types.map(formatMachineType) };
}

/** State of a machine in the cloud's list; `failed`: it stopped without a release and is no longer charged. */
export type MachinePhase = 'booting' | 'running' | 'failed';

const PHASES = new WireNames<MachinePhase>({ booting: 'starting', running: 'running', failed: 'failed' });

/**
 * A machine in the cloud's list, which lags behind the cloud's state (Protocol, Controller nodes -> cloud, GET
 * /rentals).
 */
export interface ListedMachine {
  readonly id: MachineId;
  /** Address of its worker, as `host:port`; '' while unknown. */
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly phase: MachinePhase;
  /** Time from the rental request to the moment that the list describes, in seconds. */
  readonly ageS: number;
}

/** One page of the cloud's list. */
export interface MachineListPage {
  readonly machines: readonly ListedMachine[];
  /** Whether further machines follow. */
  readonly hasMore: boolean;
}

function parseListedMachine(value: unknown): ListedMachine {
  const fields = read.asObject(value, 'rigs');
  return {
    id: read.name(fields, 'nameId') as MachineId,
    address: read.optionalString(fields, 'address') ?? '',
    type: read.string(fields, 'build'),
    zone: read.string(fields, 'yard'),
    spot: read.booleanOrFalse(fields, 'loaners'),
    phase: PHASES.read(fields, 'phase'),
    ageS: read.amount(fields, 'ageS'),
  };
}

function formatListedMachine(machine: ListedMachine): Record<string, unknown> {
  return {
    nameId: machine.id,
    address: machine.address,
    build: machine.type,
    yard: machine.zone,
    loaners: machine.spot,
    phase: PHASES.format(machine.phase),
    ageS: machine.ageS,
  };
}

/** Reads the response to GET /rentals; throws a `ValidationError`. */
export function parseMachineList(body: unknown): MachineListPage {
  const fields = read.asObject(body, 'body');
  const machines = read.asArray(fields['rigs'], 'rigs').map(parseListedMachine);
  return { machines, hasMore: read.booleanOrFalse(fields, 'more') };
}

/** The body of the response to GET /rentals. */
export function formatMachineList(
  machines: readonly ListedMachine[],
  hasMore: boolean,
): Record<string, unknown> {
  return { rigs: machines.map(formatListedMachine), more: hasMore };
}

/** A request for machines of one type in one zone (Protocol, Controller nodes -> cloud, POST /rentals). */
export interface RentalRequest {
  /** Unique name of the request, which makes it idempotent: the cloud executes it once, however often it is sent. */
  readonly request: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Number of machines; the cloud may rent fewer. */
  readonly count: number;
}

/** Reads the body of POST /rentals; throws a `ValidationError`. */
export function parseRentalRequest(body: unknown): RentalRequest {
  const fields = read.asObject(body, 'body');
  return {
    request: read.name(fields, 'hire'),
    type: read.string(fields, 'build'),
    zone: read.string(fields, 'yard'),
    spot: read.booleanOrFalse(fields, 'loaners'),
    count: read.count(fields, 'count', 1),
  };
}

/** The body of POST /rentals. */
export function formatRentalRequest(rental: RentalRequest): Record<string, unknown> {
  return {
    hire: rental.request,
    build: rental.type,
    yard: rental.zone,
    loaners: rental.spot,
    count: rental.count,
  };
}

function parseMachineIds(body: unknown): readonly MachineId[] {
  return (read.optionalStrings(read.asObject(body, 'body'), 'rigs') ?? []) as readonly MachineId[];
}

function formatMachineIds(machines: readonly MachineId[]): Record<string, unknown> {
  return { rigs: machines };
}

/** Reads the response of 200 to POST /rentals and returns the rented machines; throws a `ValidationError`. */
export function parseRentalResponse(body: unknown): readonly MachineId[] {
  return parseMachineIds(body);
}

/** The body of a response of 200 to POST /rentals. */
export function formatRentalResponse(machines: readonly MachineId[]): Record<string, unknown> {
  return formatMachineIds(machines);
}

/**
 * Reads the body of POST /rentals/release (Protocol, Controller nodes -> cloud) and returns the machines to release;
 * throws a `ValidationError`.
 */
export function parseReleaseRequest(body: unknown): readonly MachineId[] {
  return parseMachineIds(body);
}

/** The body of POST /rentals/release. */
export function formatReleaseRequest(machines: readonly MachineId[]): Record<string, unknown> {
  return formatMachineIds(machines);
}
