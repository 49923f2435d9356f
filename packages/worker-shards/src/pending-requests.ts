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
  /** Identifies the request among all that any process ever sent. */
  readonly requestKey: string;
  readonly requestedAt: MonotonicMs;
  readonly resolve: (response: Response | null) => void;
}

/** A request that was registered and can be sent now. */
export interface RegisteredRequest<Response> {
  /** Unique among the requests that are pending. */
  readonly id: number;
  readonly requestedAt: MonotonicMs;
  /** Resolves to null if no response came in time, or the connection ended before. */
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
   * Completes a request by its response. A response from another node, or to a request that is over, is ignored. So is one
   * with another key: the previous process of this node used the same identifiers, and a worker would get the commands of
   * another one.
   */
  complete(id: number, from: NodeId, requestKey: string, response: Response): void {
    const request = this.pending.get(id);
    if (request?.target === from && request.requestKey === requestKey) this.finish(id, request, response);
  }

  /** Gives up all requests to a node whose connection has ended. */
  abandon(target: NodeId): void {
    for (const [id, request] of this.pending) if (request.target === target) this.finish(id, request, null);
  }

  /** Gives up the requests that have timed out. */
  expire(): void {
    const now = this.clock.now();
    // Insertion order is the order of registration: behind the first one that is in time all others are.
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
