/**
 * What goes wrong between the simulated key-value store and its clients.
 *
 * @module
 */

/** Faults that are drawn for each request. */
export interface StoreFaults {
  /** How much later a transaction without a response is carried out, in milliseconds; null: at once, with a response. */
  writeDelayMs(): number | null;
  /** Whether a transaction is carried out and only its response is lost. */
  losesResponse(): boolean;
  /** How much later than usual one message arrives, in milliseconds. */
  storeMessageDelayMs(): number;
}

/** A store with which nothing goes wrong. */
export const NO_STORE_FAULTS: StoreFaults = {
  writeDelayMs: () => null,
  losesResponse: () => false,
  storeMessageDelayMs: () => 0,
};
