import { subscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';
import { DDSketch } from '@datadog/sketches-js';
import type { LatencySummary, Notice, Order, Reading } from './messages.js';

const RELATIVE_ACCURACY = 0.01;

/** Bytes on all sockets of this process, open and closed. */
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

  count(kind: string, by = 1): void {
    this.counts.set(kind, (this.counts.get(kind) ?? 0) + by);
  }

  latency(kind: string, ms: number): void {
    let sketch = this.latencies.get(kind);
    if (sketch === undefined) {
      sketch = new DDSketch({ relativeAccuracy: RELATIVE_ACCURACY });
      this.latencies.set(kind, sketch);
    }
    sketch.accept(ms);
  }

  /** Totals; the latencies begin anew with each reading. */
  read(): Reading {
    const latencies = Object.fromEntries([...this.latencies].map(([kind, s]) => [kind, summary(s)]));
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

/** What a sketch holds, in milliseconds. */
export function summary(sketch: DDSketch): LatencySummary {
  const at = (q: number): number => Number(sketch.getValueAtQuantile(q).toFixed(1));
  return { count: sketch.count, p50: at(0.5), p99: at(0.99), most: Number(sketch.max.toFixed(1)) };
}

/** Tells the driver; a driver that is gone ends this process. */
export function notifyDriver(notice: Notice): void {
  if (process.connected) process.send?.(notice);
}

/** Carries out the driver's orders, and ends with it. */
export function handleOrders(carryOut: (order: Order) => void): void {
  process.on('message', (order) => {
    carryOut(order as Order);
  });
  process.on('disconnect', () => process.exit(0));
}
