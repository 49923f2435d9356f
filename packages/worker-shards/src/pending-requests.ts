/**
 * Requests to other controllers that await their response.
 *
 * @module
 */
import type { Clock, MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { NodeId } from '@spurbridge/wire';

/** Request identifiers are unsigned 32-bit numbers; 0 stands for a message that needs no response. */
const MAX_REQUEST_ID = 0xffff_fffe;

interface PendingRequest<Response> {
  readonly target: NodeId;
  /** Identifies the request among those of all processes, including earlier ones of this node. */
  readonly requestKey: string;
  readonly requestedAt: MonotonicMs;
  readonly resolve: (response: Response | null) => void;
}

/** A request that was registered and is ready to be sent. */
export interface RegisteredRequest<Response> {
  /** Unique among the requests that are pending. */
  readonly id: number;
  readonly requestedAt: MonotonicMs;
  /** Resolves to null on timeout, or if the connection ends first. */
  readonly response: Promise<Response | null>;
}

/** The pending requests. Each one is completed exactly once: by its response, by timeout, or when the connection ends. */
export class PendingRequests<Response> {
  private readonly pending = new Map<number, PendingRequest<Response>>();
  private lastId = 0;

  constructor(
    private readonly clock: Clock,
    private readonly timeoutMs: number,
  ) {}

  /** The number of requests that await a response. */
  get size(): number {
    return this.pending.size;
  }

  /** Registers a request to `target`. */
  register(target: NodeId, requestKey: string): RegisteredRequest<Response> {
    this.lastId = this.lastId >= MAX_REQUEST_ID ? 1 : this.lastId + 1;
    const id = this.lastId;
    const requestedAt = this.clock.now();
    const response = new Promise<Response | null>((resolve) => {
      this.pending.set(id, { target, requestKey, requestedAt, resolve });
    });
    return { id, requestedAt, response };
  }

  /**
   * Completes a request by its response. A response from another node, or to a request that is no longer pending, is
   * ignored. So is one with another key: the previous process of this node used the same identifiers, so a worker could
   * otherwise receive the commands of another worker.
   */
  complete(id: number, from: NodeId, requestKey: string, response: Response): void {
    const request = this.pending.get(id);
    if (request?.target === from && request.requestKey === requestKey) this.finish(id, request, response);
  }

  /** Completes all requests to a node whose connection has ended, without a response. */
  abandon(target: NodeId): void {
    for (const [id, request] of this.pending) if (request.target === target) this.finish(id, request, null);
  }

  /** Completes the requests that have timed out, without a response. */
  expire(): void {
    const now = this.clock.now();
    // Requests are in order of registration, so none after the first unexpired one has expired.
    for (const [id, request] of this.pending) {
      if (now < addMs(request.requestedAt, this.timeoutMs)) return;
      this.finish(id, request, null);
    }
  }

  private finish(id: number, request: PendingRequest<Response>, response: Response | null): void {
    this.pending.delete(id);
    request.resolve(response);
  }
}
