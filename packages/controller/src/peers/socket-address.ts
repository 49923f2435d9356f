/**
 * Addresses of the form `host:port`.
 *
 * @module
 */

/** The two parts of an address. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

/** Splits an address at its last colon. There always is one, because the settings have been validated. */
export function parseSocketAddress(address: string): SocketAddress {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
