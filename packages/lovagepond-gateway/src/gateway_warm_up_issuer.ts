/**
 * Issues this gateway's part of the requests to servers that are warming up.
 *
 * Control names a few gateways for each server, and the server's limit is
 * divided among them for good, so that the sum stays within it even if they
 * can't reach each other.
 */
import {type Pool, SERVER_STATE} from '@lovagepond/core';
import {type ServerState} from './gateway_server_state.js';

/** Length of the windows that the limit is for, milliseconds. */
const LIMIT_WINDOW_MS = 1_000;

/**
 * Time for which a permit is valid, from the question for it, milliseconds. It
 * covers the datagrams and a new connection.
 */
export const PERMIT_VALID_MS = 100;

/**
 * Time for which a gateway that is short of processor time may be interrupted
 * between its last check and the send, milliseconds.
 */
const SEND_DELAY_MS = 100;

/**
 * Part of the limit that nobody grants. It is for requests of gateways that can't
 * know that the server is cold: they hear neither control nor any issuer.
 */
const RESERVED_PART = 0.1;

/** Requests within the limit's window were granted within this time, ms. */
export const GRANT_WINDOW_MS =
  LIMIT_WINDOW_MS + PERMIT_VALID_MS + SEND_DELAY_MS;

/**
 * Time until a gateway that isn't named for a server by its own list is asked
 * again, milliseconds: the list of the asking one may be newer.
 */
export const UNLISTED_MS = 100;

/** The answer to a question for one request. */
export interface WarmUpDecision {
  readonly isGranted: boolean;
  /** Time until the next request may be granted, milliseconds. */
  readonly waitMs: number;
}

export class WarmUpIssuer {
  readonly #gateway: string;
  readonly #startedAt: number;
  /** Times of the grants within the window, by server. */
  readonly #grantedAt = new Map<string, number[]>();
  /** Servers that get requests without a limit, by name. */
  #unlimited: ReadonlyMap<string, ServerState> = new Map();
  /** When a server last got requests without a limit, monotonic ms. */
  readonly #unlimitedUntil = new Map<string, number>();

  /**
   * @param gateway this gateway's name
   * @param startedAt start of this process, monotonic milliseconds: the grants of
   *     an earlier process of this name are unknown
   */
  constructor(gateway: string, startedAt: number) {
    this.#gateway = gateway;
    this.#startedAt = startedAt;
  }

  /**
   * Must be called after each change of the list. A server that turns cold while
   * it is in service has just got requests that nobody counted, and so has one
   * that has started again under its name, unless it was known to have exited.
   *
   * @param listed all listed servers
   * @param now current time, monotonic milliseconds
   */
  useListed(listed: Iterable<ServerState>, now: number): void {
    const names = new Set<string>();
    const unlimited = new Map<string, ServerState>();
    const byIncarnation = new Map<string, string>();
    for (const state of listed) {
      const {server} = state;
      names.add(server.name);
      byIncarnation.set(server.incarnation, server.name);
      const isInService = server.state === SERVER_STATE.READY;
      if (isInService && !server.warmUp) unlimited.set(server.name, state);
    }
    for (const [name, {server, warmUpNews}] of this.#unlimited) {
      if (unlimited.has(name)) continue;
      const present = byIncarnation.get(server.incarnation);
      const hadExited = present !== name && warmUpNews.hasExited(now);
      if (present && !hadExited) this.#unlimitedUntil.set(present, now);
    }
    this.#unlimited = unlimited;
    for (const known of [this.#grantedAt, this.#unlimitedUntil]) {
      for (const name of known.keys()) if (!names.has(name)) known.delete(name);
    }
  }

  /**
   * @param state a server
   * @param pool the server's pool, if it is configured
   * @param now current time, monotonic milliseconds
   * @returns whether one more request may be sent to the server
   */
  decide(
    state: ServerState,
    pool: Pool | undefined,
    now: number,
  ): WarmUpDecision {
    const waitMs = this.waitMs(state, pool, now);
    if (waitMs > 0) return {isGranted: false, waitMs};
    const {name} = state.server;
    this.#grantedAt.set(name, [...this.#recent(name, now), now]);
    return {isGranted: true, waitMs: this.waitMs(state, pool, now)};
  }

  /**
   * @param state a server
   * @param pool the server's pool, if it is configured
   * @param now current time, monotonic milliseconds
   * @returns time until a request may be granted, milliseconds
   */
  waitMs(state: ServerState, pool: Pool | undefined, now: number): number {
    const {name} = state.server;
    const {routers} = state.server.warmUp ?? {routers: []};
    const limit = pool?.warmUp?.maxRequestsPerSecond ?? 0;
    const part = partOf(limit, routers, this.#gateway);
    if (part === 0) return UNLISTED_MS;
    const recent = this.#recent(name, now);
    const lastOfWindow = recent.at(-part) ?? -Infinity;
    const unlimitedUntil = this.#unlimitedUntil.get(name) ?? -Infinity;
    const since = Math.max(this.#startedAt, unlimitedUntil, lastOfWindow);
    return Math.max(0, since + GRANT_WINDOW_MS - now);
  }

  #recent(name: string, now: number): readonly number[] {
    const granted = this.#grantedAt.get(name) ?? [];
    return granted.filter(at => now - at < GRANT_WINDOW_MS);
  }
}

/**
 * @param limit a cold server's limit
 * @returns the requests that are granted of it
 */
export function grantable(limit: number): number {
  return limit - Math.floor(limit * RESERVED_PART);
}

/**
 * @param limit a server's limit
 * @param routers the gateways that issue its permits
 * @param gateway one of them
 * @returns the gateway's part; 0 if it isn't one of them
 */
function partOf(
  limit: number,
  routers: readonly string[],
  gateway: string,
): number {
  const at = routers.indexOf(gateway);
  if (at < 0) return 0;
  const granted = grantable(limit);
  const remainder = granted % routers.length;
  return Math.floor(granted / routers.length) + (at < remainder ? 1 : 0);
}
