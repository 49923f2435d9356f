import { JsonClient, NoAnswerError } from '@spurbridge/net';
import type { Session, Token, WorkerCommand, WorkerReport } from '@spurbridge/wire';
import { PATHS, formatCommands, parseReport } from '@spurbridge/wire';

export type DirectOutcome =
  | { readonly outcome: 'executed' | 'rejected'; readonly report: WorkerReport }
  /** Certainly never arrives. */
  | { readonly outcome: 'unsent' }
  /** May have been executed, or may still be while the session lasts. */
  | { readonly outcome: 'unknown' };

/** Direct commands to a worker's address; the stand-in of `testkit` implements it too. */
export interface WorkerLink {
  commands(
    address: string,
    token: Token,
    session: Session,
    commands: readonly WorkerCommand[],
  ): Promise<DirectOutcome>;
  /** Null: no answer. `unasked`: this node had no means to ask, which says nothing of the machine. */
  show(address: string): Promise<WorkerReport | 'unasked' | null>;
  forgetAddress(address: string): void;
}

const COMMAND_MS = 2000;
const SHOW_MS = 1500;

/**
 * At most this share of a node's sockets is kept open towards workers, which report on others. With a
 * quarter, and two sockets each, a takeover's wave of workers used up the rest: what was new was refused.
 */
const SOCKET_SHARE = 0.06;

export class HttpWorkerLink implements WorkerLink {
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
      if (c.busy || other === address) continue;
      c.close();
      this.clients.delete(other);
    }
    return client;
  }

  get open(): number {
    return this.clients.size;
  }

  forgetAddress(address: string): void {
    this.clients.get(address)?.close();
    this.clients.delete(address);
  }

  async commands(
    address: string,
    token: Token,
    session: Session,
    commands: readonly WorkerCommand[],
  ): Promise<DirectOutcome> {
    try {
      const answer = await this.client(address).call(
        'POST',
        PATHS.commands,
        formatCommands(token, session, commands),
        COMMAND_MS,
      );
      if (answer.status === 200) return { outcome: 'executed', report: parseReport(answer.body) };
      if (answer.status === 409) return { outcome: 'rejected', report: parseReport(answer.body) };
      return { outcome: 'unknown' };
    } catch (e) {
      return { outcome: e instanceof NoAnswerError && e.notSent ? 'unsent' : 'unknown' };
    }
  }

  async show(address: string): Promise<WorkerReport | 'unasked' | null> {
    try {
      const answer = await this.client(address).call('GET', PATHS.show, undefined, SHOW_MS);
      return answer.status === 200 ? parseReport(answer.body) : null;
    } catch (e) {
      return e instanceof NoAnswerError && e.isOurs ? 'unasked' : null;
    }
  }
}
