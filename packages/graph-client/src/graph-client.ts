/**
 * Creates graphs on a cluster, and opens existing ones.
 *
 * @module
 */
import { randomBytes } from 'node:crypto';
import type { GraphTaskId, JobPriority } from '@spurbridge/wire';
import { ClientGraph } from './client-graph.js';
import { RequestSender } from './requests.js';
import type { Transport } from './transport.js';
import { httpTransport } from './transport.js';

/** Connection settings of a client. */
export interface ClientOptions {
  /** URLs such as `http://127.0.0.1:8080`; tried in turn. */
  readonly servers: readonly string[];
  /** Total time for all attempts of a request, in milliseconds. */
  readonly patienceMs?: number;
  /** Poll interval for the states of tasks, in milliseconds. */
  readonly pollMs?: number;
  readonly transport?: Transport;
  readonly sleep?: (ms: number) => Promise<void>;
  /** Monotonic time in milliseconds. */
  readonly now?: () => number;
}

/** Properties of a new graph. */
export interface GraphOptions {
  /** Random by default. */
  readonly name?: string;
  readonly team: string;
  readonly class: string;
  readonly priority?: JobPriority;
}

const DEFAULT_TIMEOUT_MS = 60_000;
const DEFAULT_POLL_MS = 1000;

/** Creates graphs on a cluster. */
export class GraphClient {
  private readonly requests: RequestSender;
  private readonly pollMs: number;

  constructor(options: ClientOptions) {
    this.pollMs = options.pollMs ?? DEFAULT_POLL_MS;
    this.requests = new RequestSender({
      servers: options.servers,
      transport: options.transport ?? httpTransport,
      timeoutMs: options.patienceMs ?? DEFAULT_TIMEOUT_MS,
      sleep: options.sleep ?? ((ms) => new Promise((resolve) => setTimeout(resolve, ms))),
      now: options.now ?? (() => performance.now()),
      random: Math.random,
    });
  }

  /** Creates a graph, or opens the existing one of that name, team, class and priority. */
  async graph(options: GraphOptions): Promise<ClientGraph> {
    const id = `gr-${options.name ?? randomBytes(8).toString('hex')}`;
    await this.requests.post('/graphs', {
      graph: id,
      team: options.team,
      class: options.class,
      priority: options.priority ?? 'normal',
    });
    return new ClientGraph(id, this.requests, this.pollMs, null);
  }

  /**
   * The graph of a running task: the tasks created through it count as spawned by that task, and are the same
   * on every run.
   */
  within(graph: string, task: GraphTaskId): ClientGraph {
    return new ClientGraph(graph, this.requests, this.pollMs, task);
  }
}
