/**
 * Probes whether a server's address accepts connections.
 */
import {connect} from 'node:net';
import {parseSocketAddress} from '@lovagepond/core';
import {REACHABILITY, type Reachability} from './gateway_crash_detector.js';

/** A server at its limit of connections resets further ones. */
const REACHABILITY_BY_ERROR: Readonly<Record<string, Reachability>> = {
  ECONNREFUSED: REACHABILITY.REFUSES,
  ECONNRESET: REACHABILITY.ACCEPTS,
};

/**
 * @param address `host:port`
 * @param timeoutMs time limit for the connection, milliseconds
 * @returns the result of the probe; silent without a valid address
 */
export function probeServer(
  address: string,
  timeoutMs: number,
): Promise<Reachability> {
  const target = parseSocketAddress(address);
  if (!target) return Promise.resolve(REACHABILITY.SILENT);
  return new Promise(resolve => {
    const socket = connect({...target, timeout: timeoutMs});
    const end = (reachability: Reachability): void => {
      socket.destroy();
      resolve(reachability);
    };
    socket.on('connect', () => {
      end(REACHABILITY.ACCEPTS);
    });
    socket.on('timeout', () => {
      end(REACHABILITY.SILENT);
    });
    socket.on('error', (err: NodeJS.ErrnoException) => {
      end(REACHABILITY_BY_ERROR[err.code ?? ''] ?? REACHABILITY.SILENT);
    });
  });
}
