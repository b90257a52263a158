/**
 * Requests of all routers at each backend server, summed up for each router.
 *
 * Passed on as they come, what routers say of their requests grows with their
 * number times the servers, for each of them. A router only needs to know what the
 * others have at a server together: that grows with the servers alone.
 */
import {type ReadingReport, type RunningRequests} from './reading_board.js';

/**
 * Time for which a router's number of requests counts without a new word,
 * milliseconds: nearly all requests are over by then.
 */
const VALID_MS = 3_000;

/** A server of which nobody has told for so long is forgotten, milliseconds. */
const FORGET_SERVER_MS = 60_000;

/** Outcomes are counted from the start of this process on. */
interface Count {
  requests: number;
  ended: number;
  failed: number;
}

interface RouterCount extends Count {
  toldAt: number;
}

interface ServerCounts {
  readonly sum: Count;
  readonly routers: Map<string, RouterCount>;
  toldAt: number;
}

/** What the other routers have at one server. */
export type OthersCount = Readonly<Count>;

/** Sums by server, as far as this member has heard. */
export class RunningTotals {
  readonly #servers = new Map<string, ServerCounts>();
  readonly #heardAt = new Map<string, number>();

  /** Names of the servers at which there is or was something. */
  get servers(): Iterable<string> {
    return this.#servers.keys();
  }

  /**
   * @param report what a router said
   * @param now monotonic milliseconds
   */
  note({node, running}: ReadingReport, now: number): void {
    if (node === '') return;
    this.#heardAt.set(node, now);
    for (const one of running) this.#noteOne(node, one, now);
  }

  /**
   * Takes back what routers told that have ended since.
   *
   * @param now monotonic milliseconds
   */
  forgetSilent(now: number): void {
    for (const [node, heardAt] of this.#heardAt) {
      if (now - heardAt > VALID_MS) this.#heardAt.delete(node);
    }
    for (const [server, {sum, routers, toldAt}] of this.#servers) {
      if (now - toldAt > FORGET_SERVER_MS) this.#servers.delete(server);
      for (const count of routers.values()) {
        if (now - count.toldAt <= VALID_MS) continue;
        sum.requests -= count.requests;
        count.requests = 0;
      }
    }
  }

  /** @returns true while it is known what routers have at a server */
  has(server: string): boolean {
    return this.#servers.has(server);
  }

  /** @returns routers other than this one that were heard of lately */
  countOthers(node: string): number {
    return this.#heardAt.size - (this.#heardAt.has(node) ? 1 : 0);
  }

  /**
   * @param node a router
   * @param server a backend server's name
   * @returns what all other routers have there
   */
  others(node: string, server: string): OthersCount {
    const counts = this.#servers.get(server);
    if (!counts) return NOTHING;
    const {sum} = counts;
    const own = counts.routers.get(node) ?? NOTHING;
    return {
      requests: sum.requests - own.requests,
      ended: sum.ended - own.ended,
      failed: sum.failed - own.failed,
    };
  }

  #noteOne(node: string, told: RunningRequests, now: number): void {
    const {backendServer, requests, ended, failed} = told;
    const counts = this.#countsOf(backendServer, now);
    counts.toldAt = now;
    const own = counts.routers.get(node) ?? {...NOTHING, toldAt: now};
    counts.routers.set(node, own);
    const {sum} = counts;
    sum.requests += requests - own.requests;
    sum.ended += ended;
    sum.failed += failed;
    own.requests = requests;
    own.ended += ended;
    own.failed += failed;
    own.toldAt = now;
  }

  #countsOf(server: string, now: number): ServerCounts {
    const known = this.#servers.get(server);
    if (known) return known;
    const made = {sum: {...NOTHING}, routers: new Map(), toldAt: now};
    this.#servers.set(server, made);
    return made;
  }
}

const NOTHING: OthersCount = Object.freeze({requests: 0, ended: 0, failed: 0});
