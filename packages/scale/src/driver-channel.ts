/**
 * The channel between a helper process and the driver of the run.
 *
 * @module
 */
import type { Notice, Order } from './messages.js';

/** Sends a notice to the driver. Drops it if the driver has disconnected, because this process then exits. */
export function notifyDriver(notice: Notice): void {
  if (process.connected) process.send?.(notice);
}

/** Calls the handler for each order of the driver, and exits when the driver disconnects. */
export function handleOrders(handler: (order: Order) => void): void {
  process.on('message', (order) => {
    handler(order as Order);
  });
  process.on('disconnect', () => process.exit(0));
}
