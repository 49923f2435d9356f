import type { Clock, MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { NodeId } from '@spurbridge/wire';

interface Question<A> {
  readonly to: NodeId;
  /** What was asked, told apart from every other question that any process ever put. */
  readonly what: string;
  readonly askedAt: MonotonicMs;
  readonly settle: (answer: A | null) => void;
}

/** Questions to other nodes that are not answered yet. Each ends once: by its answer, in time, or when the link ends. */
export class PendingRequests<A> {
  private readonly open = new Map<number, Question<A>>();
  private last = 0;

  constructor(
    private readonly clock: Clock,
    private readonly timeoutMs: number,
  ) {}

  get size(): number {
    return this.open.size;
  }

  /** A number for the question, which no other open one has; `answer` is null where none came. */
  register(
    to: NodeId,
    what: string,
  ): { readonly id: number; readonly askedAt: MonotonicMs; readonly answer: Promise<A | null> } {
    this.last = this.last >= 0xffff_fffe ? 1 : this.last + 1;
    const id = this.last;
    const askedAt = this.clock.now();
    const answer = new Promise<A | null>((settle) => {
      this.open.set(id, { to, what, askedAt, settle });
    });
    return { id, askedAt, answer };
  }

  private end(id: number, q: Question<A>, answer: A | null): void {
    this.open.delete(id);
    q.settle(answer);
  }

  /**
   * An answer; one to a question that is over, or that was put to another node, changes nothing. Nor does one to another
   * question: the process before this one numbered its own alike, and a worker would get another's orders.
   */
  complete(id: number, from: NodeId, what: string, answer: A): void {
    const q = this.open.get(id);
    if (q?.to === from && q.what === what) this.end(id, q, answer);
  }

  /** The link to the node has ended: what was asked there is not answered any more. */
  abandon(to: NodeId): void {
    for (const [id, q] of this.open) if (q.to === to) this.end(id, q, null);
  }

  /** Ends what has waited too long. Questions are kept in the order in which they were put. */
  expire(): void {
    const now = this.clock.now();
    for (const [id, q] of this.open) {
      if (now < addMs(q.askedAt, this.timeoutMs)) return;
      this.end(id, q, null);
    }
  }
}
