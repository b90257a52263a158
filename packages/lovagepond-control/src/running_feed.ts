/**
 * What one router is told of the others' requests, and when.
 */
import {type RunningRequests} from './reading_board.js';
import {type OthersCount, type RunningTotals} from './running_totals.js';

/** Shortest time between two updates, milliseconds: requests last 50 and more. */
const SHORTEST_INTERVAL_MS = 20;

/**
 * Time between two updates for each server there is, milliseconds: what a router
 * receives a second doesn't grow with the servers beyond some thousand bytes.
 */
const INTERVAL_MS_PER_SERVER = 2;

/** A number that hasn't changed is told again: routers forget it after 3 s. */
const TELL_AGAIN_MS = 1_000;

interface Told extends OthersCount {
  readonly at: number;
}

/** Compares what one router was told with what there is. */
export class RunningFeed {
  readonly #node: string;
  readonly #told = new Map<string, Told>();
  #sentAt = -Infinity;
  #isNew = true;

  /** @param node the router */
  constructor(node: string) {
    this.#node = node;
  }

  /**
   * @param totals what this member knows
   * @param now monotonic milliseconds
   * @returns where the others' number of requests has changed, and their outcomes
   *     since the last call; empty when nothing is due
   */
  next(totals: RunningTotals, now: number): readonly RunningRequests[] {
    if (now - this.#sentAt < this.#intervalMs()) return [];
    const changed: RunningRequests[] = [];
    for (const backendServer of totals.servers) {
      const others = totals.others(this.#node, backendServer);
      const one = this.#compare(backendServer, others, now);
      if (one) changed.push(one);
    }
    for (const server of this.#told.keys()) {
      if (!totals.has(server)) this.#told.delete(server);
    }
    this.#isNew = false;
    if (changed.length > 0) this.#sentAt = now;
    return changed;
  }

  #intervalMs(): number {
    const forServers = this.#told.size * INTERVAL_MS_PER_SERVER;
    return Math.max(SHORTEST_INTERVAL_MS, forServers);
  }

  #compare(
    backendServer: string,
    others: OthersCount,
    now: number,
  ): RunningRequests | undefined {
    const told =
      this.#told.get(backendServer) ?? this.#start(backendServer, others);
    const isDue = others.requests > 0 && now - told.at >= TELL_AGAIN_MS;
    const isChanged = others.requests !== told.requests;
    const ended = Math.max(0, others.ended - told.ended);
    const failed = Math.max(0, others.failed - told.failed);
    if (!isDue && !isChanged && failed === 0) return undefined;
    this.#told.set(backendServer, {...others, at: now});
    return {backendServer, requests: others.requests, ended, failed};
  }

  /** A router that has just come hears of no outcome from before. */
  #start(backendServer: string, others: OthersCount): Told {
    const outcomes = this.#isNew ? others : {ended: 0, failed: 0};
    const told = {...outcomes, requests: 0, at: -Infinity};
    this.#told.set(backendServer, told);
    return told;
  }
}
