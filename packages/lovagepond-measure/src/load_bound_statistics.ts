/**
 * Counts the requests that reach a server beyond its load bound, as seen by one
 * who knows the present requests of all servers.
 */
import {percentOf} from './measure_statistics.js';

/** Length of the windows in which the share is taken, milliseconds. */
const WINDOW_MS = 5_000;

/** Requests that a server may have beyond the multiple of the mean. */
const SLACK = 3;

/** Fewer requests beyond the bound within a window don't count as a share. */
const MIN_OVER = 20;

/** The requests of one pool's servers when another one arrives. */
export interface PoolArrival {
  readonly pool: string;
  /** Requests at the server, the new one included. */
  readonly held: number;
  /** Mean requests of the pool's servers, the new one included. */
  readonly mean: number;
  /** The pool's multiple of the mean. */
  readonly loadBound: number;
}

interface Arrival {
  readonly at: number;
  readonly isOver: boolean;
}

export class LoadBoundStatistics {
  readonly #arrivals = new Map<string, Arrival[]>();
  #count = 0;
  #furthest = 0;

  /** Requests that arrived beyond the bound. */
  get count(): number {
    return this.#count;
  }

  /** Requests of one server beyond the bound, at most. */
  get furthest(): number {
    return this.#furthest;
  }

  /**
   * The largest share of a pool's arrivals within five seconds that were beyond
   * the bound, percent; 0 with fewer than {@link MIN_OVER} of them.
   */
  get worstPercent(): number {
    const percents = [...this.#arrivals.values()].map(worstPercentOf);
    return Math.max(0, ...percents);
  }

  /**
   * @param arrival a request that arrives now
   * @param now virtual time, milliseconds
   */
  record({pool, held, mean, loadBound}: PoolArrival, now: number): void {
    const over = held - (loadBound * mean + SLACK);
    const isOver = over > 0;
    if (isOver) this.#count += 1;
    this.#furthest = Math.max(this.#furthest, over);
    const arrivals = this.#arrivals.get(pool) ?? [];
    arrivals.push({at: now, isOver});
    this.#arrivals.set(pool, arrivals);
  }
}

function worstPercentOf(arrivals: readonly Arrival[]): number {
  let worst = 0;
  let first = 0;
  let over = 0;
  for (const [at, arrival] of arrivals.entries()) {
    if (arrival.isOver) over += 1;
    while (arrival.at - (arrivals[first]?.at ?? 0) > WINDOW_MS) {
      if (arrivals[first]?.isOver) over -= 1;
      first += 1;
    }
    if (over < MIN_OVER) continue;
    worst = Math.max(worst, percentOf(over, at - first + 1));
  }
  return worst;
}
