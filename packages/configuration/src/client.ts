import { randomUUID } from 'node:crypto';
import type { HttpResponse } from '@spurbridge/net';
import { JsonClient, NoResponseError } from '@spurbridge/net';
import { read } from '@spurbridge/wire';
import type { FieldChange } from './change.js';
import type { HistoryEntry } from './records.js';
import { formatChange } from './requests.js';
import type { ConfigurationChange } from './types.js';

/** Paths of the operators' calls. */
export const CONFIGURATION_PATHS = {
  current: '/configuration',
  changes: '/configuration/changes',
  history: '/configuration/history',
  status: '/configuration/status',
} as const;

const ANSWER_MS = 4000;
const RETRY_MS = 300;
const STATUS_EVERY_MS = 50;
const TRIES = 8;

/** No node answers, or none can say. */
export class NoNodeAvailableError extends Error {}

/** The version that the author saw is not the newest. */
export class StaleVersionError extends Error {
  constructor(readonly newestVersion: number) {
    super(`version ${newestVersion} is the newest: look at it, and ask again`);
  }
}

/** The change was refused; the message names the field. */
export class ChangeRejectedError extends Error {}

export interface ConfigurationResponse {
  readonly version: number;
  readonly teams: readonly Record<string, unknown>[];
  readonly objectives: readonly Record<string, unknown>[];
}

export interface AppliedChange {
  readonly outcome: string;
  readonly version: number;
  readonly differences: readonly FieldChange[];
}

export interface NodeVersion {
  readonly node: string;
  readonly version: number | null;
  readonly ageMs: number;
  readonly leads: boolean;
}

/** Which nodes had not taken a version in by the end, and how long the others took. */
export interface RolloutResult {
  readonly laggingNodes: readonly NodeVersion[];
  readonly elapsedMs: number;
}

/** The operators' calls, to whichever of the nodes answers. */
export class ConfigurationClient {
  private readonly clients: JsonClient[];

  constructor(
    addresses: readonly string[],
    private readonly sleep: (ms: number) => Promise<void> = (ms) =>
      new Promise((resolve) => setTimeout(resolve, ms)),
  ) {
    this.clients = addresses.map((address) => new JsonClient(address, 2));
  }

  close(): void {
    for (const client of this.clients) client.close();
  }

  /** Asks one node after another until one says something final. */
  private async ask(method: 'GET' | 'POST', path: string, body?: unknown): Promise<HttpResponse> {
    for (let n = 0; n < TRIES; n += 1) {
      const client = this.clients[n % this.clients.length] as JsonClient;
      try {
        const answer = await client.call(method, path, body, ANSWER_MS);
        if (answer.status < 500) return answer;
      } catch (e) {
        if (!(e instanceof NoResponseError)) throw e;
      }
      await this.sleep(RETRY_MS);
    }
    throw new NoNodeAvailableError('no node answers, or none can ask the state service');
  }

  async show(): Promise<ConfigurationResponse> {
    return (await this.ask('GET', CONFIGURATION_PATHS.current)).body as ConfigurationResponse;
  }

  async history(): Promise<readonly HistoryEntry[]> {
    const { body } = await this.ask('GET', CONFIGURATION_PATHS.history);
    return read.asArray(read.asObject(body, 'body')['entries'], 'entries') as readonly HistoryEntry[];
  }

  async status(): Promise<readonly NodeVersion[]> {
    const { body } = await this.ask('GET', CONFIGURATION_PATHS.status);
    return read.asArray(read.asObject(body, 'body')['nodes'], 'nodes') as readonly NodeVersion[];
  }

  /** Makes the changes on top of the version that is the newest now; sent again, they are not made twice. */
  async apply(
    changes: readonly ConfigurationChange[],
    author: string,
    isDryRun: boolean,
    base?: number,
  ): Promise<AppliedChange> {
    const answer = await this.ask('POST', CONFIGURATION_PATHS.changes, {
      base: base ?? (await this.show()).version,
      changeId: randomUUID(),
      author,
      changes: changes.map(formatChange),
      dryRun: isDryRun,
    });
    if (answer.status === 200) return answer.body as AppliedChange;
    const o = read.asObject(answer.body, 'body');
    if (answer.status === 409) throw new StaleVersionError(read.count(o, 'version'));
    throw new ChangeRejectedError(read.string(o, 'error'));
  }

  /** Waits until the version is in force on every node, or the time is over. */
  async waitForRollout(version: number, withinMs: number): Promise<RolloutResult> {
    const began = performance.now();
    for (;;) {
      const lagging = (await this.status()).filter((n) => n.version === null || n.version < version);
      const afterMs = performance.now() - began;
      if (lagging.length === 0 || afterMs >= withinMs) return { laggingNodes: lagging, elapsedMs: afterMs };
      await this.sleep(STATUS_EVERY_MS);
    }
  }
}
