/**
 * Addresses that are received from other processes and hosts.
 *
 * Functions of the platform throw when they are given an address that is none,
 * and a URL reads some texts as another address: `010.0.0.1` as 8.0.0.1.
 */
import {isIP} from 'node:net';

/** Where to connect to. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

const PORT = /^[1-9]\d{0,4}$/;
const MAX_PORT = 65_535;

/** Names of hosts, other than those of domains, may have underscores. */
const HOST_NAME =
  /^[a-z\d_]([a-z\d_-]*[a-z\d_])?(\.[a-z\d_]([a-z\d_-]*[a-z\d_])?)*$/i;

/** A name whose last label is a number is parsed as an IPv4 address. */
const NUMBER_AT_END = /(^|\.)(\d+|0x[\da-f]*)$/i;

/**
 * @param text `host:port`, with an IPv6 host in brackets
 * @returns the host, without brackets, and the port; undefined unless a
 *     connection to it can be attempted
 */
export function parseSocketAddress(text: string): SocketAddress | undefined {
  const separator = text.lastIndexOf(':');
  const portText = text.slice(separator + 1);
  const port = Number(portText);
  if (separator < 0 || !PORT.test(portText) || port > MAX_PORT) {
    return undefined;
  }
  const host = readHost(text.slice(0, separator));
  return host === undefined ? undefined : {host, port};
}

function readHost(text: string): string | undefined {
  const bracketed = /^\[(.*)\]$/.exec(text)?.[1];
  if (bracketed !== undefined) {
    return isIP(bracketed) === 6 ? bracketed : undefined;
  }
  if (isIP(text) === 4) return text;
  const isName = HOST_NAME.test(text) && !NUMBER_AT_END.test(text);
  return isName ? text : undefined;
}
