/**
 * Counts the requests that reach cold engines.
 */
import {mostInASecond} from './most_in_a_second.js';
import {type DirectEngine, type DirectService} from './direct_servers.js';

const SECOND_MS = 1_000;

export class ColdServerStatistics {
  readonly #arrivals = new Map<DirectEngine, number[]>();
  #coldMs = 0;

  /**
   * @param engine an engine that has started cold
   * @param coldMs how long it is cold, milliseconds
   */
  add(engine: DirectEngine, coldMs: number): void {
    this.#arrivals.set(engine, []);
    this.#coldMs += coldMs;
  }

  /**
   * @param server the server of a request that arrives now
   * @param now virtual time, milliseconds
   */
  record(server: DirectEngine | DirectService, now: number): void {
    if (!('coldUntil' in server) || now >= server.coldUntil) return;
    this.#arrivals.get(server)?.push(now);
  }

  /** Most requests that an engine got within a second while it was cold. */
  get most(): number {
    return Math.max(0, ...[...this.#arrivals.values()].map(mostInASecond));
  }

  /** Requests that a cold engine got in a second, in the mean. */
  get perSecond(): number {
    const arrivals = [...this.#arrivals.values()].flat().length;
    return (arrivals * SECOND_MS) / Math.max(1, this.#coldMs);
  }
}
