/**
 * What a gateway knows of one server's warm-up, and of the exit of its process,
 * from control's list, its own connections and other gateways.
 */
import {type BackendServer, type WarmUp} from '@lovagepond/core';

/**
 * Time for which another gateway's word that the server is warming up is taken,
 * and in which it isn't taken again, milliseconds. That gateway's list may be the
 * older one.
 */
const TOLD_VALID_MS = 3_000;
const TOLD_AGAIN_MS = 10_000;

/**
 * Time for which a refused connection shows that the process has exited,
 * milliseconds: the lease of a server, after which control drops it.
 */
const EXITED_MS = 6_000;

/** Time for which another gateway's word on that is taken, milliseconds. */
const TOLD_EXITED_MS = 1_000;

/**
 * Time for which a connection that was lost with a request under way may mean that
 * the process has started again, milliseconds. Control lists it anew by then.
 */
const SUSPECT_MS = 3_000;

const NO_ISSUERS: WarmUp = Object.freeze({routers: []});

/** A name is that of one run of the server's process. */
export class WarmUpNews {
  #told: WarmUp | undefined;
  #toldAt = Number.NEGATIVE_INFINITY;
  #refusedAt = Number.NEGATIVE_INFINITY;
  #exitedUntil = Number.NEGATIVE_INFINITY;
  #lostAt = Number.NEGATIVE_INFINITY;
  #suspectUntil = Number.NEGATIVE_INFINITY;

  /**
   * @param routers the gateways that issue permits for the server, as another
   *     gateway has told, which knows that the server is warming up
   * @param now current time, monotonic milliseconds
   */
  noteTold(routers: readonly string[], now: number): void {
    if (now - this.#toldAt >= TOLD_AGAIN_MS) this.#toldAt = now;
    this.#told = {routers};
  }

  /**
   * Records that the server refused a connection of this gateway.
   *
   * @param now current time, monotonic milliseconds
   */
  noteExited(now: number): void {
    this.#refusedAt = now;
    this.#noteExitedFor(EXITED_MS, now);
  }

  /**
   * Records that a connection of this gateway was lost with a request under way.
   *
   * @param now current time, monotonic milliseconds
   */
  noteLost(now: number): void {
    this.#lostAt = now;
    this.noteLossReported(0, now);
  }

  /**
   * Records a report that another gateway lost such a connection.
   *
   * @param msAgo time since then, milliseconds
   * @param now current time, monotonic milliseconds
   */
  noteLossReported(msAgo: number, now: number): void {
    const until = now - msAgo + SUSPECT_MS;
    this.#suspectUntil = Math.max(this.#suspectUntil, until);
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns time since this gateway lost such a connection, milliseconds and at
   *     least one; 0 if it did not lately
   */
  lostMsAgo(now: number): number {
    const msAgo = Math.max(1, now - this.#lostAt);
    return msAgo < SUSPECT_MS ? msAgo : 0;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns true if the process may have started again, and be cold
   */
  mayHaveRestarted(now: number): boolean {
    return now < this.#suspectUntil;
  }

  /** Records that the process answers after all. */
  noteAnswered(): void {
    this.#refusedAt = Number.NEGATIVE_INFINITY;
    this.#exitedUntil = Number.NEGATIVE_INFINITY;
  }

  /**
   * Records a report that the server refused a connection of another gateway.
   *
   * @param msAgo time since then, milliseconds
   * @param now current time, monotonic milliseconds
   */
  noteExitReported(msAgo: number, now: number): void {
    this.#noteExitedFor(EXITED_MS - msAgo, now);
  }

  /**
   * Records the word of the one that collects such reports.
   *
   * @param now current time, monotonic milliseconds
   */
  noteExitTold(now: number): void {
    this.#noteExitedFor(TOLD_EXITED_MS, now);
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns time since the server refused a connection of this gateway,
   *     milliseconds and at least one; 0 if it did not lately
   */
  refusedMsAgo(now: number): number {
    const msAgo = Math.max(1, now - this.#refusedAt);
    return msAgo < EXITED_MS ? msAgo : 0;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns true if the server's process has exited, as far as is known
   */
  hasExited(now: number): boolean {
    return now < this.#exitedUntil;
  }

  /**
   * A process that answers at the address of one that has exited is a new one,
   * which is cold and may have the same name as far as the server knows it. It
   * gets nothing until it is listed.
   *
   * @param server the server as it is listed
   * @param now current time, monotonic milliseconds
   * @returns the gateways that issue permits for the server while it is warming
   *     up; undefined when it is warm
   */
  warmUpOf(server: BackendServer, now: number): WarmUp | undefined {
    if (this.hasExited(now)) return NO_ISSUERS;
    const isTold = now - this.#toldAt < TOLD_VALID_MS;
    return server.warmUp ?? (isTold ? this.#told : undefined);
  }

  #noteExitedFor(ms: number, now: number): void {
    this.#exitedUntil = Math.max(this.#exitedUntil, now + ms);
  }
}
