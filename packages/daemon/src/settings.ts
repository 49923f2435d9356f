import { readFileSync } from 'node:fs';
import type { Settings } from '@spurbridge/controller';
import type { NodeId } from '@spurbridge/wire';
import { ValidationError, read } from '@spurbridge/wire';
import { parse } from 'smol-toml';

/** What is wrong with a settings file, in one line. */
export class SettingsError extends Error {}

function section(o: read.JsonObject, field: string): read.JsonObject {
  return read.asObject(o[field], field);
}

function address(o: read.JsonObject, field: string): string {
  const text = read.string(o, field);
  if (!/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/.test(text)) throw new ValidationError(field, 'IPv4:port');
  return text;
}

function list(o: read.JsonObject, field: string): read.JsonObject[] {
  const v = o[field];
  return v === undefined ? [] : read.asArray(v, field).map((e) => read.asObject(e, field));
}

/** The platform writes 0 for a limit that it does not set: read as a limit of nothing, it refused every job. */
function limit(stated: number): number {
  return stated === 0 ? Infinity : stated;
}

export function parseSettings(text: string): Settings {
  const o = parse(text) as read.JsonObject;
  const services = section(o, 'services');
  const cluster = section(o, 'cluster');
  const workers = section(cluster, 'workers');
  const state = section(cluster, 'state');
  const cloud = section(cluster, 'cloud');
  const resources = section(cluster, 'resources');
  return {
    node: read.name(o, 'label') as NodeId,
    zone: read.name(o, 'domain'),
    listen: address(o, 'listen'),
    peerListen: address(o, 'back'),
    peers: list(o, 'peers').map((p) => ({
      node: read.name(p, 'label') as NodeId,
      zone: read.name(p, 'domain'),
      address: address(p, 'address'),
    })),
    cloudAddress: address(services, 'cloud'),
    storeAddress: address(services, 'state'),
    teams: list(cluster, 'teams').map((t) => ({
      name: read.name(t, 'name'),
      cpus: read.amount(t, 'cpus'),
      cpusMax: limit(read.amount(t, 'cpus_max')),
      gpus: read.optionalAmount(t, 'gpus') ?? 0,
      gpusMax: limit(read.optionalAmount(t, 'gpus_max') ?? 0),
    })),
    objectives: list(cluster, 'objectives').map((t) => ({
      kind: read.string(t, 'kind'),
      class: read.optionalString(t, 'class'),
      withinS: read.optionalAmount(t, 'within_s'),
      share: read.optionalAmount(t, 'share'),
      times: read.optionalAmount(t, 'times'),
    })),
    workers: {
      reportS: read.amount(workers, 'report_s'),
      leaseS: read.amount(workers, 'lease_s'),
      gangWaitS: read.amount(workers, 'gang_wait_s'),
      gangPeerS: read.amount(workers, 'gang_peer_s'),
      cancelS: read.amount(workers, 'cancel_s'),
    },
    storeLimits: {
      rps: read.amount(state, 'rps', 1),
      writeRps: read.amount(state, 'write_rps', 1),
      valueKb: read.amount(state, 'value_kb', 1),
      txnOps: read.count(state, 'txn_ops', 2),
    },
    cloudLimits: { rps: read.amount(cloud, 'rps'), listLagS: read.amount(cloud, 'list_lag_s') },
    maxSockets: read.count(resources, 'sockets', 1),
    memoryMb: read.optionalAmount(resources, 'mem_mb'),
    cpuShare: read.optionalAmount(resources, 'cpu') ?? 1,
  };
}

export function readSettings(path: string): Settings {
  try {
    return parseSettings(readFileSync(path, 'utf8'));
  } catch (e) {
    const first = (e instanceof Error ? e.message : String(e)).split('\n')[0] ?? '';
    throw new SettingsError(`settings ${path}: ${first}`);
  }
}
