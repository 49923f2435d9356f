import type { Clock } from '@spurbridge/net';
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
  show(address: string): Promise<WorkerReport | null>;
  forgetAddress(address: string): void;
}

const COMMAND_MS = 2000;
const SHOW_MS = 1500;

export class HttpWorkerLink implements WorkerLink {
  private readonly clients = new Map<string, JsonClient>();

  constructor(readonly clock: Clock) {}

  private client(address: string): JsonClient {
    let client = this.clients.get(address);
    if (client === undefined) {
      client = new JsonClient(address, 2);
      this.clients.set(address, client);
    }
    return client;
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

  async show(address: string): Promise<WorkerReport | null> {
    try {
      const answer = await this.client(address).call('GET', PATHS.show, undefined, SHOW_MS);
      return answer.status === 200 ? parseReport(answer.body) : null;
    } catch {
      return null;
    }
  }
}
