/**
 * Queries engines for the parts of prompts in their caches.
 *
 * After a restart of all other processes the engines still hold these parts,
 * but no router has a record of them. Without the query, prompts would go to
 * other engines, which process them again and so delay the first tokens.
 */
import {type Clock, type Logger, type ServerPauses} from '@lovagepond/core';
import {type ReadingReport} from './reading_report_log.js';

/** The server refused the query and wants no requests for some time. */
export class PauseRequestedError extends Error {
  /** Time for which it wants no requests, milliseconds. */
  readonly pauseMs: number;

  constructor(pauseMs: number) {
    super(`server asked for no requests for ${pauseMs} ms`);
    this.pauseMs = pauseMs;
  }
}

/**
 * Reads the parts of prompts that a backend server holds.
 *
 * @param address `host:port` of the server
 * @returns ids of the parts; rejects when the server doesn't return them, with
 *     {@link PauseRequestedError} if it asks for a pause
 */
export type HeldContextsReader = (
  address: string,
) => Promise<readonly string[]>;

/** A server to query. */
export interface InventoryTarget {
  readonly name: string;
  readonly address: string;
}

export interface InventoryDependencies {
  readonly readHeldContexts: HeldContextsReader;
  readonly clock: Clock;
  readonly log: Logger;
  /** Pauses that servers asked for when they were queried before. */
  readonly pauses: ServerPauses;
  /** Called with the contexts of each server, as the answers arrive. */
  readonly onReport: (report: ReadingReport) => void;
}

/**
 * Limit of concurrent queries. A server returns hundreds of ids, and the leader
 * forwards them to every gateway. With 80 servers at once this saturates the
 * gateways' links and keeps the leader busy while gateways wait for the leader
 * before they can serve requests.
 */
const MAX_CONCURRENT_QUERIES = 8;

/**
 * Queries a few servers at a time; each answers within some milliseconds.
 *
 * @param servers the servers to query
 * @param deps the reader, the log and the callback for the answers
 */
export async function collectHeldContexts(
  servers: readonly InventoryTarget[],
  deps: InventoryDependencies,
): Promise<void> {
  const {clock, pauses} = deps;
  const remaining = servers.filter(
    ({name}) => pauses.leftMs(name, clock.now()) === 0,
  );
  const queryNext = async (): Promise<void> => {
    for (;;) {
      const server = remaining.shift();
      if (!server) return;
      await queryServer(server, deps);
    }
  };
  await Promise.all(Array.from({length: MAX_CONCURRENT_QUERIES}, queryNext));
}

async function queryServer(
  {name, address}: InventoryTarget,
  {readHeldContexts, clock, log, pauses, onReport}: InventoryDependencies,
): Promise<void> {
  try {
    const ids = await readHeldContexts(address);
    log.info('held contexts told', {server: name, parts: ids.length});
    if (ids.length === 0) return;
    // All parts go into one reading. One reading for each part, 5,000 in all
    // from a dozen engines, would keep a new leader busy for 0.3 s and cost it
    // the leadership.
    const prefix = ids.map(id => `/${id}`).join('');
    const readings = [{backendServer: name, prefix, tokens: 0}];
    onReport({node: '', readings, running: []});
  } catch (err) {
    if (err instanceof PauseRequestedError) {
      pauses.note(name, err.pauseMs, clock.now());
    }
    const reason = err instanceof Error ? err.message : String(err);
    log.warn('failed to read held contexts', {server: name, reason});
  }
}
