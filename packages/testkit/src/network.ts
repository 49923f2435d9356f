/**
 * The network of a simulated environment.
 *
 * @module
 */
import type { SimTime } from './clock.js';

/** Whether messages on a partitioned link are held until the link heals, or dropped. */
export type PartitionMode = 'hold' | 'drop';

/** Minimum latency of a message; a random part below `LATENCY_SPREAD_MS` is added. */
const MIN_LATENCY_MS = 1;
const LATENCY_SPREAD_MS = 8;
/** Held messages arrive within this time after the link healed, in milliseconds. */
const HELD_SPREAD_MS = 5;

/** Delivers messages between named hosts with latency; partitions lose or hold them. */
export class SimNetwork {
  /** Maximum additional latency of every message, in milliseconds. */
  extraLatencyMs = 0;
  private readonly partitions = new Map<string, PartitionMode>();
  private readonly heldMessages = new Map<string, (() => void)[]>();

  constructor(
    private readonly time: SimTime,
    private readonly random: (below: number) => number,
  ) {}

  /** The key of the link between two hosts, independent of their order. */
  static linkKey(host: string, other: string): string {
    return host < other ? `${host}|${other}` : `${other}|${host}`;
  }

  /** Partitions the link between the hosts. */
  partition(host: string, other: string, mode: PartitionMode): void {
    this.partitions.set(SimNetwork.linkKey(host, other), mode);
  }

  /** Heals the link; held messages arrive soon. */
  heal(host: string, other: string): void {
    const link = SimNetwork.linkKey(host, other);
    this.partitions.delete(link);
    const held = this.heldMessages.get(link) ?? [];
    this.heldMessages.delete(link);
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
      const held = this.heldMessages.get(link);
      if (held === undefined) this.heldMessages.set(link, [deliver]);
      else held.push(deliver);
    }
  }

  /**
   * Sends a request and returns its response; null if none arrives in time or `handle` returns null. The
   * request may have been executed even then. `extraDelayMs` gives an additional delay for each of the two
   * messages, in milliseconds.
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

  /** Calls back after this delay; without a delay, immediately. */
  afterDelay(ms: number, run: () => void): void {
    if (ms > 0) this.time.after(ms, run);
    else run();
  }
}
