/**
 * The network of a simulated world.
 *
 * @module
 */
import type { SimTime } from './clock.js';

/** What happens to messages on a partitioned link: they wait until it heals, or are lost. */
export type PartitionMode = 'hold' | 'drop';

/** A message takes this long at least, and up to `LATENCY_SPREAD_MS` more. */
const MIN_LATENCY_MS = 1;
const LATENCY_SPREAD_MS = 8;
/** Messages that were held back arrive within this after the link healed. */
const HELD_SPREAD_MS = 5;

/** Messages between named hosts: late, lost with a partition, or held back by it and delivered after. */
export class SimNetwork {
  /** Every message is late by up to this much more, in milliseconds. */
  extraLatencyMs = 0;
  private readonly partitions = new Map<string, PartitionMode>();
  private readonly heldBack = new Map<string, (() => void)[]>();

  constructor(
    private readonly time: SimTime,
    private readonly random: (below: number) => number,
  ) {}

  /** One key for the link between two hosts, in whichever order they are named. */
  static linkKey(host: string, other: string): string {
    return host < other ? `${host}|${other}` : `${other}|${host}`;
  }

  /** From now on no message gets through between the hosts. */
  partition(host: string, other: string, mode: PartitionMode): void {
    this.partitions.set(SimNetwork.linkKey(host, other), mode);
  }

  /** Messages get through again; those that were held back arrive soon. */
  heal(host: string, other: string): void {
    const link = SimNetwork.linkKey(host, other);
    this.partitions.delete(link);
    const held = this.heldBack.get(link) ?? [];
    this.heldBack.delete(link);
    for (const deliver of held) this.time.after(this.random(HELD_SPREAD_MS), deliver);
  }

  /** Sends one message; `deliver` is called when it arrives. */
  send(from: string, to: string, deliver: () => void): void {
    const link = SimNetwork.linkKey(from, to);
    const mode = this.partitions.get(link);
    if (mode === undefined) {
      const latencyMs = MIN_LATENCY_MS + this.random(LATENCY_SPREAD_MS) + this.random(this.extraLatencyMs);
      this.time.after(latencyMs, deliver);
    } else if (mode === 'hold') {
      const held = this.heldBack.get(link);
      if (held === undefined) this.heldBack.set(link, [deliver]);
      else held.push(deliver);
    }
  }

  /**
   * A request and its response; null where none comes in time, or where `handle` returns null. The request may be carried
   * out all the same. `extraDelayMs` says for each of the two messages how much later than usual it is, in milliseconds.
   */
  call<T>(
    from: string,
    to: string,
    timeoutMs: number,
    handle: () => T | null,
    extraDelayMs: () => number = () => 0,
  ): Promise<T | null> {
    return new Promise((resolve) => {
      this.time.after(timeoutMs, () => {
        resolve(null);
      });
      this.afterDelay(extraDelayMs(), () => {
        this.send(from, to, () => {
          const response = handle();
          if (response === null) return;
          this.afterDelay(extraDelayMs(), () => {
            this.send(to, from, () => {
              resolve(response);
            });
          });
        });
      });
    });
  }

  /** Runs this much later, or at once where that is no time at all. */
  afterDelay(ms: number, run: () => void): void {
    if (ms > 0) this.time.after(ms, run);
    else run();
  }
}
