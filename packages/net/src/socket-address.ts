/**
 * Addresses of servers: a host and a port, in settings of the form `IPv4:port`.
 *
 * @module
 */

const SOCKET_ADDRESS = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/;

/** Description of the expected format, for error messages. */
export const SOCKET_ADDRESS_FORM = 'IPv4:port';

/** Host and port of a server. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

/** Whether a text has the form of a socket address. */
export function isSocketAddress(text: string): boolean {
  return SOCKET_ADDRESS.test(text);
}

/** Splits an address at its last colon; the address has been validated before. */
export function parseSocketAddress(text: string): SocketAddress {
  const colon = text.lastIndexOf(':');
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}
