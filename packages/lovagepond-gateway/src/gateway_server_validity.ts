/**
 * Which servers of control's list can be forwarded to.
 *
 * The list comes from a log that earlier releases have written as well, so it may
 * hold what the present ones reject.
 */
import {
  type BackendServer,
  type Logger,
  parseSocketAddress,
} from '@lovagepond/core';

/** Sent in a header, so only visible ASCII characters are possible. */
const HEADER_VALUE = /^[\x21-\x7e]+$/;

/** Why a server can't be forwarded to. */
export const SERVER_FAULT = {
  ADDRESS: 'address',
  INCARNATION: 'incarnation',
} as const;

export type ServerFault = (typeof SERVER_FAULT)[keyof typeof SERVER_FAULT];

/**
 * @param server a server of control's list
 * @returns what makes it unusable; undefined if it can be forwarded to
 */
export function faultOf({
  address,
  incarnation,
}: Pick<BackendServer, 'address' | 'incarnation'>): ServerFault | undefined {
  if (!parseSocketAddress(address)) return SERVER_FAULT.ADDRESS;
  return HEADER_VALUE.test(incarnation) ? undefined : SERVER_FAULT.INCARNATION;
}

/** A listed server that can't be forwarded to. */
export interface RejectedServer {
  readonly name: string;
  readonly fault: ServerFault;
}

/**
 * @param log the log
 * @param fleet the servers of a new list
 * @param version the list's version
 */
export function logServers(
  log: Logger,
  fleet: {readonly size: number; readonly rejected: readonly RejectedServer[]},
  version: number,
): void {
  log.info('backend servers changed', {version, servers: fleet.size});
  for (const {name: server, fault} of fleet.rejected) {
    log.warn('backend server ignored', {version, server, fault});
  }
}
