/**
 * Reads the platform's settings file (TOML). The names of its fields belong to the platform; unknown ones are ignored.
 *
 * @module
 */
import { SOCKET_ADDRESS_FORM, isSocketAddress } from '@spurbridge/net';
import { readFileSync } from 'node:fs';
import type { Settings } from '@spurbridge/controller';
import type { Objective, Team } from '@spurbridge/model';
import type { NodeId } from '@spurbridge/wire';
import { ValidationError, read } from '@spurbridge/wire';
import { parse } from 'smol-toml';
import { SettingsError, firstLineOf } from './errors.js';

function section(fields: read.JsonObject, field: string): read.JsonObject {
  return read.asObject(fields[field], field);
}

function address(fields: read.JsonObject, field: string): string {
  const text = read.string(fields, field);
  if (!isSocketAddress(text)) throw new ValidationError(field, SOCKET_ADDRESS_FORM);
  return text;
}

function optionalList(fields: read.JsonObject, field: string): read.JsonObject[] {
  const value = fields[field];
  if (value === undefined) return [];
  return read.asArray(value, field).map((entry) => read.asObject(entry, field));
}

/**
 * The platform writes 0 for an unset limit. If this were interpreted as a limit of 0, every job would be rejected.
 */
function limitOf(amount: number): number {
  return amount === 0 ? Infinity : amount;
}

function parsePeer(fields: read.JsonObject): Settings['peers'][number] {
  return {
    node: read.name(fields, 'label') as NodeId,
    zone: read.name(fields, 'domain'),
    address: address(fields, 'address'),
  };
}

function parseTeam(fields: read.JsonObject): Team {
  return {
    name: read.name(fields, 'name'),
    cpus: read.amount(fields, 'cpus'),
    cpusMax: limitOf(read.amount(fields, 'cpus_max')),
    gpus: read.optionalAmount(fields, 'gpus') ?? 0,
    gpusMax: limitOf(read.optionalAmount(fields, 'gpus_max') ?? 0),
  };
}

function parseObjective(fields: read.JsonObject): Objective {
  return {
    kind: read.string(fields, 'kind'),
    class: read.optionalString(fields, 'class'),
    withinS: read.optionalAmount(fields, 'within_s'),
    share: read.optionalAmount(fields, 'share'),
    times: read.optionalAmount(fields, 'times'),
  };
}

function parseWorkers(fields: read.JsonObject): Settings['workers'] {
  return {
    reportS: read.amount(fields, 'report_s'),
    leaseS: read.amount(fields, 'lease_s'),
    gangWaitS: read.amount(fields, 'gang_wait_s'),
    gangPeerS: read.amount(fields, 'gang_peer_s'),
    cancelS: read.amount(fields, 'cancel_s'),
  };
}

function parseStoreLimits(fields: read.JsonObject): Settings['storeLimits'] {
  return {
    rps: read.amount(fields, 'rps', 1),
    writeRps: read.amount(fields, 'write_rps', 1),
    valueKb: read.amount(fields, 'value_kb', 1),
    txnOps: read.count(fields, 'txn_ops', 2),
  };
}

function parseCloudLimits(fields: read.JsonObject): Settings['cloudLimits'] {
  return { rps: read.amount(fields, 'rps'), listLagS: read.amount(fields, 'list_lag_s') };
}

/**
 * Parses the text of a settings file.
 *
 * @throws `ValidationError` that names the missing or malformed field, or the TOML parser's error
 */
export function parseSettings(text: string): Settings {
  const file = parse(text) as read.JsonObject;
  const services = section(file, 'services');
  const cluster = section(file, 'cluster');
  const workers = section(cluster, 'workers');
  const state = section(cluster, 'state');
  const cloud = section(cluster, 'cloud');
  const resources = section(cluster, 'resources');
  return {
    node: read.name(file, 'label') as NodeId,
    zone: read.name(file, 'domain'),
    listen: address(file, 'listen'),
    peerListen: address(file, 'back'),
    peers: optionalList(file, 'peers').map(parsePeer),
    cloudAddress: address(services, 'cloud'),
    storeAddress: address(services, 'state'),
    teams: optionalList(cluster, 'teams').map(parseTeam),
    objectives: optionalList(cluster, 'objectives').map(parseObjective),
    workers: parseWorkers(workers),
    storeLimits: parseStoreLimits(state),
    cloudLimits: parseCloudLimits(cloud),
    maxSockets: read.count(resources, 'sockets', 1),
    memoryMb: read.optionalAmount(resources, 'mem_mb'),
    cpuShare: read.optionalAmount(resources, 'cpu') ?? 1,
  };
}

/**
 * Reads a settings file.
 *
 * @throws {@link SettingsError} with the path of the file and the error in it
 */
export function readSettings(path: string): Settings {
  try {
    return parseSettings(readFileSync(path, 'utf8'));
  } catch (error) {
    throw new SettingsError(`settings ${path}: ${firstLineOf(error)}`, { cause: error });
  }
}
