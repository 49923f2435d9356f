/**
 * Counters and latencies of one process of a run.
 *
 * @module
 */
import { subscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';
import { DDSketch } from '@datadog/sketches-js';
import type { LatencySummary, Reading } from './messages.js';

const RELATIVE_ACCURACY = 0.01;

/** Counts the bytes on all sockets of this process, open and closed. */
class SocketMeter {
  private readonly open = new Set<Socket>();
  private closedIn = 0;
  private closedOut = 0;

  constructor() {
    for (const channel of ['net.client.socket', 'net.server.socket'])
      subscribe(channel, (message) => {
        this.watch((message as { socket: Socket }).socket);
      });
  }

  private watch(socket: Socket): void {
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.closedIn += socket.bytesRead;
      this.closedOut += socket.bytesWritten;
    });
  }

  read(): Pick<Reading, 'bytesIn' | 'bytesOut' | 'sockets'> {
    let bytesIn = this.closedIn;
    let bytesOut = this.closedOut;
    for (const socket of this.open) {
      bytesIn += socket.bytesRead;
      bytesOut += socket.bytesWritten;
    }
    return { bytesIn, bytesOut, sockets: this.open.size };
  }
}

/** Counts and latencies of one process of the run. */
export class Meter {
  private readonly sockets = new SocketMeter();
  private readonly counts = new Map<string, number>();
  private latencies = new Map<string, DDSketch>();

  /** Adds to the counter of one kind of message. */
  count(kind: string, by = 1): void {
    this.counts.set(kind, (this.counts.get(kind) ?? 0) + by);
  }

  /** Records one latency in milliseconds. */
  latency(kind: string, ms: number): void {
    let sketch = this.latencies.get(kind);
    if (sketch === undefined) {
      sketch = new DDSketch({ relativeAccuracy: RELATIVE_ACCURACY });
      this.latencies.set(kind, sketch);
    }
    sketch.accept(ms);
  }

  /** Returns the totals so far. Each reading resets the latencies. */
  read(): Reading {
    const latencies = Object.fromEntries(
      [...this.latencies].map(([kind, sketch]) => [kind, summarizeLatencies(sketch)]),
    );
    this.latencies = new Map();
    return {
      ...this.sockets.read(),
      counts: Object.fromEntries(this.counts),
      latencies,
      heapBytes: process.memoryUsage().heapUsed,
      tasks: 0,
    };
  }
}

/** Summarizes the latencies of a sketch, in milliseconds. */
export function summarizeLatencies(sketch: DDSketch): LatencySummary {
  const atQuantile = (quantile: number): number => Number(sketch.getValueAtQuantile(quantile).toFixed(1));
  return {
    count: sketch.count,
    p50: atQuantile(0.5),
    p99: atQuantile(0.99),
    most: Number(sketch.max.toFixed(1)),
  };
}
