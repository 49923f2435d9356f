/**
 * Direct calls from the leader to workers.
 *
 * @module
 */
import { JsonClient, NoResponseError } from '@spurbridge/net';
import type { AgentEpoch, FencingToken, WorkerCommand, Heartbeat } from '@spurbridge/wire';
import { PATHS, formatDirectCommands, parseHeartbeat } from '@spurbridge/wire';

/** The outcome of commands that were sent directly. */
export type CommandOutcome =
  | { readonly outcome: 'executed' | 'rejected'; readonly report: Heartbeat }
  /** The commands will certainly never arrive. */
  | { readonly outcome: 'unsent' }
  /** The commands may have been executed already, or may be executed later in the worker's agent epoch. */
  | { readonly outcome: 'unknown' };

/** Calls workers at their own addresses. */
export interface WorkerClient {
  /**
   * Sends commands, which the worker executes only in this agent epoch, and only if it has not seen a higher fencing
   * token.
   */
  sendCommands(
    address: string,
    fencingToken: FencingToken,
    agentEpoch: AgentEpoch,
    commands: readonly WorkerCommand[],
  ): Promise<CommandOutcome>;
  /**
   * Requests a heartbeat from a worker. Null if it does not respond; `not-sent` if this controller could not send the
   * request, which is no evidence against the worker.
   */
  fetchHeartbeat(address: string): Promise<Heartbeat | 'not-sent' | null>;
  /** Closes the connections to an address that is no longer used. */
  closeConnection(address: string): void;
}

const SEND_TIMEOUT_MS = 2000;
const FETCH_TIMEOUT_MS = 1500;
const CONNECTIONS_PER_WORKER = 2;
const MIN_CLIENTS = 4;
/**
 * The share of a controller's sockets kept open for direct calls, in addition to those on which workers send
 * heartbeats. With a share of a quarter, the workers that reconnected at a failover exhausted the remaining sockets,
 * and new connections were refused.
 */
const SOCKET_SHARE = 0.06;

/** Calls workers over HTTP. */
export class HttpWorkerClient implements WorkerClient {
  /** Clients by address, the most recently used last. */
  private readonly clients = new Map<string, JsonClient>();
  private readonly maxClients: number;

  constructor(maxSockets: number) {
    this.maxClients = Math.max(MIN_CLIENTS, Math.floor(maxSockets * SOCKET_SHARE));
  }

  /** The number of workers to which connections are kept. */
  get openConnections(): number {
    return this.clients.size;
  }

  closeConnection(address: string): void {
    this.clients.get(address)?.close();
    this.clients.delete(address);
  }

  async sendCommands(
    address: string,
    fencingToken: FencingToken,
    agentEpoch: AgentEpoch,
    commands: readonly WorkerCommand[],
  ): Promise<CommandOutcome> {
    try {
      const body = formatDirectCommands(fencingToken, agentEpoch, commands);
      const response = await this.clientFor(address).call('POST', PATHS.commands, body, SEND_TIMEOUT_MS);
      if (response.status === 200) return { outcome: 'executed', report: parseHeartbeat(response.body) };
      if (response.status === 409) return { outcome: 'rejected', report: parseHeartbeat(response.body) };
      return { outcome: 'unknown' };
    } catch (error) {
      // A response that cannot be parsed does not show which commands were executed either.
      return { outcome: error instanceof NoResponseError && error.notSent ? 'unsent' : 'unknown' };
    }
  }

  async fetchHeartbeat(address: string): Promise<Heartbeat | 'not-sent' | null> {
    try {
      const response = await this.clientFor(address).call('GET', PATHS.show, undefined, FETCH_TIMEOUT_MS);
      return response.status === 200 ? parseHeartbeat(response.body) : null;
    } catch (error) {
      return error instanceof NoResponseError && error.isLocalFault ? 'not-sent' : null;
    }
  }

  private clientFor(address: string): JsonClient {
    const client = this.clients.get(address) ?? new JsonClient(address, CONNECTIONS_PER_WORKER);
    this.clients.delete(address);
    this.clients.set(address, client);
    this.closeUnused(address);
    return client;
  }

  /**
   * Closes the least recently used clients. Permanent connections to each of hundreds of workers, in addition to those
   * on which they send heartbeats, would exhaust the sockets.
   */
  private closeUnused(addressInUse: string): void {
    for (const [address, client] of this.clients) {
      if (this.clients.size <= this.maxClients) break;
      if (client.isBusy || address === addressInUse) continue;
      client.close();
      this.clients.delete(address);
    }
  }
}
