import { JsonClient, NoResponseError } from '@spurbridge/net';
import type { AgentEpoch, FencingToken, WorkerCommand, Heartbeat } from '@spurbridge/wire';
import { PATHS, formatDirectCommands, parseHeartbeat } from '@spurbridge/wire';

export type CommandOutcome =
  | { readonly outcome: 'executed' | 'rejected'; readonly report: Heartbeat }
  /** Certainly never arrives. */
  | { readonly outcome: 'unsent' }
  /** May have been executed, or may still be while the session lasts. */
  | { readonly outcome: 'unknown' };

/** Direct commands to a worker's address; the stand-in of `testkit` implements it too. */
export interface WorkerClient {
  sendCommands(
    address: string,
    token: FencingToken,
    session: AgentEpoch,
    commands: readonly WorkerCommand[],
  ): Promise<CommandOutcome>;
  /** Null: no answer. `unasked`: this node had no means to ask, which says nothing of the machine. */
  fetchHeartbeat(address: string): Promise<Heartbeat | 'unasked' | null>;
  closeConnection(address: string): void;
}

const COMMAND_MS = 2000;
const SHOW_MS = 1500;

/**
 * At most this share of a node's sockets is kept open towards workers, which report on others. With a
 * quarter, and two sockets each, a takeover's wave of workers used up the rest: what was new was refused.
 */
const SOCKET_SHARE = 0.06;

export class HttpWorkerClient implements WorkerClient {
  /** The most recently used last. */
  private readonly clients = new Map<string, JsonClient>();
  private readonly most: number;

  constructor(maxSockets: number) {
    this.most = Math.max(4, Math.floor(maxSockets * SOCKET_SHARE));
  }

  private client(address: string): JsonClient {
    const client = this.clients.get(address) ?? new JsonClient(address, 2);
    this.clients.delete(address);
    this.clients.set(address, client);
    // A connection to each of hundreds of workers, beside the one that each reports on, would use up
    // the sockets: those unused for longest are closed.
    for (const [other, c] of this.clients) {
      if (this.clients.size <= this.most) break;
      if (c.isBusy || other === address) continue;
      c.close();
      this.clients.delete(other);
    }
    return client;
  }

  get openConnections(): number {
    return this.clients.size;
  }

  closeConnection(address: string): void {
    this.clients.get(address)?.close();
    this.clients.delete(address);
  }

  async sendCommands(
    address: string,
    token: FencingToken,
    session: AgentEpoch,
    commands: readonly WorkerCommand[],
  ): Promise<CommandOutcome> {
    try {
      const answer = await this.client(address).call(
        'POST',
        PATHS.commands,
        formatDirectCommands(token, session, commands),
        COMMAND_MS,
      );
      if (answer.status === 200) return { outcome: 'executed', report: parseHeartbeat(answer.body) };
      if (answer.status === 409) return { outcome: 'rejected', report: parseHeartbeat(answer.body) };
      return { outcome: 'unknown' };
    } catch (e) {
      return { outcome: e instanceof NoResponseError && e.notSent ? 'unsent' : 'unknown' };
    }
  }

  async fetchHeartbeat(address: string): Promise<Heartbeat | 'unasked' | null> {
    try {
      const answer = await this.client(address).call('GET', PATHS.show, undefined, SHOW_MS);
      return answer.status === 200 ? parseHeartbeat(answer.body) : null;
    } catch (e) {
      return e instanceof NoResponseError && e.isLocalFault ? 'unasked' : null;
    }
  }
}
