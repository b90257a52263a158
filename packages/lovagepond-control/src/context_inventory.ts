/**
 * Asks engines which parts of prompts they hold, when nobody remembers.
 *
 * After a stop of all processes the engines still hold what they read, and the
 * routers know nothing of it. They would have it read a second time elsewhere,
 * and callers' first tokens would wait for that.
 */
import {type Logger} from '@lovagepond/core';
import {type ReadingReport} from './reading_report_log.js';

/**
 * Reads from a backend server which parts of prompts it holds.
 *
 * @param address `host:port` of the server
 * @returns ids of the parts; rejects when the server doesn't say
 */
export type HeldContextsReader = (
  address: string,
) => Promise<readonly string[]>;

/** A server to ask. */
export interface AskedServer {
  readonly name: string;
  readonly address: string;
}

/** What an inventory is made with. */
export interface InventoryParts {
  readonly readHeldContexts: HeldContextsReader;
  readonly log: Logger;
  /** Called with what each server holds, as it answers. */
  readonly onReport: (report: ReadingReport) => void;
}

/**
 * Servers asked at once. What one holds is hundreds of ids, and goes to every
 * gateway: with eighty servers at once it filled the gateways' links, and the leader
 * was busy with it, while gateways waited for its word to serve anyone.
 */
const ASKED_AT_ONCE = 8;

/**
 * Asks a few servers at a time: an answer takes a server some milliseconds.
 *
 * @param servers whom to ask
 * @param parts how, and who hears the answers
 */
export async function takeInventory(
  servers: readonly AskedServer[],
  parts: InventoryParts,
): Promise<void> {
  const left = [...servers];
  const askNext = async (): Promise<void> => {
    for (;;) {
      const server = left.shift();
      if (!server) return;
      await askOne(server, parts);
    }
  };
  await Promise.all(Array.from({length: ASKED_AT_ONCE}, askNext));
}

async function askOne(
  {name, address}: AskedServer,
  {readHeldContexts, log, onReport}: InventoryParts,
): Promise<void> {
  try {
    const ids = await readHeldContexts(address);
    log.info('held contexts told', {server: name, parts: ids.length});
    if (ids.length === 0) return;
    // One reading for all parts: with one for each, a dozen engines' five
    // thousand kept a new leader busy for 0.3 s, and it lost its group.
    const prefix = ids.map(id => `/${id}`).join('');
    const readings = [{backendServer: name, prefix, tokens: 0}];
    onReport({node: '', readings, running: []});
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err);
    log.warn('held contexts not told', {server: name, reason});
  }
}
