/**
 * A client of the operators' HTTP API.
 *
 * @module
 */
import { randomUUID } from 'node:crypto';
import type { HttpResponse } from '@spurbridge/net';
import { JsonClient, NoResponseError } from '@spurbridge/net';
import { read } from '@spurbridge/wire';
import type { AppliedChange, ConfigurationResponse, NodeVersion } from './api.js';
import { CONFIGURATION_PATHS } from './api.js';
import { ChangeRejectedError, NoNodeAvailableError, StaleVersionError } from './errors.js';
import type { HistoryEntry } from './records.js';
import { formatChange } from './requests.js';
import type { ConfigurationChange } from './types.js';

const REQUEST_TIMEOUT_MS = 4000;
const RETRY_DELAY_MS = 300;
const STATUS_POLL_INTERVAL_MS = 50;
const MAX_ATTEMPTS = 8;
const MAX_SOCKETS_PER_NODE = 2;
const HTTP_OK = 200;
const HTTP_CONFLICT = 409;
const HTTP_SERVER_ERROR = 500;

/** How far a version has been rolled out. */
export interface RolloutResult {
  /** Nodes on which the version was not in force yet at the last status request. */
  readonly laggingNodes: readonly NodeVersion[];
  /** Time from the first status request to the last response, in milliseconds. */
  readonly elapsedMs: number;
}

/** Sends operators' requests to the nodes of one deployment, to one after another until one responds. */
export class ConfigurationClient {
  private readonly clients: JsonClient[];

  /**
   * @param addresses - nodes as `IPv4:port`, at least one
   * @param sleep - waits for the given number of milliseconds
   */
  constructor(
    addresses: readonly string[],
    private readonly sleep: (ms: number) => Promise<void> = (ms) =>
      new Promise((resolve) => setTimeout(resolve, ms)),
  ) {
    this.clients = addresses.map((address) => new JsonClient(address, MAX_SOCKETS_PER_NODE));
  }

  /** Closes all connections. */
  close(): void {
    for (const client of this.clients) client.close();
  }

  /** Sends a request to one node after another until one responds with anything but a server error. */
  private async request(method: 'GET' | 'POST', path: string, body?: unknown): Promise<HttpResponse> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const client = this.clients[attempt % this.clients.length] as JsonClient;
      try {
        const response = await client.call(method, path, body, REQUEST_TIMEOUT_MS);
        if (response.status < HTTP_SERVER_ERROR) return response;
      } catch (error) {
        if (!(error instanceof NoResponseError)) throw error;
      }
      await this.sleep(RETRY_DELAY_MS);
    }
    throw new NoNodeAvailableError();
  }

  /**
   * Fetches the newest configuration.
   *
   * @throws {@link NoNodeAvailableError}
   */
  async show(): Promise<ConfigurationResponse> {
    const { body } = await this.request('GET', CONFIGURATION_PATHS.current);
    return body as ConfigurationResponse;
  }

  /**
   * Fetches the history of changes, oldest first.
   *
   * @throws {@link NoNodeAvailableError}
   */
  async history(): Promise<readonly HistoryEntry[]> {
    const { body } = await this.request('GET', CONFIGURATION_PATHS.history);
    return read.asArray(read.asObject(body, 'body')['entries'], 'entries') as readonly HistoryEntry[];
  }

  /**
   * Fetches the version that is in force on each node.
   *
   * @throws {@link NoNodeAvailableError}
   */
  async status(): Promise<readonly NodeVersion[]> {
    const { body } = await this.request('GET', CONFIGURATION_PATHS.status);
    return read.asArray(read.asObject(body, 'body')['nodes'], 'nodes') as readonly NodeVersion[];
  }

  /**
   * Commits changes. Retries within one call carry the same change id, so that they are committed once at most.
   *
   * @param baseVersion - the version that the changes are based on; by default the newest one
   * @throws {@link StaleVersionError} if `baseVersion` is not the newest version
   * @throws {@link ChangeRejectedError} if the changes are invalid
   * @throws {@link NoNodeAvailableError} if it is unknown whether the changes were committed
   */
  async apply(
    changes: readonly ConfigurationChange[],
    author: string,
    isDryRun: boolean,
    baseVersion?: number,
  ): Promise<AppliedChange> {
    const response = await this.request('POST', CONFIGURATION_PATHS.changes, {
      base: baseVersion ?? (await this.show()).version,
      changeId: randomUUID(),
      author,
      changes: changes.map(formatChange),
      dryRun: isDryRun,
    });
    if (response.status === HTTP_OK) return response.body as AppliedChange;
    const body = read.asObject(response.body, 'body');
    if (response.status === HTTP_CONFLICT) throw new StaleVersionError(read.count(body, 'version'));
    throw new ChangeRejectedError(read.string(body, 'error'));
  }

  /**
   * Polls the status until the version is in force on every node or the timeout has passed.
   *
   * @throws {@link NoNodeAvailableError}
   */
  async waitForRollout(version: number, timeoutMs: number): Promise<RolloutResult> {
    const startedAt = performance.now();
    for (;;) {
      const nodes = await this.status();
      const laggingNodes = nodes.filter((node) => node.version === null || node.version < version);
      const elapsedMs = performance.now() - startedAt;
      if (laggingNodes.length === 0 || elapsedMs >= timeoutMs) return { laggingNodes, elapsedMs };
      await this.sleep(STATUS_POLL_INTERVAL_MS);
    }
  }
}
