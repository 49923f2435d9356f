/**
 * Faults between the simulated key-value store and its clients.
 *
 * @module
 */

/** Faults that are decided for each request. */
export interface StoreFaults {
  /**
   * The delay after which a transaction is executed without a response, in milliseconds; null: at once, with
   * a response.
   */
  writeDelayMs(): number | null;
  /** The delay after which a copy of an executed transaction arrives, in milliseconds; null if there is none. */
  writeRepeatDelayMs(): number | null;
  /** Whether a transaction is executed and only its response is lost. */
  losesResponse(): boolean;
  /** The additional delay of one message, in milliseconds. */
  storeMessageDelayMs(): number;
}

/** No faults. */
export const NO_STORE_FAULTS: StoreFaults = {
  writeDelayMs: () => null,
  writeRepeatDelayMs: () => null,
  losesResponse: () => false,
  storeMessageDelayMs: () => 0,
};
